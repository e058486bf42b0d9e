"""What is known at the moment of each target's load."""

import dataclasses
import typing

from oleanderstair import clock


class Report(typing.NamedTuple):
    """A target's own word on its load.

    ``slowness`` is how long work takes on its machine at the moment, as a
    multiple of the usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


class Load(typing.NamedTuple):
    """The newest report of a target and what happened since.

    ``sent_since`` counts this instance's dispatches after the report.
    """

    target_id: str
    report: Report | None = None
    reported_at_ms: clock.Millis = clock.NEVER_MS
    sent_since: int = 0
    in_flight: int = 0
    failures_in_row: int = 0
    barred_until_ms: clock.Millis = clock.NEVER_MS


@dataclasses.dataclass(slots=True)
class LoadsTable:
    """Loads by target, and the targets whose report is being read."""

    load_by_id: dict[str, Load] = dataclasses.field(default_factory=dict)
    reading_ids: set[str] = dataclasses.field(default_factory=set)


def create() -> LoadsTable:
    """Create a table without loads."""
    return LoadsTable()


def load_of(table: LoadsTable, target_id: str) -> Load:
    """Return what is known of the load of a target."""
    return table.load_by_id.get(target_id) or Load(target_id)


def put_load(table: LoadsTable, load: Load) -> None:
    """Store the new load of a target."""
    table.load_by_id[load.target_id] = load
