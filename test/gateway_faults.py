"""Faults of the gateway matrix: how each strikes, and how it heals."""

import typing

from oleanderstair.emulator import (
    gateway_fleet,
    gateway_targets,
    watched_store,
)

FAULT_MS = 2500
BACK_MS = 1500
SLOW_MS = 1500
REWRITE_MS = 1000
LIMIT_PER_S = 2

Fleet: typing.TypeAlias = gateway_fleet.GatewayFleet
Heal: typing.TypeAlias = typing.Callable[[], None]


class Fault(typing.NamedTuple):
    """Strike an instance, a target or the store; return what heals it.

    ``harms`` says whose duties are excused meanwhile: the actor's, those
    that need the store, or nobody's.
    """

    strike: typing.Callable[[Fleet, str, str], Heal]
    harms: str = ''


def _crash_target(fleet: Fleet, actor: str, target_id: str) -> Heal:
    fleet.crash(target_id, back_after_ms=BACK_MS)
    return _nothing


def _behave(behaviour: gateway_targets.Behaviour) -> Fault:
    def strike(fleet: Fleet, actor: str, target_id: str) -> Heal:
        target = fleet.target_by_id[target_id]
        target.behaviour = behaviour

        def heal() -> None:
            target.behaviour = gateway_targets.Behaviour.SERVE

        return heal

    return Fault(strike)


def _reuse_address(fleet: Fleet, actor: str, target_id: str) -> Heal:
    other = fleet.add_target('sklad-0', 'sklad')
    other.address = fleet.target_by_id[target_id].address
    fleet.end(target_id)
    return _nothing


def _store_down(fleet: Fleet, actor: str, target_id: str) -> Heal:
    fleet.store.down = True
    fleet.stores.cut_watches()
    return lambda: setattr(fleet.store, 'down', False)


def _store_silent(fleet: Fleet, actor: str, target_id: str) -> Heal:
    fleet.store.silent = True
    return lambda: setattr(fleet.store, 'silent', False)


def _store_slow(fleet: Fleet, actor: str, target_id: str) -> Heal:
    fleet.store.slow_ms = SLOW_MS
    return lambda: setattr(fleet.store, 'slow_ms', 0)


def _store_forgets(fleet: Fleet, actor: str, target_id: str) -> Heal:
    fleet.store.forget_history()
    return _nothing


def _store_restored(fleet: Fleet, actor: str, target_id: str) -> Heal:
    copy = fleet.store.copy()

    def restore() -> None:
        lost = fleet.store.copy()
        fleet.store.restore(copy)
        fleet.stores.cut_watches()
        fleet.times.after(REWRITE_MS, lambda: _write_again(fleet, lost))
        # The entries of targets that have ended expire again.
        fleet.times.after(
            gateway_fleet.EXPIRY_MS,
            lambda: _expire_ended(fleet),
        )

    return restore


def _write_again(fleet: Fleet, lost: watched_store.Copy) -> None:
    if lost.routing is not None:
        fleet.store.publish(lost.routing)
    for target in fleet.target_by_id.values():
        if target.behaviour is not gateway_targets.Behaviour.GONE:
            fleet.register(target)


def _expire_ended(fleet: Fleet) -> None:
    for target_id in tuple(fleet.store.entry_by_id):
        target = fleet.target_by_id[target_id]
        if target.behaviour is gateway_targets.Behaviour.GONE:
            fleet.store.remove(target_id)


def _limit_target(fleet: Fleet, actor: str, target_id: str) -> Heal:
    target = fleet.target_by_id[target_id]
    target.limit_per_s = LIMIT_PER_S
    return lambda: setattr(target, 'limit_per_s', None)


def _store_refuses(fleet: Fleet, actor: str, target_id: str) -> Heal:
    fleet.store.refused_ids.add(actor)
    return fleet.store.refused_ids.clear


def _kill(fleet: Fleet, actor: str, target_id: str) -> Heal:
    place = fleet.links.place_by_end[actor]
    fleet.kill(actor)
    return lambda: typing.cast(None, fleet.add_instance(actor, place))


def _freeze(fleet: Fleet, actor: str, target_id: str) -> Heal:
    fleet.freeze(actor, FAULT_MS)
    return _nothing


def _isolate(fleet: Fleet, actor: str, target_id: str) -> Heal:
    fleet.links.isolate(actor)
    return fleet.links.mend


def _cut_from_target(fleet: Fleet, actor: str, target_id: str) -> Heal:
    fleet.links.cut(actor, target_id)
    fleet.links.cut(target_id, actor)
    return fleet.links.mend


def _cut_answers(fleet: Fleet, actor: str, target_id: str) -> Heal:
    fleet.links.cut(target_id, actor)
    return fleet.links.mend


def _lose_messages(fleet: Fleet, actor: str, target_id: str) -> Heal:
    fleet.links.loss_share = 0.3
    return lambda: setattr(fleet.links, 'loss_share', 0)


def _nothing() -> None:
    """Heal what heals by itself."""


FAULT_BY_NAME: dict[str, Fault] = {
    'target-crash': Fault(_crash_target),
    'target-hang': _behave(gateway_targets.Behaviour.HANG),
    'target-shed': _behave(gateway_targets.Behaviour.SHED),
    'target-fails': _behave(gateway_targets.Behaviour.FAIL),
    'answer-lost': _behave(gateway_targets.Behaviour.LOSE_ANSWER),
    'address-reused': Fault(_reuse_address),
    'store-down': Fault(_store_down, 'store'),
    'store-silent': Fault(_store_silent, 'store'),
    'store-slow': Fault(_store_slow, 'store'),
    'store-forgets': Fault(_store_forgets, 'store'),
    'store-restored': Fault(_store_restored, 'store'),
    'target-limited': Fault(_limit_target),
    'store-refuses': Fault(_store_refuses, 'actor'),
    'instance-killed': Fault(_kill, 'actor'),
    'instance-frozen': Fault(_freeze, 'actor'),
    'instance-cut': Fault(_isolate, 'actor'),
    'link-silent': Fault(_cut_from_target),
    'answers-cut': Fault(_cut_answers),
    'messages-lost': Fault(_lose_messages),
}
