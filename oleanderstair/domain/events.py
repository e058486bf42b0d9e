"""What the I/O shell tells the decision code."""

import enum
import typing

from oleanderstair import clock
from oleanderstair.domain import messages, outcomes, policy
from oleanderstair.domain.tables import load_reports, registry, routes, store

# Calls


class CallReceived(typing.NamedTuple):
    """A whole call arrived from a caller or, at its home, from a peer.

    Where routes decide, ``service`` is empty and ``host`` and ``path`` find
    the route; ``request_id`` is the caller's own name for the call.
    """

    call_id: int
    service: str
    method: str
    path: str
    deadline_ms: clock.Millis
    key: str = ''
    depth: int = 0
    fingerprint: str = ''
    from_peer: str = ''
    host: str = ''
    request_id: str = ''


class SampleDue(typing.NamedTuple):
    """The reports that a call waits for have had their time."""

    call_id: int
    round: int


class HedgeDue(typing.NamedTuple):
    """A call that was sent ``sends`` times may be worth another target."""

    call_id: int
    sends: int


class RoomMissing(typing.NamedTuple):
    """None of the targets that reported for a call has room for it."""

    call_id: int


class RoomSought(typing.NamedTuple):
    """The calls that wait for a service are due to look for room again."""

    service: str


class PatienceOver(typing.NamedTuple):
    """A waiting call has waited as long as it may.

    ``round`` is that of the call when it began to wait.
    """

    call_id: int
    round: int


class CallDue(typing.NamedTuple):
    """The deadline of a call, or the timeout of its route, has come."""

    call_id: int


class CallerLeft(typing.NamedTuple):
    """The caller closed its connection before it had the answer."""

    call_id: int


class Verdict(enum.Enum):
    """How one attempt at a target ended."""

    ANSWERED = 'answered'
    SHED = 'shed'
    NOT_SENT = 'not-sent'
    BROKEN = 'broken'
    SILENT = 'silent'
    CANCELLED = 'cancelled'


PROVEN_NOT_RUN: typing.Final = frozenset((Verdict.SHED, Verdict.NOT_SENT))
"""The verdicts that prove that the attempt did not run."""


class AttemptEnded(typing.NamedTuple):
    """An attempt ended; only SHED and NOT_SENT prove that it did not run.

    ``crashed`` is true where the target's connection was reset or closed
    in the middle of the exchange. ``passed_on`` is true where the target
    sheds a call only because a call below it was refused after retries.
    ``misdirected`` is true where another target has its address now.
    ``unanswered`` is true where the connection ended before any byte of an
    answer, and ``stale`` where the target had likely forgotten it before.
    """

    call_id: int
    attempt_id: int
    verdict: Verdict
    status: int = 0
    retry_after_ms: clock.Millis = 0
    leaving: bool = False
    crashed: bool = False
    answer_bytes: int = 0
    passed_on: bool = False
    load: load_reports.Report | None = None
    misdirected: bool = False
    unanswered: bool = False
    stale: bool = False


class HomeReplied(typing.NamedTuple):
    """The home of a forwarded call answered; the shell holds the answer."""

    call_id: int
    outcome: outcomes.Outcome
    reason: outcomes.Reason | None = None
    retry_after_ms: clock.Millis = 0
    home: str = ''


# Platform and targets


class ValueRead(typing.NamedTuple):
    """A configuration value arrived; ``body`` is None where it is absent.

    ``nonce`` is that of the read which it answers.
    """

    name: str
    body: bytes | None
    nonce: int = 0


class ReadFailed(typing.NamedTuple):
    """A read or watch of a configuration value failed or timed out."""

    name: str
    what: str


class ListedInstance(typing.NamedTuple):
    """One entry of the platform's instance list."""

    instance_id: str
    region: str
    data_centre: str
    caller_address: str
    peer_address: str
    leaving: bool = False


class InstancesRead(typing.NamedTuple):
    """The platform's lagging list of instances arrived."""

    entries: tuple[ListedInstance, ...]


class RoutingRead(typing.NamedTuple):
    """A whole configuration arrived, from the store or from a peer."""

    routing: routes.Routing
    source: str


class RegistryRead(typing.NamedTuple):
    """All registered targets as of a revision of the store.

    ``unreadable`` names those whose entry could not be read; within
    ``doubt_ms`` those that are missing may come back. ``gone`` are ends of
    entries that a peer still holds in doubt.
    """

    revision: int
    entries: tuple[registry.Entry, ...]
    unreadable: frozenset[str] = frozenset()
    doubt_ms: clock.Millis = 0
    gone: tuple[registry.Gone, ...] = ()


class RegistryChanged(typing.NamedTuple):
    """What changed among the registered targets up to a revision."""

    revision: int
    entries: tuple[registry.Entry, ...]
    gone: tuple[registry.Gone, ...]


class StoreRead(typing.NamedTuple):
    """The store as a whole; ``routing`` is None before the first one.

    ``refused`` is the newest configuration where that can't be read.
    """

    routing: routes.Routing | None
    registry: RegistryRead
    refused: routes.Refused | None = None


class StoreChanged(typing.NamedTuple):
    """What a watch of the store ended with; both may say nothing new."""

    routing: routes.Routing | None
    registry: RegistryChanged
    refused: routes.Refused | None = None


class StoreTold(typing.NamedTuple):
    """A peer's word of the store is in the tables.

    ``before`` is what was known until then; one that was ``pushed`` is to
    be passed on by a relay. ``age_ms`` is how old the peer's word was.
    """

    sender: str
    told: store.Position
    before: store.Position
    age_ms: clock.Millis
    pushed: bool


class HistoryLost(typing.NamedTuple):
    """The store no longer has the changes after the known revision."""


class StoreFailed(typing.NamedTuple):
    """A read or watch of the platform's store failed."""

    what: str


class LoadRead(typing.NamedTuple):
    """A target told its load; ``report`` is None where it did not."""

    target_id: str
    report: load_reports.Report | None
    took_ms: clock.Millis


class TargetTold(typing.NamedTuple):
    """An answer of a target says that it leaves, or wants nothing for a time.

    ``born_ms`` is the start of the target that its connection was opened
    to, and ``rest_ms`` is 0 where it asks for none.
    """

    target_id: str
    born_ms: int
    leaving: bool = False
    rest_ms: clock.Millis = 0


class TargetReport(typing.NamedTuple):
    """What a target's health and load endpoints said."""

    healthy: bool
    leaving: bool = False
    in_flight: int = 0
    queued: int = 0
    incarnation: str = ''


class ProbeEnded(typing.NamedTuple):
    """A probe of a target ended; ``report`` is None where it failed."""

    target_id: str
    report: TargetReport | None
    took_ms: clock.Millis


# Peers


class PeerHeard(typing.NamedTuple):
    """A message from a peer arrived."""

    sender: str
    message: messages.Message


class FactAdopted(typing.NamedTuple):
    """A peer's fact replaced an older one in the facts table."""

    fact: messages.Fact


# Process


class Tick(typing.NamedTuple):
    """The periodic run of all systems is due."""


class StopRequested(typing.NamedTuple):
    """The operator asked for a planned stop."""


class LimitsChanged(typing.NamedTuple):
    """The settings file gives other limits; ``what`` names the fields."""

    limits: policy.Policy
    actor: str
    what: str


CallEvent: typing.TypeAlias = (
    CallReceived
    | SampleDue
    | HedgeDue
    | RoomMissing
    | RoomSought
    | PatienceOver
    | CallDue
    | CallerLeft
    | AttemptEnded
    | HomeReplied
)

StoreEvent: typing.TypeAlias = (
    StoreRead
    | StoreChanged
    | StoreTold
    | HistoryLost
    | StoreFailed
    | RoutingRead
    | RegistryRead
    | RegistryChanged
)

Event: typing.TypeAlias = (
    CallEvent
    | StoreEvent
    | LoadRead
    | TargetTold
    | ValueRead
    | ReadFailed
    | InstancesRead
    | ProbeEnded
    | PeerHeard
    | FactAdopted
    | Tick
    | StopRequested
    | LimitsChanged
)
