"""How far the platform's store has been read by this instance."""

import typing

import msgspec

from oleanderstair import clock


class Position(typing.NamedTuple):
    """What is known of the store: a configuration and a revision.

    Both are 0 before anything is known.
    """

    number: int = 0
    revision: int = 0


class StoreTable(msgspec.Struct):
    """The call to the store that is under way, and when the next is due.

    ``asked_at_ms`` is None while no call is under way, ``asked_from`` what
    was known when it began. ``fresh_at_ms`` is the last moment at which
    what is known here was all that the store held, whoever read it.
    ``returned_at_ms`` is when the store came back from an outage, and
    ``first_spread`` a draw that keeps first reads apart.
    """

    first_spread: float = 0
    asked_at_ms: clock.Millis | None = None
    asked_from: Position = Position()
    due_at_ms: clock.Millis = clock.NEVER_MS
    cycle_ends_ms: clock.Millis = clock.NEVER_MS
    failures: int = 0
    failed_at_ms: clock.Millis = clock.NEVER_MS
    history_lost: bool = False
    fresh_at_ms: clock.Millis = clock.NEVER_MS
    returned_at_ms: clock.Millis = clock.NEVER_MS
    peer_asked_at_ms: clock.Millis = clock.NEVER_MS
    told_at: Position = Position()


def create() -> StoreTable:
    """Create a table in which nothing has been read."""
    return StoreTable()
