"""What this instance has carried and sent again, by service."""

import collections
import typing

import msgspec

from oleanderstair import clock

Moments: typing.TypeAlias = collections.deque[clock.Millis]


class Tally(msgspec.Struct):
    """When calls of a service came, and when one was sent once more.

    ``shed_share`` is how many of the last attempts were shed beside free
    slots.
    """

    calls_at_ms: Moments = msgspec.field(
        default_factory=collections.deque,
    )
    repeats_at_ms: Moments = msgspec.field(
        default_factory=collections.deque,
    )
    shed_share: float = 0


class RepeatsTable(msgspec.Struct):
    """Tallies by service, and since when this instance counts."""

    tally_by_service: dict[str, Tally] = msgspec.field(
        default_factory=dict,
    )
    since_ms: clock.Millis = clock.NEVER_MS


def create() -> RepeatsTable:
    """Create a table in which nothing has been counted."""
    return RepeatsTable()


def tally_of(table: RepeatsTable, service: str) -> Tally:
    """Return the tally of a service."""
    known = table.tally_by_service.get(service)
    if known is None:
        known = table.tally_by_service.setdefault(service, Tally())
    return known
