"""The instances that the platform lists and the peers that sent messages."""

import enum
import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain import events


class Phase(enum.Enum):
    """The phase of this instance between its start and its stop."""

    UNCONFIRMED = 'unconfirmed'
    SERVING = 'serving'
    STOPPING = 'stopping'


class Peer(typing.NamedTuple):
    """The last known state of one incarnation of another instance.

    ``heard_at_ms`` is when it was last heard from. ``has_answered`` is true
    once it has replied to this incarnation, which proves that the known note
    doesn't come from a delayed message.
    """

    incarnation: str
    instance_id: str
    region: str
    data_centre: str
    caller_address: str
    peer_address: str
    heard_at_ms: clock.Millis
    leaving: bool = False
    confirmed: bool = False
    note_number: int = 0
    note_digest: str = ''
    epoch: int = 1
    highest_read: int = 0
    largest_count: int = 0
    has_answered: bool = False


class ResumeCheck(typing.NamedTuple):
    """Whether the note in force was verified since this process was paused.

    ``nonce`` is sent with queries since the pause; it is 0 if there was none.
    ``is_verified`` is true once a reply has echoed it, and ``note_number`` is
    the note of that reply. ``verified_by`` are the incarnations that replied.
    """

    nonce: int = 0
    is_verified: bool = True
    resumed_at_ms: clock.Millis = clock.NEVER_MS
    asked_at_ms: clock.Millis = clock.NEVER_MS
    verified_at_ms: clock.Millis = clock.NEVER_MS
    note_number: int = 0
    verified_by: frozenset[str] = frozenset()


class Pause(typing.NamedTuple):
    """The last two ticks between which this process was paused."""

    from_ms: clock.Millis = clock.NEVER_MS
    until_ms: clock.Millis = clock.NEVER_MS


class InstancesTable(msgspec.Struct):
    """Listed instances, known peers, and the phase of this instance.

    ``largest_count`` is the largest recent number of instances, last counted
    at ``largest_counted_at_ms``. ``largest_local_count`` is the number in this
    data centre at that time. ``rank`` and ``local_rank`` are the positions of
    this instance, from 0, in the sorted ids of both counts.
    ``count_grew_at_ms`` is when the count last grew, and
    ``counted_data_centres`` are the data centres of the last count.
    ``stop_idle_ms`` is how long a stopping instance has listened without a
    call. The planned stop was handled at ``stopping_since_ms``, and requested
    at ``stop_requested_from_ms`` at the earliest.
    """

    listed_by_id: dict[str, events.ListedInstance] = msgspec.field(
        default_factory=dict,
    )
    peer_by_incarnation: dict[str, Peer] = msgspec.field(
        default_factory=dict,
    )
    replaced_at_ms_by_incarnation: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict
    )
    count_by_minute: dict[int, int] = msgspec.field(default_factory=dict)
    list_stable_since_ms: clock.Millis = clock.NEVER_MS
    largest_count: int = 1
    own_largest_count: int = 1
    largest_local_count: int = 1
    rank: int = 0
    local_rank: int = 0
    largest_counted_at_ms: clock.Millis = clock.NEVER_MS
    count_grew_at_ms: clock.Millis = clock.NEVER_MS
    counted_data_centres: frozenset[str] = frozenset()
    counted_at_ms: clock.Millis = clock.NEVER_MS
    waits_for: str = ''
    reviewed_at_ms: clock.Millis = clock.NEVER_MS
    listed_at_ms: clock.Millis = clock.NEVER_MS
    phase: Phase = Phase.UNCONFIRMED
    stopping_since_ms: clock.Millis = clock.NEVER_MS
    stop_requested_from_ms: clock.Millis = clock.NEVER_MS
    last_pause: Pause = Pause()
    stop_checked_at_ms: clock.Millis = clock.NEVER_MS
    stop_idle_ms: clock.Millis = 0
    last_tick_at_ms: clock.Millis = clock.NEVER_MS
    resume_check: ResumeCheck = ResumeCheck()
    trusted_from_ms: clock.Millis = clock.NEVER_MS


def create() -> InstancesTable:
    """Create a table without other instances."""
    return InstancesTable()
