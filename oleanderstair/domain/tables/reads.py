"""When the platform was last read."""

import dataclasses

from oleanderstair import clock


@dataclasses.dataclass(slots=True)
class ReadsTable:
    """The time of the last read of each configuration value."""

    read_at_ms_by_name: dict[str, clock.Millis] = dataclasses.field(
        default_factory=dict,
    )


def create() -> ReadsTable:
    """Create a table in which nothing has been read."""
    return ReadsTable()
