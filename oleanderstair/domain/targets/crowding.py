"""Learns whether the targets of a service slow down when nearly full.

Where they do, the last slots lose more than they add, so that they stay
free. A target's machine may be slowed by others at any fill; that evens out
between the answers of nearly full targets and those of the others.
"""

import math
import typing

from oleanderstair.domain import world
from oleanderstair.domain.tables import crowding, load_reports

NEARLY_FULL: typing.Final = 0.85
"""The fill from which on some targets slow down, as a share of the slots."""

_SLOWED: typing.Final = 0.22
_EVIDENCE: typing.Final = 15
_LEAST_WEIGHT: typing.Final = 0.03
_LEAST_MULTIPLE: typing.Final = 0.05


def learn(
    state: world.World,
    service: str,
    report: load_reports.Report,
    multiple: float,
) -> None:
    """Note that an answer took a ``multiple`` of the usual time.

    ``report`` is the load that came with the answer.
    """
    if report.waiting:
        return
    table = state.crowding
    seen_by_service = table.other_by_service
    if report.running + 1 > report.slots * NEARLY_FULL:
        seen_by_service = table.full_by_service
    seen = seen_by_service.get(service, crowding.Seen())
    weight = max(1 / (seen.answers + 1), _LEAST_WEIGHT)
    newest = math.log(max(multiple, _LEAST_MULTIPLE))
    seen_by_service[service] = crowding.Seen(
        seen.mean + weight * (newest - seen.mean),
        seen.answers + 1,
    )


def usable_slots(state: world.World, service: str, slots: int) -> int:
    """Return how many slots of a target of a service are worth filling."""
    if not _is_slowed(state, service):
        return slots
    return max(int(slots * NEARLY_FULL), 1)


def _is_slowed(state: world.World, service: str) -> bool:
    full = state.crowding.full_by_service.get(service, crowding.Seen())
    other = state.crowding.other_by_service.get(service, crowding.Seen())
    if min(full.answers, other.answers) < _EVIDENCE:
        return False
    return full.mean - other.mean > _SLOWED
