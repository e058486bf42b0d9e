"""Instances that send routed calls to fake targets on one virtual clock."""

import collections
import dataclasses
import heapq
import itertools
import random
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, gateway, world
from oleanderstair.domain.configuration import routing
from oleanderstair.domain.tables import load_reports, registry, routes
from test import helper

SERVICE = 'burza'
HOST = 'exchange.example'
READ_MS = 1.0
OWN_DATA_CENTRE = 'trnava'


class Reply(typing.NamedTuple):
    """The outcome of one dispatch at a target, after a time."""

    after_ms: float
    verdict: events.Verdict = events.Verdict.ANSWERED
    status: int = 200
    misdirected: bool = False
    unanswered: bool = False
    stale: bool = False
    memory_short: bool = False


@dataclasses.dataclass
class Target:
    """A target with slots and a variable slowness of its machine."""

    target_id: str
    data_centre: str = OWN_DATA_CENTRE
    slots: int = 4
    work_ms: float = 100
    slowness: float = 1
    reports: bool = True
    running: int = 0
    queued: int = 0
    behave: typing.Callable[['Target'], Reply] | None = None

    def report(self) -> load_reports.Report:
        """Return the load report that the health path would answer."""
        return load_reports.Report(
            self.running,
            self.queued,
            self.slots,
            self.slowness,
        )

    def reply_to_dispatch(self) -> Reply:
        """Return the outcome of a dispatch that arrives now."""
        if self.behave is not None:
            return self.behave(self)
        return Reply(self.work_ms * self.slowness)


class Sent(typing.NamedTuple):
    """One dispatch that reached its target."""

    at_ms: float
    instance_id: str
    call_id: int
    target_id: str
    budget_ms: float


@dataclasses.dataclass
class Scene:
    """Worlds of instances, targets and scheduled events."""

    target_by_id: dict[str, Target]
    state_by_id: dict[str, world.World] = dataclasses.field(
        default_factory=dict,
    )
    now_ms: float = 100_000
    sent: list[Sent] = dataclasses.field(default_factory=list)
    reads: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    ended: dict[tuple[str, int], tuple[float, actions.Action]] = (
        dataclasses.field(default_factory=dict)
    )
    due: list[tuple[float, int, str, typing.Any]] = dataclasses.field(
        default_factory=list,
    )
    cancelled: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    counter: typing.Iterator[int] = dataclasses.field(
        default_factory=itertools.count,
    )
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(7),
    )

    def call(self, instance_id: str, path: str = '/look/1') -> int:
        """Deliver a call to an instance now and return its id."""
        call_id = next(self.counter) + 1
        received = events.CallReceived(
            call_id=call_id,
            service='',
            method='GET',
            path=path,
            deadline_ms=self.now_ms + 1000,
            host=HOST,
        )
        self._step(instance_id, received)
        return call_id

    def run_for(self, span_ms: float) -> None:
        """Handle all events that are due within a time."""
        until_ms = self.now_ms + span_ms
        while self.due and self.due[0][0] <= until_ms:
            found = heapq.heappop(self.due)
            self.now_ms = found[0]
            if callable(found[3]):
                found[3]()
            else:
                self._step(found[2], found[3])
        self.now_ms = until_ms

    def is_answered(self, instance_id: str, call_id: int) -> bool:
        """Return whether a call got the answer of a target."""
        _, action = self.ended.get((instance_id, call_id), (0, None))
        return isinstance(action, actions.Relay)

    def target_ids_of(self, call_id: int) -> list[str]:
        """Return the targets that a call was sent to, in order."""
        return [sent.target_id for sent in self.sent if sent.call_id == call_id]

    def max_retries_in_window(self, window_ms: float) -> int:
        """Return the maximum number of retries and hedges in any window."""
        sent_ids: set[int] = set()
        recent: collections.deque[float] = collections.deque()
        max_retries = 0
        for sent in self.sent:
            if sent.call_id not in sent_ids:
                sent_ids.add(sent.call_id)
                continue
            recent.append(sent.at_ms)
            while recent[0] <= sent.at_ms - window_ms:
                recent.popleft()
            max_retries = max(max_retries, len(recent))
        return max_retries

    def register(self, *entries: registry.Entry) -> None:
        """Add registry entries at all instances."""
        for instance_id, state in self.state_by_id.items():
            event = events.RegistryChanged(
                state.registry.revision + 1,
                entries,
                (),
            )
            self._step(instance_id, event)

    def after(
        self,
        after_ms: float,
        instance_id: str,
        event: typing.Any,
    ) -> None:
        """Schedule an event of an instance, or a function."""
        heapq.heappush(
            self.due,
            (self.now_ms + after_ms, next(self.counter), instance_id, event),
        )

    def _step(self, instance_id: str, event: events.Event) -> None:
        state = self.state_by_id[instance_id]
        for action in gateway.step(state, event, self.now_ms):
            self._perform(instance_id, action)

    def _perform(self, instance_id: str, action: actions.Action) -> None:
        match action:
            case actions.Schedule():
                self.after(action.after_ms, instance_id, action.event)
            case actions.ReadLoad():
                self._read(instance_id, action)
            case actions.Dispatch():
                self._dispatch(instance_id, action)
            case actions.CancelAttempt():
                self.cancelled.add((instance_id, action.attempt_id))
            case actions.Relay() | actions.Refuse():
                key = (instance_id, action.call_id)
                self.ended[key] = (self.now_ms, action)

    def _read(self, instance_id: str, action: actions.ReadLoad) -> None:
        self.reads.append((self.now_ms, action.target_id))
        target = self.target_by_id[action.target_id]
        report = target.report() if target.reports else None
        after_ms = READ_MS if target.reports else action.bound_ms
        event = events.LoadRead(action.target_id, report, after_ms)
        self.after(after_ms, instance_id, event)

    def _dispatch(self, instance_id: str, action: actions.Dispatch) -> None:
        target = self.target_by_id[action.target_id]
        reply = target.reply_to_dispatch()
        if reply.verdict is not events.Verdict.NOT_SENT:
            self.sent.append(
                Sent(
                    self.now_ms,
                    instance_id,
                    action.call_id,
                    action.target_id,
                    action.budget_ms,
                ),
            )
        target.running += 1

        def end() -> None:
            target.running -= 1
            if (instance_id, action.attempt_id) in self.cancelled:
                return
            event = events.AttemptEnded(
                action.call_id,
                action.attempt_id,
                reply.verdict,
                reply.status,
                load=None if reply.unanswered else target.report(),
                misdirected=reply.misdirected,
                crashed=reply.unanswered and not reply.stale,
                unanswered=reply.unanswered,
                stale=reply.stale,
                memory_short=reply.memory_short,
            )
            self._step(instance_id, event)

        self.after(min(reply.after_ms, action.silence_ms), instance_id, end)


def registry_entry(
    target: Target,
    revision: int = 1,
    slow_start_until_ms: clock.Millis = 0,
) -> registry.Entry:
    """Return the registry entry of a target."""
    return registry.Entry(
        target_id=target.target_id,
        service=SERVICE,
        address=f'{target.target_id}:80',
        data_centre=target.data_centre,
        slots=target.slots,
        leaving=False,
        born_ms=1,
        slow_start_until_ms=slow_start_until_ms,
        revision=revision,
    )


def create(
    targets: typing.Iterable[Target],
    instances: int = 1,
    max_attempts: int = 3,
    **limits: typing.Any,
) -> Scene:
    """Return instances of one data centre with all targets registered."""
    limits.setdefault('retry_slack', 75)
    limits.setdefault('assumed_instances', instances)
    scene = Scene({target.target_id: target for target in targets})
    entries = tuple(map(registry_entry, scene.target_by_id.values()))
    for number in range(1, instances + 1):
        state = helper.make_world(f'entry-{number}', **limits)
        state.rng.seed(number)
        state.retry_budget.counting_since_ms = 0
        scene.state_by_id[f'entry-{number}'] = state
        for event in (
            events.RoutingRead(_routing(max_attempts), 'store'),
            events.RegistryRead(1, entries),
        ):
            gateway.step(state, event, scene.now_ms)
    return scene


def always_reply(reply: Reply) -> typing.Callable[[Target], Reply]:
    """Return a behaviour that gives every dispatch the same outcome."""

    def behave(target: Target) -> Reply:
        return reply

    return behave


def make_targets(count: int = 6, work_ms: float = 100) -> list[Target]:
    """Return targets in the data centre of the instances."""
    return [
        Target(f'burza-{number}', work_ms=work_ms)
        for number in range(1, count + 1)
    ]


def send_steadily(
    scene: Scene,
    per_s: float,
    for_ms: float,
    path: str = '/look/1',
) -> list[tuple[str, int]]:
    """Send calls at a constant rate, to the instances in turn.

    Return the instance and id of each call.
    """
    ids = itertools.cycle(scene.state_by_id)
    calls: list[tuple[str, int]] = []
    for _ in range(int(per_s * for_ms / 1000)):
        instance_id = next(ids)
        calls.append((instance_id, scene.call(instance_id, path)))
        scene.run_for(1000 / per_s)
    scene.run_for(2000)
    return calls


def _routing(max_attempts: int) -> routes.Routing:
    return routes.Routing(
        number=1,
        routes_by_host=routing.index_routes(
            [
                _route('lookup', '/look/', max_attempts, idempotent=True),
                _route('order', '/order/', max_attempts, idempotent=False),
            ],
        ),
        service_by_name={
            SERVICE: routes.RoutedService(SERVICE, '/health', 300),
        },
        limits=routes.CallerLimits(),
    )


def _route(
    name: str,
    prefix: str,
    max_attempts: int,
    idempotent: bool,
) -> routes.Route:
    return routes.Route(
        name=name,
        host=HOST,
        prefix=prefix,
        parts=(routes.SplitPart(SERVICE, 1),),
        idempotent=idempotent,
        timeout_ms=1000,
        aim_ms=300,
        rank=1,
        max_attempts=max_attempts,
    )
