"""The fleet's instances, as listed by the platform and heard from peers."""

import enum
import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain import events


class Phase(enum.Enum):
    """Where this instance stands between its start and its stop."""

    UNCONFIRMED = 'unconfirmed'
    SERVING = 'serving'
    STOPPING = 'stopping'


class Peer(typing.NamedTuple):
    """An instance incarnation that was heard from.

    ``answered`` is true once it has answered this incarnation, which proves
    that its note is not an older message that was late.
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
    answered: bool = False


class Wake(typing.NamedTuple):
    """The last wake-up from a pause, and who has answered since.

    ``nonce`` travels with what was asked since; it is 0 where there was no
    pause. ``proven`` is true once an answer carried it, which told of
    ``note_number``.
    """

    nonce: int = 0
    proven: bool = True
    woke_at_ms: clock.Millis = clock.NEVER_MS
    asked_at_ms: clock.Millis = clock.NEVER_MS
    proven_at_ms: clock.Millis = clock.NEVER_MS
    note_number: int = 0
    proven_by: frozenset[str] = frozenset()


class InstancesTable(msgspec.Struct):
    """Listed and heard instances, and this one's own phase.

    ``quiet_ms`` is how long this instance has listened in vain since it stops.
    ``rank`` and ``near_rank`` are this instance's place, from 0, among those
    of the largest count and among those of its data centre. The count has
    stood since ``grown_at_ms`` and has instances in ``counted_data_centres``.
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
    listed_since_ms: clock.Millis = clock.NEVER_MS
    largest_count: int = 1
    own_largest_count: int = 1
    largest_near_count: int = 1
    rank: int = 0
    near_rank: int = 0
    largest_at_ms: clock.Millis = clock.NEVER_MS
    grown_at_ms: clock.Millis = clock.NEVER_MS
    counted_data_centres: frozenset[str] = frozenset()
    counted_at_ms: clock.Millis = clock.NEVER_MS
    waits_for: str = ''
    reviewed_at_ms: clock.Millis = clock.NEVER_MS
    listed_at_ms: clock.Millis = clock.NEVER_MS
    phase: Phase = Phase.UNCONFIRMED
    stopping_since_ms: clock.Millis = clock.NEVER_MS
    stop_seen_at_ms: clock.Millis = clock.NEVER_MS
    quiet_ms: clock.Millis = 0
    last_tick_ms: clock.Millis = clock.NEVER_MS
    wake: Wake = Wake()
    trusted_from_ms: clock.Millis = clock.NEVER_MS


def create() -> InstancesTable:
    """Create a table that knows of no other instance."""
    return InstancesTable()
