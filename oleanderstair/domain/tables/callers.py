"""The timeouts that callers of each route use."""

import typing

import msgspec

from oleanderstair import clock


class Limits(typing.NamedTuple):
    """The timeouts that callers of a route use.

    ``longest_ms`` is the longest recent one, and ``longest_at_ms`` the time
    at which it was seen. Nearly all first attempts have at least
    ``first_share`` of it.
    """

    longest_ms: clock.Millis
    longest_at_ms: clock.Millis
    first_share: float


class CallersTable(msgspec.Struct):
    """Caller timeouts by the name of the route."""

    limits_by_route: dict[str, Limits] = msgspec.field(default_factory=dict)


def create() -> CallersTable:
    """Create a table without routes."""
    return CallersTable()
