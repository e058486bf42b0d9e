"""Budgets for retries, hedges and probes, by service."""

import typing

import msgspec

from oleanderstair import clock


class TokenBucket(typing.NamedTuple):
    """A token bucket that refills with time or with each call."""

    tokens: float
    updated_at_ms: clock.Millis


class ProbeAssignment(typing.NamedTuple):
    """The targets of a service that this instance probes.

    The assignment holds for the live instances in ``live_instance_ids`` and
    the catalogue ``digest``. ``since_ms`` is when this instance began to probe
    targets of the service.
    """

    live_instance_ids: tuple[str, ...]
    digest: str
    target_ids: tuple[str, ...]
    since_ms: clock.Millis
    probed_at_ms: clock.Millis = clock.NEVER_MS


class BudgetsTable(msgspec.Struct):
    """Token buckets and probe assignments by service."""

    retry_bucket_by_service: dict[str, TokenBucket] = msgspec.field(
        default_factory=dict,
    )
    hedge_bucket_by_service: dict[str, TokenBucket] = msgspec.field(
        default_factory=dict,
    )
    probe_assignment_by_service: dict[str, ProbeAssignment] = msgspec.field(
        default_factory=dict,
    )
    probes_checked_at_ms: clock.Millis = clock.NEVER_MS


def create() -> BudgetsTable:
    """Create a table without buckets and assignments."""
    return BudgetsTable()
