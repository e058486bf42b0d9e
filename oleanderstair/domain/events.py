"""The events that the I/O shell passes to the decision code."""

import enum
import typing

from oleanderstair import clock
from oleanderstair.domain import messages, outcomes, policy
from oleanderstair.domain.tables import (
    load_reports,
    operator_state,
    registry,
    routes,
    store,
)

# Calls


class CallReceived(typing.NamedTuple):
    """A complete call arrived from a caller or, at its home, from a peer.

    For calls on routes ``service`` is empty, and ``host`` and ``path``
    determine the route. ``depth`` is the nesting level of the call. ``key``
    is its idempotency key, ``fingerprint`` a digest of its content, and
    ``request_id`` the id that the caller gave it. ``from_peer`` is the
    incarnation that forwarded it, empty if it came from a caller. That peer
    had the configuration ``configuration`` in force and allows up to
    ``max_attempts`` attempts on its route, 0 if that is not limited.
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
    configuration: int = 0
    max_attempts: int = 0


class SampleDue(typing.NamedTuple):
    """The time that a call may await load reports has passed.

    ``round`` is the call's sampling round for which this was scheduled.
    """

    call_id: int
    round: int


class HedgeDue(typing.NamedTuple):
    """The hedge of a call is due, unless it was dispatched again.

    ``sends`` is how often it was dispatched when this was scheduled.
    """

    call_id: int
    sends: int


class RoomMissing(typing.NamedTuple):
    """No target of a call, if there is any, has a usable free slot."""

    call_id: int


class RoomSought(typing.NamedTuple):
    """Load reports are due to be read for the queued calls of a service."""

    service: str


class PatienceOver(typing.NamedTuple):
    """A queued call has reached its maximum time in the queue.

    ``round`` is that of the call when it was queued.
    """

    call_id: int
    round: int


class CallDue(typing.NamedTuple):
    """The deadline of a call, or the timeout of its route, has passed."""

    call_id: int


class CallerLeft(typing.NamedTuple):
    """The caller closed its connection before the answer was sent."""

    call_id: int


class CallerHalfClosed(typing.NamedTuple):
    """The caller closed its sending side before the answer was sent.

    It may have left, or it may still wait for the answer.
    """

    call_id: int


class Verdict(enum.Enum):
    """How an attempt at a target ended.

    ANSWERED: with a response. SHED: the target refused to run it. NOT_SENT:
    before the request was sent. BROKEN: the connection failed. SILENT: no
    response in time. CANCELLED: by this instance.
    """

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

    ``status`` is the HTTP status of the response, ``retry_after_ms`` its
    retry-after and ``answer_bytes`` the size of its body, each 0 without
    one. ``crashed``: the connection was reset or closed during the
    exchange. ``passed_on``: the target shed the call because a nested call
    of it was refused after retries. ``misdirected``: another target has the
    address now. ``unanswered``: the connection ended before any byte of a
    response. ``stale``: the target had likely closed the reused connection
    before. ``leaving``: the response says that the target is draining.
    ``load`` is the load report in the response, if there is one.
    ``memory_short``: this instance had no memory for the request or response,
    so the attempt is no evidence about the target.
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
    memory_short: bool = False


def is_success(ended: AttemptEnded) -> bool:
    """Return whether a target answered an attempt without a server error."""
    is_answered = ended.verdict is Verdict.ANSWERED
    return is_answered and ended.status < outcomes.MIN_ERROR_STATUS


class HomeReplied(typing.NamedTuple):
    """The home of a forwarded call answered; the shell keeps the response.

    ``reason`` is None if it is a target's response, not a refusal.
    """

    call_id: int
    outcome: outcomes.Outcome
    reason: outcomes.Reason | None = None
    retry_after_ms: clock.Millis = 0
    home: str = ''


# Platform and targets


class ValueRead(typing.NamedTuple):
    """A configuration value arrived; ``body`` is None if it doesn't exist.

    ``nonce`` is that of the read that it answers.
    """

    name: str
    body: bytes | None
    nonce: int = 0


class ReadFailed(typing.NamedTuple):
    """A read or watch of a configuration value failed or timed out.

    ``what`` is a description of the failure.
    """

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
    """The platform's list of instances arrived; it may be out of date."""

    entries: tuple[ListedInstance, ...]


class RoutingRead(typing.NamedTuple):
    """A whole configuration arrived; ``source`` is the store or a peer."""

    routing: routes.Routing
    source: str


class RegistryRead(typing.NamedTuple):
    """All registered targets as of a revision of the store.

    ``unreadable`` are the ids of targets whose entry could not be parsed.
    Targets that are missing are kept for ``doubt_ms``, as they may come
    back. ``gone`` are removed entries that a peer still keeps for that reason.
    """

    revision: int
    entries: tuple[registry.Entry, ...]
    unreadable: frozenset[str] = frozenset()
    doubt_ms: clock.Millis = 0
    gone: tuple[registry.RemovedEntry, ...] = ()


class RegistryChanged(typing.NamedTuple):
    """The registered targets that changed or were removed up to a revision."""

    revision: int
    entries: tuple[registry.Entry, ...]
    gone: tuple[registry.RemovedEntry, ...]


class StoreRead(typing.NamedTuple):
    """The whole store was read.

    ``routing`` is None if no configuration has been published. ``refused`` is
    the newest configuration if it can't be parsed. ``limit_by_service`` holds
    the slow start limits of ``routing``.
    """

    routing: routes.Routing | None
    registry: RegistryRead
    refused: routes.RefusedConfiguration | None = None
    evacuations: tuple[operator_state.Evacuation, ...] = ()
    limit_by_service: dict[str, operator_state.SlowStartLimit] | None = None


class StoreChanged(typing.NamedTuple):
    """A watch of the store ended, with or without changes.

    ``routing`` is None if the configuration didn't change. ``refused`` is the
    newest configuration if it can't be parsed. ``evacuations`` were requested
    and ``ended_evacuations`` taken back since the begin of the watch.
    """

    routing: routes.Routing | None
    registry: RegistryChanged
    refused: routes.RefusedConfiguration | None = None
    evacuations: tuple[operator_state.Evacuation, ...] = ()
    ended_evacuations: tuple[operator_state.Evacuation, ...] = ()
    limit_by_service: dict[str, operator_state.SlowStartLimit] | None = None


class StoreTold(typing.NamedTuple):
    """A peer's message about the store was applied to the tables.

    ``told`` is the position of the store in that message, and ``age_ms`` its
    age.
    """

    sender: str
    told: store.StorePosition
    age_ms: clock.Millis


class OperatorStateTold(typing.NamedTuple):
    """A peer has sent newer evacuations or slow start limits."""


class HistoryLost(typing.NamedTuple):
    """The store no longer has the changes after the known revision."""


class StoreFailed(typing.NamedTuple):
    """A read or watch of the platform's store failed."""

    what: str


class TargetsUnreachable(typing.NamedTuple):
    """This instance has just lost its links to all targets."""


class LoadRead(typing.NamedTuple):
    """A read of a target's load ended; ``report`` is None if it failed."""

    target_id: str
    report: load_reports.Report | None
    took_ms: clock.Millis


class TargetTold(typing.NamedTuple):
    """A target's response says that it is draining, or limits its requests.

    ``born_ms`` is the start time of the target to which the connection was
    opened. ``rest_ms`` is how long no requests are to be sent, 0 if the
    response doesn't ask for that. ``limit_per_s`` is the number of requests
    per second that the target accepts from all instances together, None if
    the response doesn't limit them.
    """

    target_id: str
    born_ms: int
    leaving: bool = False
    rest_ms: clock.Millis = 0
    limit_per_s: float | None = None


class TargetReport(typing.NamedTuple):
    """What the health and load endpoints of a target returned."""

    healthy: bool
    leaving: bool = False
    in_flight: int = 0
    queued: int = 0
    incarnation: str = ''


class ProbeEnded(typing.NamedTuple):
    """A probe of a target ended; ``report`` is None if it failed."""

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
    """Periodic work is due, every ``tick_ms``."""


class StopRequested(typing.NamedTuple):
    """The operator asked for a planned stop."""


class LimitsChanged(typing.NamedTuple):
    """The limits in the settings file changed.

    ``what`` lists the changed fields, and ``actor`` who changed them.
    """

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
    | CallerHalfClosed
    | AttemptEnded
    | HomeReplied
    | TargetsUnreachable
)

StoreEvent: typing.TypeAlias = (
    StoreRead
    | StoreChanged
    | StoreTold
    | OperatorStateTold
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
