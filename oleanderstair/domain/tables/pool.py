"""The load reports that instances of one data centre share."""

import dataclasses
import typing

from oleanderstair import clock


class Wish(typing.NamedTuple):
    """A peer's newest ask for reports, and when it arrived."""

    number: int
    at_ms: clock.Millis


@dataclasses.dataclass(slots=True)
class PoolTable:
    """Who wants reports, and of which targets they are not told yet.

    ``denied_at_ms`` is when reads had run out here of late, ``asked_at_ms``
    when peers were last asked, by the ask number ``asks``. ``wish_by_peer``
    is by incarnation. ``is_due`` is true while ``untold`` is to be told.
    """

    denied_at_ms: tuple[clock.Millis, ...] = ()
    asked_at_ms: clock.Millis = clock.NEVER_MS
    asks: int = 0
    asked_at_ms_by_number: dict[int, clock.Millis] = dataclasses.field(
        default_factory=dict,
    )
    wish_by_peer: dict[str, Wish] = dataclasses.field(default_factory=dict)
    untold: dict[str, None] = dataclasses.field(default_factory=dict)
    is_due: bool = False
    told_at_ms: clock.Millis = clock.NEVER_MS


def create() -> PoolTable:
    """Create a table of an instance that nobody has asked."""
    return PoolTable()
