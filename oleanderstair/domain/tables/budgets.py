"""What may still be spent on retries, hedges and measuring."""

import dataclasses
import typing

from oleanderstair import clock


class TokenBucket(typing.NamedTuple):
    """An allowance that refills with time or with each call."""

    tokens: float
    updated_at_ms: clock.Millis


@dataclasses.dataclass(slots=True)
class BudgetsTable:
    """Buckets by service, and when each target was last measured."""

    retries_by_service: dict[str, TokenBucket] = dataclasses.field(
        default_factory=dict,
    )
    hedges_by_service: dict[str, TokenBucket] = dataclasses.field(
        default_factory=dict,
    )
    probes_by_service: dict[str, TokenBucket] = dataclasses.field(
        default_factory=dict,
    )
    probed_at_ms_by_target: dict[str, clock.Millis] = dataclasses.field(
        default_factory=dict,
    )


def create() -> BudgetsTable:
    """Create a table in which nothing has been spent."""
    return BudgetsTable()
