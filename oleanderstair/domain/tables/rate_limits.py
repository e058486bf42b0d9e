"""The rate limits that targets have named in their answers."""

import typing

import msgspec

from oleanderstair import clock


class RateLimit(typing.NamedTuple):
    """The requests per second that a target accepts from all instances.

    ``born_ms`` is the start time of the target that named the limit.
    ``named_at_ms`` is when it last did so. ``unnamed_count`` counts the
    successful answers in a row that no longer named it.
    """

    target_id: str
    born_ms: int
    per_s: float
    named_at_ms: clock.Millis
    unnamed_count: int = 0


class RateLimitsTable(msgspec.Struct):
    """The rate limits in force, by target."""

    limit_by_id: dict[str, RateLimit] = msgspec.field(default_factory=dict)


def create() -> RateLimitsTable:
    """Create a table without rate limits."""
    return RateLimitsTable()
