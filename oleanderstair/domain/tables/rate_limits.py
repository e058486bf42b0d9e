"""The rate limits that targets have named in their answers."""

import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain.tables import budgets


class RateLimit(typing.NamedTuple):
    """The requests per second that a target accepts from all instances.

    ``born_ms`` is the start time of the target. ``is_over`` is true once its
    answers no longer name the limit. ``known_at_ms`` is when an answer last
    showed this state, and ``told_at_ms`` when it was last broadcast, by this
    instance or another. ``unnamed_count`` counts the successful answers in a
    row that did not name the limit.
    """

    target_id: str
    born_ms: int
    per_s: float
    known_at_ms: clock.Millis
    is_over: bool = False
    told_at_ms: clock.Millis = clock.NEVER_MS
    unnamed_count: int = 0


class RateLimitsTable(msgspec.Struct):
    """Rate limits by target, and the token buckets of this instance's part."""

    limit_by_id: dict[str, RateLimit] = msgspec.field(default_factory=dict)
    bucket_by_id: dict[str, budgets.TokenBucket] = msgspec.field(
        default_factory=dict
    )


def create() -> RateLimitsTable:
    """Create a table without rate limits."""
    return RateLimitsTable()
