"""The steps of a call and of a note, and how one cell of the matrix runs."""

import dataclasses
import typing

from oleanderstair.domain import actions, events
from oleanderstair.domain.calls import addresses
from oleanderstair.domain.proof import outcome_checks
from oleanderstair.domain.tables import calls
from oleanderstair.emulator import harness
from test import faults
from test import scene as scenes

HOME = 'entry-1'
ENTRY = 'entry-2'
OTHER = 'entry-3'
RESEND_MS = 1200
SETTLE_CALL_MS = 8000
SETTLE_NOTE_MS = 22_000
LEAVING_TARGET = 'burza-3'
REASON_BY_IMPOSSIBLE_CELL: dict[tuple[str, str], str] = {}

Inject = typing.Callable[[], None]
Step = typing.Callable[[scenes.Scene, str, Inject], None]


@dataclasses.dataclass
class Counts:
    """How many cells, and pairs and orders of faults, have run."""

    ran: int = 0
    pairs: int = 0


COUNTS = Counts()


def run_call_cell(step: str, *names: str, seed: int = 1) -> scenes.Scene:
    """Run a keyed order with faults injected at one of its steps."""
    scene = scenes.create(seed)
    key = scene.new_key(HOME)
    heals: list[faults.Heal] = []
    inject = _once(scene, names, heals)
    if step == 'queued':
        _fill_slots(scene)
    CALL_STEP_BY_NAME[step](scene, key, inject)
    scene.start_background(scenes.FAULT_MS)
    if step != 'address-answer':
        scene.send_order(ENTRY, key)
    scene.fleet.after(RESEND_MS, lambda: scene.send_order(OTHER, key))
    _finish(scene, heals, SETTLE_CALL_MS, lambda: scene.send_order(ENTRY, key))
    return scene


def run_note_cell(step: str, *names: str, seed: int = 1) -> scenes.Scene:
    """Publish a note with faults injected at one of its steps."""
    scene = scenes.create(seed)
    scene.target_id = LEAVING_TARGET
    scene.fleet.add_target(_new_target())
    _fill_slots(scene, '/long')
    heals: list[faults.Heal] = []
    inject = _once(scene, names, heals)
    scene.start_background(scenes.FAULT_MS)
    NOTE_STEP_BY_NAME[step](scene, '', inject)
    scene.fleet.run_for(10)
    scene.older_bodies = dict(scene.fleet.body_by_name)
    number = scene.fleet.publish(_swap_note())
    if step == 'published':
        inject()
    _finish(scene, heals, SETTLE_NOTE_MS, lambda: None)
    held = {
        scene.state(instance_id).catalogue.in_force.number
        for instance_id in scene.live_ids()
    }
    assert held == {number}, f'notes in force at the end: {held}'
    return scene


def judge(scene: scenes.Scene) -> None:
    """Fail where the fault did not strike or an outcome was broken."""
    assert scene.injected, 'fault not injected: the step was not reached'
    for name in scene.injected:
        assert name not in faults.COUNTED or scene.effects, (
            f'fault not injected: {name} struck nothing'
        )
    broken = outcome_checks.check_all(scene.history)
    assert not broken, '\n'.join(str(violation) for violation in broken[:5])


# Steps


def _at_address_answer(scene: scenes.Scene, key: str, inject: Inject) -> None:
    made = scene.fleet
    state = made.instance_by_id[ENTRY].state
    found = addresses.list_addresses(state, 'nitra', made.clock.now_ms())
    chosen = found['addresses'][0]['address'].split(':')[0]
    scene.actor = chosen
    inject()
    made.after(2 * harness.HOP_MS, lambda: scene.send_order(chosen, key))


def _at_received(scene: scenes.Scene, key: str, inject: Inject) -> None:
    def look(state, event):
        if isinstance(event, events.CallReceived) and event.key == key:
            scene.actor = state.identity.instance_id
            inject()

    scene.fleet.before_step.append(look)


def _at_queued(scene: scenes.Scene, key: str, inject: Inject) -> None:
    def look(state, event, done):
        for call in state.calls.call_by_id.values():
            queued = call.state is calls.CallState.QUEUED
            if queued and call.received.key == key:
                scene.actor = state.identity.instance_id
                inject()

    scene.fleet.after_step.append(look)


def _at_forward(scene: scenes.Scene, key: str, inject: Inject) -> None:
    def look(state, action):
        call = state.calls.call_by_id[action.call_id]
        return call.received.key == key

    _on_action(scene, actions.ForwardHome, look, inject)


def _at_recorded(scene: scenes.Scene, key: str, inject: Inject) -> None:
    def look(state, event, done):
        if key in state.keys.record_by_key:
            scene.actor = state.identity.instance_id
            inject()

    scene.fleet.after_step.append(look)


def _before_first_byte(scene: scenes.Scene, key: str, inject: Inject) -> None:
    def look(state, action):
        call = state.calls.call_by_id[action.call_id]
        if call.received.key != key:
            return False
        scene.target_id = action.target_id
        return True

    _on_action(
        scene,
        actions.Dispatch,
        look,
        lambda: scene.fleet.after(harness.HOP_MS / 2, inject),
    )


def _during_run(after_ms: float) -> Step:
    def arm(scene: scenes.Scene, key: str, inject: Inject) -> None:
        def notice(run: harness.Run) -> None:
            if run.key == key and not scene.injected:
                scene.target_id = run.target_id
                scene.actor = run.instance.split('~')[0]
                scene.fleet.after(after_ms, inject)

        scene.fleet.on_run.append(notice)

    return arm


def _at_relayed(scene: scenes.Scene, key: str, inject: Inject) -> None:
    def look(state, action):
        return state.keys.key_by_call_id.get(action.call_id) == key

    _on_action(
        scene,
        actions.Relay,
        look,
        lambda: scene.fleet.after(harness.HOP_MS / 2, inject),
    )


def _at_published(scene: scenes.Scene, key: str, inject: Inject) -> None:
    """The cell itself injects once it has published."""


def _at_read(scene: scenes.Scene, key: str, inject: Inject) -> None:
    def look(state, event):
        if isinstance(event, events.ValueRead) and event.name == 'notes/3':
            scene.actor = state.identity.instance_id
            inject()

    scene.fleet.before_step.append(look)


def _at_adopted(scene: scenes.Scene, key: str, inject: Inject) -> None:
    def look(state, event, done):
        if state.catalogue.in_force.number == 3:
            scene.actor = state.identity.instance_id
            inject()

    scene.fleet.after_step.append(look)


def _at_spread(scene: scenes.Scene, key: str, inject: Inject) -> None:
    def look(state, action):
        return state.catalogue.in_force.number == 3

    _on_action(scene, actions.SendPeer, look, inject)


def _at_in_force(scene: scenes.Scene, key: str, inject: Inject) -> None:
    def look(state, event, done):
        held = [
            found.state.catalogue.in_force.number
            for found in scene.fleet.instance_by_id.values()
        ]
        if min(held) == 3:
            scene.actor = state.identity.instance_id
            inject()

    scene.fleet.after_step.append(look)


def _at_draining(scene: scenes.Scene, key: str, inject: Inject) -> None:
    def look(state, event, done):
        gone = LEAVING_TARGET not in state.catalogue.in_force.target_by_id
        if gone and scene.fleet.target_by_id[LEAVING_TARGET].running:
            scene.actor = state.identity.instance_id
            inject()

    scene.fleet.after_step.append(look)


CALL_STEP_BY_NAME: dict[str, Step] = {
    'address-answer': _at_address_answer,
    'received': _at_received,
    'queued': _at_queued,
    'home-forward': _at_forward,
    'key-recorded': _at_recorded,
    'before-first-byte': _before_first_byte,
    'after-first-byte': _during_run(1),
    'partial-answer': _during_run(0.9 * scenes.SERVICE_MS),
    'whole-answer': _during_run(scenes.SERVICE_MS + harness.HOP_MS / 2),
    'relayed': _at_relayed,
}
NOTE_STEP_BY_NAME: dict[str, Step] = {
    'published': _at_published,
    'read': _at_read,
    'adopted': _at_adopted,
    'spread': _at_spread,
    'in-force': _at_in_force,
    'withdrawn-draining': _at_draining,
}


# Running a cell


def _once(
    scene: scenes.Scene,
    names: tuple[str, ...],
    heals: list[faults.Heal],
) -> Inject:
    def inject() -> None:
        if scene.injected:
            return
        scene.injected.extend(names)
        for name in names:
            heals.append(faults.FAULT_BY_NAME[name](scene))
        scene.fleet.after(scenes.FAULT_MS, heal)

    def heal() -> None:
        while heals:
            heals.pop()()

    return inject


def _on_action(
    scene: scenes.Scene,
    kind: type,
    matches: typing.Callable[[typing.Any, typing.Any], bool],
    inject: Inject,
) -> None:
    def look(state, event, done):
        for action in done:
            if isinstance(action, kind) and matches(state, action):
                if not scene.injected:
                    scene.actor = state.identity.instance_id
                inject()

    scene.fleet.after_step.append(look)


def _fill_slots(scene: scenes.Scene, path: str = '/slow') -> None:
    slots = sum(found.slots for found in scene.fleet.target_by_id.values())
    for _ in range(slots):
        scene.send_lookup(HOME, path)


def _finish(
    scene: scenes.Scene,
    heals: list[faults.Heal],
    settle_ms: float,
    resend: typing.Callable[[], int | None],
) -> None:
    scene.fleet.run_for(2 * scenes.FAULT_MS)
    assert not heals, 'the fault was injected too late to heal'
    resend()
    scene.fleet.run_for(settle_ms)
    asked = [scene.send_lookup(instance_id) for instance_id in scene.live_ids()]
    scene.fleet.run_for(2000)
    told = [scene.fleet.told_by_call.get(call_id) for call_id in asked]
    assert asked, 'no instance serves after the fault healed'
    assert all(scene.has_ran(call_id) for call_id in asked), (
        f'calls are not served after the fault healed: {told}'
    )


def _new_target() -> harness.Target:
    made = harness.Target('burza-4', slots=2, service_ms=scenes.SERVICE_MS)
    made.service_time = scenes.service_time
    return made


def _swap_note() -> dict[str, typing.Any]:
    entry = harness.target_entry(_new_target(), scenes.SERVICE)
    return {
        'added': {'targets': [entry]},
        'withdrawn': {'targets': [LEAVING_TARGET]},
    }
