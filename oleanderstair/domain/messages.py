"""The messages between instances.

Every type here is encoded as an array with a short tag, see ``codec``. New
fields are added only at the end and with a default, so that instances of
different releases understand each other.
"""

import enum
import typing

from oleanderstair import clock
from oleanderstair.domain.tables import (
    members,
    operator_state,
    registry,
    routes,
)

# Fact bodies


class TargetLeaving(typing.NamedTuple):
    """A target is draining and gets no new calls."""

    target_id: str
    target_incarnation: str
    leaving: bool = True


class RampState(typing.NamedTuple):
    """The stage of a target's slow start, shared by all instances.

    ``generation`` rises when the slow start begins or is set back, ``stage``
    with each step up. ``served`` is how many calls of this stage were answered
    at the origin of the fact.
    """

    target_id: str
    generation: int
    stage: int
    wait_ms: clock.Millis = 0
    target_incarnation: str = ''
    served: int = 0


class TargetLoad(typing.NamedTuple):
    """An instance's attempts in flight at a target, and that target's report.

    ``reported_in_flight`` is -1 if the instance has no report, and
    ``latency_ms`` is 0 if it has no measurement.
    """

    target_id: str
    in_flight: int
    reported_in_flight: int = -1
    report_age_ms: clock.Millis = 0
    latency_ms: int = 0


class CallSuspect(typing.NamedTuple):
    """The fingerprint of a request that may crash the targets that run it.

    ``deaths`` is 2 if a target crashed that ran nothing else, 1 if one
    crashed that ran other calls too, and 0 if the request was answered.
    ``target_id`` is the target that crashed last.
    """

    fingerprint: str
    deaths: int
    target_id: str = ''


class InstancePlace(typing.NamedTuple):
    """The addresses and state of an instance.

    It is published when the instance starts and whenever one of them changes.
    """

    instance_id: str
    region: str
    data_centre: str
    caller_address: str
    peer_address: str
    leaving: bool
    confirmed: bool
    epoch: int


FactBody: typing.TypeAlias = (
    TargetLeaving | RampState | TargetLoad | CallSuspect | InstancePlace
)


class Fact(typing.NamedTuple):
    """A fact about ``subject``, published by the instance ``origin``.

    Of the facts of one origin about one subject, that of the highest
    ``sequence`` is valid. ``age_ms`` is the time since the origin published
    it; ages are sent instead of times, since clocks differ.
    """

    subject: str
    origin: str
    sequence: int
    age_ms: clock.Millis
    body: FactBody


# Messages


class InstanceState(typing.NamedTuple):
    """The state of the sending instance.

    ``epoch`` is its open key epoch. ``highest_read`` is the number of the
    newest note that it has read from the configuration service, 0 before
    the first read.
    """

    leaving: bool
    confirmed: bool
    note_number: int
    note_digest: str
    largest_count: int
    epoch: int = 1
    highest_read: int = 0


class Heartbeat(typing.NamedTuple):
    """A heartbeat with the identity and addresses of the sender.

    A reply to a heartbeat or pulse has ``reply`` set and the ``nonce`` of the
    message that it answers.
    """

    instance_id: str
    region: str
    data_centre: str
    caller_address: str
    peer_address: str
    state: InstanceState
    reply: bool = False
    nonce: int = 0


class Pulse(typing.NamedTuple):
    """A heartbeat to a peer that has the sender's identity already."""

    state: InstanceState
    reply: bool = False
    nonce: int = 0


class Facts(typing.NamedTuple):
    """Facts that the receiver does not have yet, as far as is known."""

    facts: tuple[Fact, ...]


class FactsDigest(typing.NamedTuple):
    """Checksums of the sender's facts, by their origin."""

    checksum_by_origin: dict[str, int]
    reply: bool = False


class NoteHead(typing.NamedTuple):
    """The note in force at the sender."""

    number: int
    digest: str
    confirmed: bool


class NoteRequest(typing.NamedTuple):
    """A request for the notes after the sender's newest one."""

    after_number: int
    after_digest: str = ''


class NoteBody(typing.NamedTuple):
    """The published bytes of one note, or of a whole catalogue."""

    number: int
    digest: str
    body: bytes
    whole_catalogue: bool = False


class KeyedCall(typing.NamedTuple):
    """A call that is forwarded to the home of its key, or to any peer.

    ``correlation`` matches the answer to it. The last fields are those of a
    call on a route, which has no key: ``home`` is then the peer.
    """

    correlation: int
    home: str
    service: str
    method: str
    path: str
    key: str
    budget_ms: clock.Millis
    depth: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    host: str = ''
    request_id: str = ''
    configuration: int = 0
    max_attempts: int = 0


class CallCancelled(typing.NamedTuple):
    """The sender no longer waits for the answer to a call it forwarded."""

    correlation: int


class PeerIsolated(typing.NamedTuple):
    """An instance reaches no target, or does so again if it ``is_over``."""

    incarnation: str
    is_over: bool = False


class KeyedAnswer(typing.NamedTuple):
    """The home's answer to a forwarded keyed call.

    ``correlation`` is that of the call, and ``asker`` the incarnation of the
    instance that forwarded it.
    """

    correlation: int
    home: str
    outcome: str
    reason: str
    retry_after_ms: clock.Millis
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    asker: str = ''


class Turn(enum.IntEnum):
    """The position of a roster in its exchange; only ASKS is answered."""

    ASKS = 0
    ANSWERS = 1
    ENDS = 2


class Mark(typing.NamedTuple):
    """The fields of a member that change, for receivers that have the rest.

    ``key`` is a digest of the incarnation, see
    ``member_marks.incarnation_key``. ``beat`` is the member's heartbeat
    counter.
    """

    key: int
    beat: int
    standing: members.Standing
    failing: bool = False


class Roster(typing.NamedTuple):
    """Members that the sender knows, and the store revision that it has.

    The sender's own row is the first. ``number`` and ``revision`` are the
    configuration and the store revision known to the sender, and ``age_ms``
    is the time since these were known to be the newest.

    ``checksum`` covers the members of all data centres, ``near_checksum``
    those of the sender's data centre. ``beats`` are the heartbeat counters
    of the members in the sender's data centre, and ``word_ages`` the times
    since the last contact with each data centre. They can be decoded only
    by a receiver with the same checksum, see ``heartbeat_counters``. Other
    receivers get a checksum of each data centre, and the marks of the data
    centres whose checksums differ. ``whole`` lists the data centres of
    which ``rows`` has all live members. ``newer`` are marks that replace
    older ones of the receiver, and ``wanted`` the keys of rows that the
    sender lacks.
    """

    rows: tuple[members.Member, ...]
    checksum: int
    near_checksum: int
    number: int
    revision: int
    age_ms: clock.Millis
    turn: Turn = Turn.ASKS
    beats: bytes = b''
    word_ages: bytes = b''
    checksum_by_data_centre: dict[str, int] = {}
    word_age_ms_by_data_centre: dict[str, clock.Millis] = {}
    whole: tuple[str, ...] = ()
    marks_by_data_centre: dict[str, tuple[Mark, ...]] = {}
    newer: tuple[Mark, ...] = ()
    wanted: tuple[int, ...] = ()


class CallCrashed(typing.NamedTuple):
    """A target crashed while it ran a request, given by its fingerprint."""

    fingerprint: str
    target_id: str


class TargetLeft(typing.NamedTuple):
    """A target announced in a response that it is draining.

    ``born_ms`` is its start time: after a restart it takes calls again.
    """

    target_id: str
    born_ms: int


class TargetLimited(typing.NamedTuple):
    """A target named a rate limit in an answer, or no longer does.

    ``per_s`` is the number of requests per second that it accepts from all
    instances together. ``born_ms`` is its start time, and ``age_ms`` the time
    since the answer that showed this. ``is_over`` is true if its answers no
    longer name the limit.
    """

    target_id: str
    born_ms: int
    per_s: float
    age_ms: clock.Millis
    is_over: bool = False


class TargetCold(typing.NamedTuple):
    """A health response of a target that was warm states a slow start.

    ``born_ms`` is the start time of the target, and ``cold_ms`` for how much
    longer it is in slow start.
    """

    target_id: str
    born_ms: int
    cold_ms: clock.Millis


class StoreAsk(typing.NamedTuple):
    """A request for the changes of the store after the sender's own state."""

    number: int
    revision: int


class StoreState(typing.NamedTuple):
    """The changes of the store after revision ``base``, or all if it is 0.

    ``routing`` is None if the receiver already has configuration ``number``.
    ``refused`` is the newest configuration if it can't be parsed. Times in
    ``entries`` are relative to the sending, as clocks differ. ``forward_to``
    has the keys of members to which the receiver must forward the message.
    """

    base: int
    revision: int
    number: int
    routing: routes.Routing | None
    entries: tuple[registry.Entry, ...]
    gone: tuple[registry.RemovedEntry, ...]
    age_ms: clock.Millis
    pushed: bool = False
    refused: routes.RefusedConfiguration | None = None
    forward_to: tuple[int, ...] = ()


class OperatorStateRequest(typing.NamedTuple):
    """A request for the operator's state after the sender's own."""

    revision: int
    number: int


class OperatorState(typing.NamedTuple):
    """The evacuations as of a revision of the store, and slow start limits.

    It is whole: what it lacks is no longer in force. ``limit_by_service``
    belongs to the configuration ``number``; a ``number`` of 0 means that the
    limits are not included. ``withheld`` are evacuations that only a restore of
    the store has brought back.
    """

    revision: int
    number: int
    evacuations: tuple[operator_state.Evacuation, ...]
    limit_by_service: dict[str, operator_state.SlowStartLimit]
    withheld: tuple[operator_state.Evacuation, ...] = ()


StoreMessage: typing.TypeAlias = (
    StoreAsk | StoreState | OperatorStateRequest | OperatorState
)
Message: typing.TypeAlias = (
    Heartbeat
    | Pulse
    | Facts
    | FactsDigest
    | NoteHead
    | NoteRequest
    | NoteBody
    | KeyedCall
    | KeyedAnswer
    | CallCancelled
    | PeerIsolated
    | CallCrashed
    | TargetLeft
    | TargetLimited
    | TargetCold
    | Roster
    | StoreMessage
)
