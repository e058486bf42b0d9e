"""A fleet of gateways on the virtual clock, for tests without network.

Several worlds are stepped by ``gateway.step``; what they ask for is
performed against small targets, a store and links that tests can harm::

    fleet = gateway_fleet.create(seed=1)
    fleet.add_target('burza-1', 'burza', slots=4)
    fleet.publish(plans.Kind('lookup', 'burza', 0, plans.Work(40)))
    state = fleet.add_instance('entry-1')
    fleet.run_for(1000)
    call_id = fleet.call('entry-1', 'lookup', deadline_ms=500)
    fleet.run_for(1000)
    assert fleet.told_by_call[call_id].outcome is outcomes.Outcome.RAN

``fleet.runs`` names what targets began to run, ``fleet.done`` all steps
when ``keep_steps`` is set. Harm it by ``kill``, ``freeze``, ``stop``,
``fleet.links.cut``, ``fleet.store.down``, ``target.behaviour``,
``target.crash()``, ``leave``, ``end``. A whole deployment under load comes
from ``gateway_days.create(plan)``.
"""

import dataclasses
import functools
import itertools
import random
import typing

from oleanderstair import clock
from oleanderstair.domain import (
    actions,
    events,
    gateway,
    messages,
    outcomes,
    policy,
    stepping,
    world,
)
from oleanderstair.domain.fleet import codec
from oleanderstair.domain.tables import identity, instances, registry
from oleanderstair.emulator import (
    gateway_attempts,
    gateway_hops,
    gateway_stores,
    gateway_targets,
    links,
    plans,
    timeline,
    watched_store,
)

EXPIRY_MS: typing.Final[clock.Millis] = 4500
"""How long the entry of a target that crashed stays."""

CAPACITY: typing.Final = 300
"""How many calls a second an instance says that it can carry."""

_BETWEEN_MS: typing.Final[clock.Millis] = 1
_HEALTH_MS: typing.Final[clock.Millis] = 1
_START_SPREAD_MS: typing.Final = 300


class Told(typing.NamedTuple):
    """What the caller of a call was told."""

    at_ms: clock.Millis
    outcome: outcomes.Outcome
    reason: outcomes.Reason | None = None
    status: int = 0
    retry_after_ms: clock.Millis = 0


class Done(typing.NamedTuple):
    """One step of an instance."""

    at_ms: clock.Millis
    instance_id: str
    event: events.Event
    actions: tuple[actions.Action, ...]


class StepObserver(typing.Protocol):
    """Look at a step after it is decided, before it is performed."""

    def __call__(
        self,
        state: world.World,
        event: events.Event,
        done: typing.Sequence[actions.Action],
    ) -> None:
        """Observe, or inject a fault."""


@dataclasses.dataclass(slots=True, eq=False)
class Member:
    """One incarnation of an instance."""

    state: world.World
    alive: bool = True
    frozen_until_ms: clock.Millis = clock.NEVER_MS

    @property
    def instance_id(self) -> str:
        """Return the id of the instance."""
        return self.state.identity.instance_id

    @property
    def incarnation(self) -> str:
        """Return the name of this start of the instance."""
        return self.state.identity.incarnation

    @property
    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        serving = self.state.instances.phase is instances.Phase.SERVING
        return self.alive and serving


class GatewayFleet:
    """Instances, targets and the store around one virtual clock."""

    def __init__(self, seed: int, between_ms: clock.Millis) -> None:
        """Start at 0 ms with nothing; ``seed`` fixes every draw."""
        self.rng = random.Random(seed)
        self.seed = seed
        self.times = timeline.create()
        self.links = links.Links(between_ms, random.Random(seed + 1))
        self.stores = gateway_stores.StoreCalls(
            self.times,
            self.links,
            random.Random(seed + 2),
            self._tell_incarnation,
        )
        self.attempts = gateway_attempts.Attempts(self)
        self.hops = gateway_hops.create(self)
        self.step_by: stepping.Step = gateway.step
        self.prepare: typing.Callable[[world.World], None] | None = None
        self.member_by_id: dict[str, Member] = {}
        self.member_by_incarnation: dict[str, Member] = {}
        self.target_by_id: dict[str, gateway_targets.GatewayTarget] = {}
        self.told_by_call: dict[int, Told] = {}
        self.told_twice: list[int] = []
        self.on_told: list[typing.Callable[[int, Told], None]] = []
        self.on_step: list[StepObserver] = []
        self.keep_steps = False
        self.done: list[Done] = []
        self.counts: dict[tuple[str, str], int] = {}
        self.peer_bytes = 0
        self.peer_messages = 0
        self._call_ids = itertools.count(1)
        self._incarnations = itertools.count(1)
        self._number = 0
        self._perform_by_action = self._performs()

    @property
    def store(self) -> watched_store.WatchedStore:
        """Return the platform's store."""
        return self.stores.store

    @property
    def runs(self) -> list[gateway_attempts.Run]:
        """Return what targets began to run, in order."""
        return self.attempts.runs

    # Setting up

    def add_instance(
        self,
        instance_id: str,
        data_centre: str = 'trnava',
        seeds: tuple[str, ...] = (),
        **limits: typing.Any,
    ) -> world.World:
        """Start an instance, or a fresh incarnation of a known one."""
        own = identity.Identity(
            instance_id=instance_id,
            incarnation=f'{instance_id}~{next(self._incarnations)}',
            region='west',
            data_centre=data_centre,
            caller_address=f'{instance_id}:80',
            peer_address=instance_id,
            capacity=CAPACITY,
        )
        seeded = random.Random(f'{own.incarnation} {self.seed}')
        member = Member(world.create(own, policy.Policy(**limits), seeded))
        member.state.members.seeds = seeds
        member.state.members.started_ms = int(self.times.now_ms()) + 1
        if self.prepare is not None:
            self.prepare(member.state)
        self.member_by_id[instance_id] = member
        self.member_by_incarnation[own.incarnation] = member
        self.links.place_by_end[instance_id] = data_centre
        delay_ms = self.rng.random() * _START_SPREAD_MS
        self.times.after(delay_ms, lambda: self._tick(member))
        return member.state

    def add_target(
        self,
        target_id: str,
        service: str,
        data_centre: str = 'trnava',
        slots: int = 4,
    ) -> gateway_targets.GatewayTarget:
        """Start a target and register it."""
        target = gateway_targets.GatewayTarget(
            target_id,
            service,
            data_centre,
            slots,
            self.seed,
        )
        target.bind(self.times)
        self.target_by_id[target_id] = target
        self.links.place_by_end[target_id] = data_centre
        self.register(target)
        return target

    def register(self, target: gateway_targets.GatewayTarget) -> int:
        """Put the entry of a target as it is now; return its revision."""
        cold_until_ms = target.machine.cold_until_ms
        entry = registry.Entry(
            target_id=target.target_id,
            service=target.service,
            address=target.address,
            data_centre=target.data_centre,
            slots=target.slots,
            leaving=target.leaving,
            born_ms=target.born_ms,
            slow_start_until_ms=max(cold_until_ms, self.times.now_ms()),
            revision=0,
        )
        return self.store.put(entry)

    def publish(self, *kinds: plans.Kind) -> int:
        """Publish a configuration with one route for each kind of call."""
        self._number += 1
        names = sorted({kind.service for kind in kinds})
        services = tuple(plans.ServicePlan(name, {}) for name in names)
        plan = plans.Plan('west', {}, services, kinds)
        self.store.publish(plans.routing_of(plan, self._number))
        return self._number

    # Harm

    def kill(self, instance_id: str) -> None:
        """End an instance at once; its connections close."""
        member = self.member_by_id[instance_id]
        member.alive = False
        self.attempts.drop_all(member.incarnation)

    def freeze(self, instance_id: str, for_ms: clock.Millis) -> None:
        """Let nothing run at an instance; what arrives waits."""
        member = self.member_by_id[instance_id]
        member.frozen_until_ms = self.times.now_ms() + for_ms

    def cut_from_targets(self, instance_id: str) -> None:
        """Cut the links between an instance and all targets."""
        for target_id in self.target_by_id:
            self.links.cut(instance_id, target_id)
            self.links.cut(target_id, instance_id)

    def claim_call_id(self) -> int:
        """Return the id of another call."""
        return next(self._call_ids)

    def stop(self, instance_id: str) -> None:
        """Ask an instance for its planned stop."""
        self.step(instance_id, events.StopRequested())

    def leave(self, target_id: str) -> int:
        """Let a target say that it is leaving; it serves on."""
        target = self.target_by_id[target_id]
        target.leaving = True
        return self.register(target)

    def end(self, target_id: str) -> int:
        """End a target and remove its entry; its address is free."""
        self.target_by_id[target_id].crash()
        return self.store.remove(target_id)

    def crash(self, target_id: str, back_after_ms: float = 0) -> None:
        """Crash a target; its entry expires unless it is back before."""
        target = self.target_by_id[target_id]
        target.crash()
        if back_after_ms:
            self.times.after(
                back_after_ms,
                functools.partial(self.restart, target_id),
            )
        born_ms = target.born_ms
        self.times.after(
            EXPIRY_MS,
            lambda: self._expire(target, born_ms),
        )

    def restart(self, target_id: str, cold_ms: clock.Millis = 3000) -> None:
        """Start a target again under its id."""
        target = self.target_by_id[target_id]
        target.restart(cold_ms, cold_factor=2)
        self.register(target)

    # Running

    def call(
        self,
        instance_id: str,
        kind: str,
        deadline_ms: clock.Millis = 1000,
        prepare: typing.Callable[[int], None] | None = None,
        **fields: typing.Any,
    ) -> int:
        """Send a call of a kind now and return its id.

        ``prepare`` is told the id before the call arrives.
        """
        call_id = next(self._call_ids)
        if prepare is not None:
            prepare(call_id)
        received = events.CallReceived(
            call_id=call_id,
            service='',
            method=fields.pop('method', 'GET'),
            path=fields.pop('path', f'/{kind}/'),
            deadline_ms=self.times.now_ms() + deadline_ms,
            host=fields.pop('host', plans.HOST),
            request_id=fields.pop('request_id', f'request-{call_id}'),
            **fields,
        )
        self.step(instance_id, received)
        return call_id

    def leave_call(self, instance_id: str, call_id: int) -> None:
        """Let the caller of a call close its connection."""
        self.step(instance_id, events.CallerLeft(call_id))

    def run_for(self, span_ms: clock.Millis) -> None:
        """Let ``span_ms`` pass."""
        self.times.run_for(span_ms)

    def step(self, instance_id: str, event: events.Event) -> None:
        """Give an event to the instance that runs now under this id."""
        self.tell(self.member_by_id[instance_id], event)

    def tell(self, member: Member, event: events.Event) -> None:
        """Give an event to one incarnation, once it runs."""
        now_ms = self.times.now_ms()
        if not member.alive:
            return
        if now_ms < member.frozen_until_ms:
            self.tell_later(member.frozen_until_ms - now_ms, member, event)
            return
        if isinstance(event, events.CallReceived):
            self.attempts.note(event)
        done = self.step_by(member.state, event, now_ms)
        if self.keep_steps:
            self.done.append(
                Done(now_ms, member.instance_id, event, tuple(done)),
            )
        for observe in self.on_step:
            observe(member.state, event, done)
        self._perform(member, done)

    def _perform(
        self,
        member: Member,
        done: typing.Sequence[actions.Action],
    ) -> None:
        for action in done:
            if not member.alive:
                return
            perform = self._perform_by_action.get(type(action))
            if perform is not None:
                perform(member, action)

    def tell_later(
        self,
        delay_ms: clock.Millis,
        member: Member,
        event: events.Event,
    ) -> None:
        """Give an event to one incarnation after a time."""
        self.times.after(delay_ms, lambda: self.tell(member, event))

    def _tell_incarnation(self, incarnation: str, event: events.Event) -> None:
        self.tell(self.member_by_incarnation[incarnation], event)

    def _tick(self, member: Member) -> None:
        if not member.alive:
            return
        if self.times.now_ms() >= member.frozen_until_ms:
            self.tell(member, events.Tick())
        self.times.after(
            member.state.policy.tick_ms,
            lambda: self._tick(member),
        )

    def _expire(
        self,
        target: gateway_targets.GatewayTarget,
        born_ms: int,
    ) -> None:
        if target.born_ms == born_ms and not self.store.down:
            self.store.remove(target.target_id)

    # Performing

    def _performs(self) -> dict[type[actions.Action], typing.Any]:
        return {
            actions.Schedule: self._schedule,
            actions.Dispatch: self.attempts.dispatch,
            actions.CancelAttempt: self.attempts.cancel,
            actions.Relay: self._relay,
            actions.Refuse: self._refuse,
            actions.ReadStore: self._read_store,
            actions.WatchStore: self._watch_store,
            actions.ReadLoad: self._read_load,
            actions.SendPeer: self._send_peer,
            actions.ForwardHome: self.hops.forward,
            actions.RelayHome: self._relay_peer_answer,
            actions.Count: self._count,
            actions.Exit: self._exit,
        }

    def _schedule(self, member: Member, action: actions.Schedule) -> None:
        self.tell_later(action.after_ms, member, action.event)

    def _relay(self, member: Member, action: actions.Relay) -> None:
        status = self.attempts.take_status(member, action)
        self._tell_caller(
            member,
            action.call_id,
            Told(self.times.now_ms(), outcomes.Outcome.RAN, status=status),
        )

    def _relay_peer_answer(
        self, member: Member, action: actions.RelayHome
    ) -> None:
        self._note_told(action.call_id, self.hops.take_answer(action.call_id))

    def _refuse(self, member: Member, action: actions.Refuse) -> None:
        told = Told(
            self.times.now_ms(),
            action.outcome,
            action.reason,
            int(outcomes.RESPONSE_BY_REASON[action.reason].status),
            action.retry_after_ms,
        )
        self._tell_caller(member, action.call_id, told)

    def _tell_caller(self, member: Member, call_id: int, told: Told) -> None:
        """Tell a caller, or the peer that forwarded its call."""
        if not self.hops.answer(member, call_id, told):
            self._note_told(call_id, told)

    def _note_told(self, call_id: int, told: Told) -> None:
        if call_id in self.told_by_call:
            self.told_twice.append(call_id)
        self.told_by_call[call_id] = told
        for notice in self.on_told:
            notice(call_id, told)

    def _read_store(self, member: Member, action: actions.ReadStore) -> None:
        self.stores.read(member.incarnation, member.instance_id, action)

    def _watch_store(self, member: Member, action: actions.WatchStore) -> None:
        self.stores.watch(member.incarnation, member.instance_id, action)

    def _read_load(self, member: Member, action: actions.ReadLoad) -> None:
        target = self.attempts.target_at(action.address)
        end = member.instance_id
        report = None
        if target and not self.links.is_cut(end, target.target_id):
            report = target.report()
        if target is None or report is None:
            failed = events.LoadRead(action.target_id, None, action.bound_ms)
            self.tell_later(action.bound_ms, member, failed)
            return
        there_ms = self.links.delay_ms(end, target.target_id)
        took_ms = 2 * there_ms + _HEALTH_MS
        heard = events.LoadRead(action.target_id, report, took_ms)
        self.tell_later(took_ms, member, heard)

    def _send_peer(self, member: Member, action: actions.SendPeer) -> None:
        self.peer_messages += 1
        self.peer_bytes += len(codec.encode(action.message))
        receiver = self.member_by_id.get(action.address)
        if receiver is None:
            return
        if isinstance(action.message, messages.CallCancelled):
            self.hops.cancel(action.message.correlation)
            return
        sender_id = member.instance_id
        if self.links.loses(sender_id, receiver.instance_id):
            return
        heard = events.PeerHeard(member.incarnation, action.message)
        delay_ms = self.links.delay_ms(sender_id, receiver.instance_id)
        self.tell_later(delay_ms, receiver, heard)

    def _count(self, member: Member, action: actions.Count) -> None:
        key = (action.name, action.label)
        self.counts[key] = self.counts.get(key, 0) + action.amount

    def _exit(self, member: Member, action: actions.Exit) -> None:
        member.alive = False


def create(
    seed: int = 1,
    between_ms: clock.Millis = _BETWEEN_MS,
) -> GatewayFleet:
    """Create a fleet without instances and targets."""
    return GatewayFleet(seed, between_ms)
