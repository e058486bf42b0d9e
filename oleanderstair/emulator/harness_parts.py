"""The parts of the harness: its targets, instances and hooks."""

import dataclasses
import enum
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, outcomes, world

HOP_MS: typing.Final[clock.Millis] = 0.5
SILENT_MS: typing.Final[clock.Millis] = 1e9
SHED_RETRY_AFTER_MS: typing.Final[clock.Millis] = 1000


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
