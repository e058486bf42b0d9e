"""What may still be spent on retries, hedges and measuring."""

import typing

import msgspec

from oleanderstair import clock


class TokenBucket(typing.NamedTuple):
    """An allowance that refills with time or with each call."""

    tokens: float
    updated_at_ms: clock.Millis


class ProbeTurn(typing.NamedTuple):
    """The targets of a service that this instance measures.

    ``roster`` and ``digest`` are what the turn was worked out for, and
    ``since_ms`` is when this instance began to measure the service.
    """

    roster: tuple[str, ...]
    digest: str
    target_ids: tuple[str, ...]
    since_ms: clock.Millis
    probed_at_ms: clock.Millis = clock.NEVER_MS


class BudgetsTable(msgspec.Struct):
    """Buckets and turns to measure, by service."""

    retries_by_service: dict[str, TokenBucket] = msgspec.field(
        default_factory=dict,
    )
    hedges_by_service: dict[str, TokenBucket] = msgspec.field(
        default_factory=dict,
    )
    turn_by_service: dict[str, ProbeTurn] = msgspec.field(
        default_factory=dict,
    )
    measured_at_ms: clock.Millis = clock.NEVER_MS


def create() -> BudgetsTable:
    """Create a table in which nothing has been spent."""
    return BudgetsTable()
