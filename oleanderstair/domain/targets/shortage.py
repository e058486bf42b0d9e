"""Says whether calls of a service lately found no target with room.

Then all instances compete for the last slots, so that a report of some
moments ago that shows a free slot is mostly wrong.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import load_reports

SHORT_MS: typing.Final[clock.Millis] = 500
"""How long after a call found no room its service counts as short of it."""

OUTDATED_MS: typing.Final[clock.Millis] = 80
"""The age from which on a report tells nothing of the last slots; about the
time of a short answer, in which a slot changes hands."""

FORGOTTEN_MS: typing.Final[clock.Millis] = 1000
"""The age from which on a report is tried again, as reads are counted by the
second: an instance without a read of a target must not leave it out."""


def is_short(state: world.World, service: str, now_ms: clock.Millis) -> bool:
    """Return whether a call of the service found no room a moment ago."""
    short_at_ms = state.routed.short_at_ms_by_service.get(
        service,
        clock.NEVER_MS,
    )
    return now_ms - short_at_ms < SHORT_MS


def is_outdated(known: load_reports.Load, now_ms: clock.Millis) -> bool:
    """Return whether a report is too old to show a free slot now."""
    age_ms = now_ms - known.reported_at_ms
    return OUTDATED_MS < age_ms < FORGOTTEN_MS
