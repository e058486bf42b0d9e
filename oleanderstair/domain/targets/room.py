"""Tells how many more calls a target can run at once, by its reports."""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import load_reports

TRUSTED_MS: typing.Final[clock.Millis] = 1000
"""How old a report may be; past it only the own calls are known."""

FILL: typing.Final = 1.0
"""The share of its slots up to which a target keeps its speed."""


def free_slots(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> int:
    """Return the free slots of a target; negative where calls wait."""
    entry = state.registry.entry_by_id[target_id]
    known = load_reports.load_of(state.loads, target_id)
    report = known.report
    if report is None:
        return _usable(entry.slots) - known.in_flight
    busy = report.running + report.waiting + known.sent_since
    return _usable(report.slots) - busy


def slowness(state: world.World, target_id: str) -> float:
    """Return how many times its usual time work takes there, 1 if untold."""
    report = load_reports.load_of(state.loads, target_id).report
    return report.slowness if report else 1.0


def _usable(slots: int) -> int:
    return max(int(slots * FILL), 1)
