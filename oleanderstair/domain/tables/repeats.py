"""What this instance has carried and sent again, by service."""

import collections
import dataclasses
import typing

from oleanderstair import clock

Moments: typing.TypeAlias = collections.deque[clock.Millis]


@dataclasses.dataclass(slots=True)
class Tally:
    """When calls of a service came, and when one was sent once more.

    ``shed_share`` is how many of the last attempts were shed beside free
    slots.
    """

    calls_at_ms: Moments = dataclasses.field(
        default_factory=collections.deque,
    )
    repeats_at_ms: Moments = dataclasses.field(
        default_factory=collections.deque,
    )
    shed_share: float = 0


@dataclasses.dataclass(slots=True)
class RepeatsTable:
    """Tallies by service, and since when this instance counts."""

    tally_by_service: dict[str, Tally] = dataclasses.field(
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
