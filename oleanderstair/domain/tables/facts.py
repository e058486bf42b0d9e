"""The facts that instances tell each other."""

import dataclasses

from oleanderstair import clock
from oleanderstair.domain import messages


@dataclasses.dataclass(slots=True)
class FactsTable:
    """The newest fact of each origin and subject, and when it was stated."""

    fact_by_key: dict[tuple[str, str], messages.Fact] = dataclasses.field(
        default_factory=dict,
    )
    stated_at_ms_by_key: dict[tuple[str, str], clock.Millis] = (
        dataclasses.field(default_factory=dict)
    )
    own_sequence: int = 0
    heartbeat_at_ms: clock.Millis = clock.NEVER_MS


def create() -> FactsTable:
    """Create a table without facts."""
    return FactsTable()
