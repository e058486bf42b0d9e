"""Drives the decision code of several instances on a virtual clock.

It stands at the interface of events and actions: it delivers messages,
answers reads, and lets small targets answer calls. Hooks inject faults.
"""

import dataclasses
import enum
import heapq
import itertools
import random
import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain import (
    actions,
    balancer,
    events,
    messages,
    outcomes,
    policy,
    world,
)
from oleanderstair.domain.configuration import notes, spread
from oleanderstair.domain.tables import identity

HOP_MS: typing.Final[clock.Millis] = 0.5
SILENT_MS: typing.Final[clock.Millis] = 1e9
SHED_RETRY_AFTER_MS: typing.Final[clock.Millis] = 1000
_FAILED: typing.Final = 500
_SEED_BITS: typing.Final = 64


class Behaviour(enum.Enum):
    """What a target does with a call."""

    SERVE = 'serve'
    FAIL_FAST = 'fail-fast'
    CRASH = 'crash'
    SILENT = 'silent'
    UNREACHABLE = 'unreachable'


class Run(typing.NamedTuple):
    """A call that a target began to run."""

    at_ms: clock.Millis
    target_id: str
    key: str
    fingerprint: str
    path: str
    instance: str = ''
    call_id: int = 0


class Told(typing.NamedTuple):
    """What the caller of a call was told."""

    at_ms: clock.Millis
    outcome: outcomes.Outcome
    reason: outcomes.Reason | None
    status: int


class LinkRule(typing.Protocol):
    """Decide what becomes of a message between two instances."""

    def __call__(
        self,
        sender: str,
        receiver: str,
        message: messages.Message | None,
    ) -> typing.Sequence[clock.Millis]:
        """Return the delay of each copy in ms; none loses the message.

        ``message`` is None for a forwarded keyed call or its answer.
        """


class BeforeStep(typing.Protocol):
    """Look at an event just before an instance handles it."""

    def __call__(self, state: world.World, event: events.Event) -> None:
        """Observe, or inject a fault."""


class AfterStep(typing.Protocol):
    """Look at a step before its actions are performed."""

    def __call__(
        self,
        state: world.World,
        event: events.Event,
        done: typing.Sequence[actions.Action],
    ) -> None:
        """Observe, or inject a fault."""


class Target:
    """A target with slots; ``service_time`` draws the ms of one call."""

    def __init__(
        self,
        target_id: str,
        slots: int = 4,
        service_ms: clock.Millis = 4,
        queue_limit: int = 0,
    ) -> None:
        """Serve ``slots`` calls at once and shed beyond ``queue_limit``."""
        self.target_id = target_id
        self.slots = slots
        self.queue_limit = queue_limit
        self.service_time: typing.Callable[
            [events.CallReceived],
            clock.Millis,
        ] = lambda received: service_ms
        self.behaviour = Behaviour.SERVE
        self.crashing_paths: set[str] = set()
        self.leaving = False
        self.passes_on = False
        self.incarnation = '1'
        self.reported_in_flight: int | None = None
        self.running: set[tuple[str, int]] = set()
        self.waiting: list[tuple[tuple[str, int], typing.Callable[[], None]]]
        self.waiting = []
        self.shed = 0
        self.probe_reads = 0
        self.most_running = 0

    def report(self) -> events.TargetReport:
        """Return what the health and load endpoints say."""
        claimed = self.reported_in_flight
        in_flight = len(self.running) if claimed is None else claimed
        return events.TargetReport(
            healthy=True,
            leaving=self.leaving,
            in_flight=in_flight,
            queued=len(self.waiting),
            incarnation=self.incarnation,
        )


@dataclasses.dataclass(slots=True)
class Instance:
    """One instance under the harness."""

    state: world.World
    seed: int = 0
    alive: bool = True
    paused_until_ms: clock.Millis = clock.NEVER_MS
    action_log: list[tuple[clock.Millis, actions.Action]] = dataclasses.field(
        default_factory=list,
    )


class Harness:
    """Instances, targets and the platform around one virtual clock."""

    def __init__(self, seed: int = 1) -> None:
        """Start at 0 ms with nothing; ``seed`` fixes every draw."""
        self.clock = clock.virtual()
        self.rng = random.Random(seed)
        self.instance_by_id: dict[str, Instance] = {}
        self.instance_by_incarnation: dict[str, Instance] = {}
        self.target_by_id: dict[str, Target] = {}
        self.body_by_name: dict[str, bytes] = {}
        self.listed: dict[str, events.ListedInstance] = {}
        self.platform_down = False
        self.platform_reads = 0
        self.link_rule: LinkRule = lambda sender, receiver, message: (HOP_MS,)
        self.runs: list[Run] = []
        self.told_by_call: dict[int, Told] = {}
        self.peer_bytes = 0
        self.read_rule: typing.Callable[[str, str], bytes | None] = (
            lambda reader, name: self.body_by_name.get(name)
        )
        self._watches: list[tuple[str, str]] = []
        self.before_step: list[BeforeStep] = []
        self.after_step: list[AfterStep] = []
        self.on_run: list[typing.Callable[[Run], None]] = []
        self._due: list[
            tuple[clock.Millis, int, typing.Callable[[], None]]
        ] = []
        self._order = itertools.count()
        self._call_ids = itertools.count(1)
        self._incarnations = itertools.count(1)
        self._number = 0
        self._digest = ''
        self._asker_by_call: dict[int, tuple[str, int]] = {}
        self._address_by_id: dict[str, str] = {}
        self._perform_by_action: dict[
            type[actions.Action],
            typing.Callable[[str, typing.Any], None],
        ] = {
            actions.Dispatch: self._dispatch,
            actions.CancelAttempt: self._cancel,
            actions.Relay: self._relay,
            actions.RelayRecorded: self._relay,
            actions.RelayHome: self._relay,
            actions.Refuse: self._refuse,
            actions.ForwardHome: self._forward,
            actions.ReadValue: self._read_value,
            actions.WatchValue: self._watch_value,
            actions.ReadInstances: self._read_instances,
            actions.Probe: self._probe,
            actions.SendPeer: self._send_peer,
            actions.Exit: self._exit,
        }

    # Setting up

    def add_instance(
        self,
        instance_id: str,
        data_centre: str = 'trnava',
        listed: bool = True,
        region: str = 'west',
        **limits: typing.Any,
    ) -> world.World:
        """Start an instance, or a fresh incarnation of a known one."""
        own = identity.Identity(
            instance_id=instance_id,
            incarnation=f'{instance_id}~{next(self._incarnations)}',
            region=region,
            data_centre=data_centre,
            caller_address=f'{instance_id}:80',
            peer_address=instance_id,
        )
        seed = self.rng.getrandbits(_SEED_BITS)
        seeded = random.Random(seed)
        state = world.create(own, policy.Policy(**limits), seeded)
        started = Instance(state, seed)
        self.instance_by_id[instance_id] = started
        self.instance_by_incarnation[own.incarnation] = started
        if listed:
            self.listed[instance_id] = events.ListedInstance(
                instance_id,
                region,
                data_centre,
                own.caller_address,
                own.peer_address,
            )
        self.after(self.rng.random() * 10, lambda: self._tick(started))
        return state

    def add_target(self, target: Target) -> None:
        """Add a target that can be reached; a note must name it."""
        self.target_by_id[target.target_id] = target

    def publish(self, note: dict[str, typing.Any]) -> int:
        """Publish the next note and return its number."""
        self._number += 1
        body = msgspec.json.encode(
            {'number': self._number, 'parent': self._digest, **note},
        )
        self._digest = notes.digest(body)
        self.body_by_name[spread.note_name(self._number)] = body
        self.body_by_name[spread.HEAD_NAME] = msgspec.json.encode(
            {'number': self._number, 'digest': self._digest},
        )
        self._end_watches()
        return self._number

    # Faults

    def kill(self, instance_id: str) -> None:
        """End an instance at once; what it held is gone."""
        self.instance_by_id[instance_id].alive = False

    def pause(self, instance_id: str, for_ms: clock.Millis) -> None:
        """Let nothing run at an instance; what arrives waits."""
        paused = self.instance_by_id[instance_id]
        paused.paused_until_ms = self.clock.now_ms() + for_ms

    # Running

    def call(self, instance_id: str, **fields: typing.Any) -> int:
        """Send a call to an instance now and return its id."""
        call_id = next(self._call_ids)
        now_ms = self.clock.now_ms()
        received = events.CallReceived(
            call_id=call_id,
            service=fields.pop('service', 'burza'),
            method=fields.pop('method', 'GET'),
            path=fields.pop('path', '/'),
            deadline_ms=now_ms + fields.pop('budget_ms', 1000),
            **fields,
        )
        self.step(instance_id, received)
        return call_id

    def after(
        self,
        delay_ms: clock.Millis,
        work: typing.Callable[[], None],
    ) -> None:
        """Run ``work`` once ``delay_ms`` have passed."""
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._due, (at_ms, next(self._order), work))

    def run_for(self, span_ms: clock.Millis) -> None:
        """Let ``span_ms`` pass."""
        until_ms = self.clock.now_ms() + span_ms
        while self._due and self._due[0][0] <= until_ms:
            at_ms, _, work = heapq.heappop(self._due)
            self.clock.at_ms = at_ms
            work()
        self.clock.at_ms = until_ms

    def step(self, instance_id: str, event: events.Event) -> None:
        """Give an event to the instance that runs now under this id."""
        self._step(self.instance_by_id[instance_id], event)

    def _step(self, instance: Instance, event: events.Event) -> None:
        if not instance.alive:
            return
        now_ms = self.clock.now_ms()
        if now_ms < instance.paused_until_ms:
            wait_ms = instance.paused_until_ms - now_ms
            self.after(wait_ms, lambda: self._step(instance, event))
            return
        for look in self.before_step:
            look(instance.state, event)
        if not instance.alive:
            return
        instance_id = instance.state.identity.instance_id
        done = balancer.step(instance.state, event, now_ms)
        for observe in self.after_step:
            observe(instance.state, event, done)
        for action in done:
            instance.action_log.append((now_ms, action))
            perform = self._perform_by_action.get(type(action))
            if perform is not None:
                perform(instance_id, action)

    def _tick(self, instance: Instance) -> None:
        if not instance.alive:
            return
        if self.clock.now_ms() >= instance.paused_until_ms:
            self._step(instance, events.Tick())
        self.after(
            instance.state.policy.tick_ms,
            lambda: self._tick(instance),
        )

    def _later(
        self,
        delay_ms: clock.Millis,
        instance_id: str,
        event: events.Event,
    ) -> None:
        instance = self._find(instance_id)
        self.after(delay_ms, lambda: self._step(instance, event))

    def _find(self, name: str) -> Instance:
        """Return an instance by its incarnation, or by the id it runs as."""
        known = self.instance_by_incarnation.get(name)
        return known or self.instance_by_id[name]

    # Calls at targets

    def _dispatch(self, instance_id: str, action: actions.Dispatch) -> None:
        state = self.instance_by_id[instance_id].state
        call = state.calls.call_by_id[action.call_id]
        incarnation = state.identity.incarnation
        self.after(
            HOP_MS,
            lambda: self._arrive(incarnation, action, call.received),
        )
        self._later(
            action.silence_ms,
            incarnation,
            _ended(action, events.Verdict.SILENT),
        )

    def _arrive(
        self,
        instance_id: str,
        action: actions.Dispatch,
        received: events.CallReceived,
    ) -> None:
        target = self.target_by_id[action.target_id]
        running = (instance_id, action.attempt_id)
        if target.behaviour is Behaviour.UNREACHABLE:
            ended = _ended(action, events.Verdict.NOT_SENT)
            self._later(HOP_MS, instance_id, ended._replace(crashed=True))
        elif len(target.running) < target.slots:
            self._run(instance_id, target, action, received)
        elif len(target.waiting) < target.queue_limit:
            target.waiting.append(
                (
                    running,
                    lambda: self._run(instance_id, target, action, received),
                ),
            )
        else:
            target.shed += 1
            ended = _ended(action, events.Verdict.SHED)._replace(
                retry_after_ms=SHED_RETRY_AFTER_MS,
                passed_on=target.passes_on,
            )
            self._later(
                HOP_MS,
                instance_id,
                ended._replace(leaving=target.leaving),
            )

    def _run(
        self,
        instance_id: str,
        target: Target,
        action: actions.Dispatch,
        received: events.CallReceived,
    ) -> None:
        running = (instance_id, action.attempt_id)
        target.running.add(running)
        target.most_running = max(target.most_running, len(target.running))
        started = Run(
            self.clock.now_ms(),
            target.target_id,
            received.key,
            received.fingerprint,
            received.path,
            instance_id,
            received.call_id,
        )
        self.runs.append(started)
        for notice in self.on_run:
            notice(started)
        if received.path in target.crashing_paths:
            self.crash(target.target_id)
            return
        ended = _ended(action, events.Verdict.ANSWERED)
        served_ms = target.service_time(received)
        if target.behaviour is Behaviour.FAIL_FAST:
            ended = ended._replace(status=_FAILED)
            served_ms = HOP_MS
        if target.behaviour is Behaviour.SILENT:
            served_ms = SILENT_MS
        self.after(
            served_ms,
            lambda: self._finish(instance_id, target, running, ended),
        )

    def _finish(
        self,
        instance_id: str,
        target: Target,
        running: tuple[str, int],
        ended: events.AttemptEnded,
    ) -> None:
        if running not in target.running:
            return
        target.running.discard(running)
        self._later(
            HOP_MS,
            instance_id,
            ended._replace(leaving=target.leaving),
        )
        self._take_waiting(target)

    def _take_waiting(self, target: Target) -> None:
        if target.waiting and len(target.running) < target.slots:
            _, start = target.waiting.pop(0)
            start()

    def crash(self, target_id: str) -> None:
        """Reset every exchange of a target; it stays unreachable."""
        target = self.target_by_id[target_id]
        target.behaviour = Behaviour.UNREACHABLE
        lost = sorted(target.running)
        target.running.clear()
        target.waiting.clear()
        for instance_id, attempt_id in lost:
            self._later(
                HOP_MS,
                instance_id,
                events.AttemptEnded(
                    self._call_of(instance_id, attempt_id),
                    attempt_id,
                    events.Verdict.BROKEN,
                    crashed=True,
                ),
            )

    def _call_of(self, instance_id: str, attempt_id: int) -> int:
        table = self._find(instance_id).state.calls
        for call in table.call_by_id.values():
            if any(found.attempt_id == attempt_id for found in call.attempts):
                return call.call_id
        return 0

    def _cancel(self, instance_id: str, action: actions.CancelAttempt) -> None:
        state = self.instance_by_id[instance_id].state
        running = (state.identity.incarnation, action.attempt_id)
        for target in self.target_by_id.values():
            target.waiting = [
                entry for entry in target.waiting if entry[0] != running
            ]
            if running in target.running:
                target.running.discard(running)
                self._take_waiting(target)
        self._later(
            0,
            instance_id,
            events.AttemptEnded(
                action.call_id,
                action.attempt_id,
                events.Verdict.CANCELLED,
            ),
        )

    # Answers to callers and keyed calls between instances

    def _relay(self, instance_id: str, action: typing.Any) -> None:
        self._tell(instance_id, action.call_id, outcomes.Outcome.RAN, None)

    def _refuse(self, instance_id: str, action: actions.Refuse) -> None:
        self._tell(instance_id, action.call_id, action.outcome, action.reason)

    def _tell(
        self,
        instance_id: str,
        call_id: int,
        outcome: outcomes.Outcome,
        reason: outcomes.Reason | None,
    ) -> None:
        asker = self._asker_by_call.pop(call_id, None)
        if asker is None:
            now_ms = self.clock.now_ms()
            self.told_by_call[call_id] = Told(now_ms, outcome, reason, 0)
            return
        asker_id, asked_call_id = asker
        home = self.instance_by_id[instance_id].state.identity.incarnation
        replied = events.HomeReplied(
            asked_call_id,
            outcome,
            reason,
            home=home,
        )
        asker_place = self._find(asker_id).state.identity.instance_id
        for delay_ms in self.link_rule(instance_id, asker_place, None):
            self._later(delay_ms, asker_id, replied)

    def _forward(self, instance_id: str, action: actions.ForwardHome) -> None:
        state = self.instance_by_id[instance_id].state
        received = state.calls.call_by_id[action.call_id].received
        asker = state.identity.incarnation

        def arrive() -> None:
            self._arrive_home(asker, action, received)

        for delay_ms in self.link_rule(instance_id, action.address, None):
            self.after(delay_ms, arrive)

    def _arrive_home(
        self,
        asker_id: str,
        action: actions.ForwardHome,
        received: events.CallReceived,
    ) -> None:
        home = self.instance_by_id[action.address]
        if home.state.identity.incarnation != action.home:
            return
        call_id = next(self._call_ids)
        self._asker_by_call[call_id] = (asker_id, action.call_id)
        self._step(
            home,
            received._replace(call_id=call_id, from_peer=asker_id),
        )

    # Platform, probes and peers

    def _read_value(self, instance_id: str, action: actions.ReadValue) -> None:
        self._answer_value(instance_id, action.name, HOP_MS, action.nonce)

    def _watch_value(
        self,
        instance_id: str,
        action: actions.WatchValue,
    ) -> None:
        body = self.read_rule(instance_id, action.name) or b''
        if self.platform_down or notes.digest(body) != action.digest:
            self._answer_value(instance_id, action.name, HOP_MS)
            return
        watch = (instance_id, action.name)
        self._watches.append(watch)
        self.after(action.bound_ms, lambda: self._end_watch(watch))

    def _end_watch(self, watch: tuple[str, str]) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            self._answer_value(*watch, HOP_MS)

    def _end_watches(self) -> None:
        for watch in list(self._watches):
            self._end_watch(watch)

    def _answer_value(
        self,
        instance_id: str,
        name: str,
        delay_ms: clock.Millis,
        nonce: int = 0,
    ) -> None:
        self.platform_reads += 1
        if self.platform_down:
            event: events.Event = events.ReadFailed(name, 'service down')
        else:
            body = self.read_rule(instance_id, name)
            event = events.ValueRead(name, body, nonce)
        self._later(delay_ms, instance_id, event)

    def _read_instances(
        self,
        instance_id: str,
        action: actions.ReadInstances,
    ) -> None:
        event = events.InstancesRead(tuple(self.listed.values()))
        self._later(HOP_MS, instance_id, event)

    def _probe(self, instance_id: str, action: actions.Probe) -> None:
        target = self.target_by_id.get(action.target_id)
        if target is None:
            failed = events.ProbeEnded(action.target_id, None, HOP_MS)
            self._later(HOP_MS, instance_id, failed)
            return
        target.probe_reads += 2
        reachable = target.behaviour not in {
            Behaviour.UNREACHABLE,
            Behaviour.SILENT,
        }
        report = target.report() if reachable else None
        took_ms = 2 * HOP_MS if reachable else action.bound_ms
        self._later(
            took_ms,
            instance_id,
            events.ProbeEnded(action.target_id, report, took_ms),
        )

    def _send_peer(self, instance_id: str, action: actions.SendPeer) -> None:
        receiver_id = action.address
        if receiver_id not in self.instance_by_id:
            return
        sender = self.instance_by_id[instance_id].state.identity.incarnation
        heard = events.PeerHeard(sender, action.message)
        delays = self.link_rule(instance_id, receiver_id, action.message)
        for delay_ms in delays:
            self._later(delay_ms, receiver_id, heard)

    def _exit(self, instance_id: str, action: actions.Exit) -> None:
        self.kill(instance_id)
        self.listed.pop(instance_id, None)


def create(seed: int = 1) -> Harness:
    """Create a harness without instances and targets."""
    return Harness(seed)


def first_note(
    services: typing.Mapping[str, typing.Sequence[Target]],
    **service_fields: typing.Any,
) -> dict[str, typing.Any]:
    """Return the note that adds ``services`` with their targets."""
    return {
        'added': {
            'services': [
                {'name': name, 'region': 'west', **service_fields}
                for name in services
            ],
            'targets': [
                target_entry(target, name)
                for name, members in services.items()
                for target in members
            ],
        },
    }


def target_entry(target: Target, service: str) -> dict[str, typing.Any]:
    """Return the entry of a target in a note."""
    return {
        'id': target.target_id,
        'service': service,
        'address': f'{target.target_id}:80',
        'data_centre': 'trnava',
        'slots': target.slots,
    }


def _ended(
    action: actions.Dispatch,
    verdict: events.Verdict,
) -> events.AttemptEnded:
    return events.AttemptEnded(action.call_id, action.attempt_id, verdict)
