"""How far this instance has read the platform's store."""

import typing

import msgspec

from oleanderstair import clock


class StorePosition(typing.NamedTuple):
    """A known state of the store: configuration number and revision.

    Both are 0 before anything is known.
    """

    number: int = 0
    revision: int = 0


class StoreTable(msgspec.Struct):
    """The request to the store that is in flight, and when the next is due.

    ``request_started_at_ms`` is None while no request is in flight, and
    ``request_position`` is the position that was known when it began.
    ``current_at_ms`` is the last time at which the position known here was the
    newest, by a read of this instance or of a peer. ``returned_at_ms`` is the
    end of the last outage of the store. ``first_read_jitter`` is a random
    share that spreads the first reads of instances over time.
    """

    first_read_jitter: float = 0
    request_started_at_ms: clock.Millis | None = None
    request_position: StorePosition = StorePosition()
    next_request_at_ms: clock.Millis = clock.NEVER_MS
    read_cycle_ends_at_ms: clock.Millis = clock.NEVER_MS
    failures_in_row: int = 0
    failed_at_ms: clock.Millis = clock.NEVER_MS
    history_lost: bool = False
    current_at_ms: clock.Millis = clock.NEVER_MS
    returned_at_ms: clock.Millis = clock.NEVER_MS
    peer_asked_at_ms: clock.Millis = clock.NEVER_MS
    told_at: StorePosition = StorePosition()


def create() -> StoreTable:
    """Create a table in which nothing has been read."""
    return StoreTable()
