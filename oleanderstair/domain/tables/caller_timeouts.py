"""The timeouts that callers of each route use."""

import typing

import msgspec

from oleanderstair import clock


class CallerTimeouts(typing.NamedTuple):
    """The timeouts that callers of a route use.

    ``longest_timeout_ms`` is the longest recent one, and
    ``longest_seen_at_ms`` the time at which it was seen. Nearly all first
    attempts have at least ``first_attempt_share`` of it.
    """

    longest_timeout_ms: clock.Millis
    longest_seen_at_ms: clock.Millis
    first_attempt_share: float


class CallerTimeoutsTable(msgspec.Struct):
    """Caller timeouts by the name of the route."""

    timeouts_by_route: dict[str, CallerTimeouts] = msgspec.field(
        default_factory=dict
    )


def create() -> CallerTimeoutsTable:
    """Create a table without routes."""
    return CallerTimeoutsTable()
