"""Calls and extra attempts of this instance, for the retry budget."""

import collections
import typing

import msgspec

from oleanderstair import clock

Timestamps: typing.TypeAlias = collections.deque[clock.Millis]


class RetryTally(msgspec.Struct):
    """The times of a service's recent calls and of their extra attempts.

    Extra attempts are retries and hedges. ``shed_share`` is the share of
    recent attempts that a target shed although it had free slots.
    """

    calls_at_ms: Timestamps = msgspec.field(
        default_factory=collections.deque,
    )
    extra_attempts_at_ms: Timestamps = msgspec.field(
        default_factory=collections.deque,
    )
    shed_share: float = 0


class RetryBudgetTable(msgspec.Struct):
    """Tallies by service, and when this instance began to count."""

    tally_by_service: dict[str, RetryTally] = msgspec.field(
        default_factory=dict,
    )
    counting_since_ms: clock.Millis = clock.NEVER_MS


def create() -> RetryBudgetTable:
    """Create a table without tallies."""
    return RetryBudgetTable()


def tally_for(table: RetryBudgetTable, service: str) -> RetryTally:
    """Return the tally of a service; an unknown service gets a new one."""
    known = table.tally_by_service.get(service)
    if known is None:
        known = table.tally_by_service.setdefault(service, RetryTally())
    return known
