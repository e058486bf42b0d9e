"""Detects a shortage of free slots of a service.

During a shortage all instances compete for the last slots. A free slot in a
report that is not very recent has then most likely been taken.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import load_reports

SHORTAGE_MS: typing.Final[clock.Millis] = 500
"""How long a shortage lasts after a call found no free slot."""

OUTDATED_FROM_MS: typing.Final[clock.Millis] = 80
"""The age above which a report is not trusted during a shortage.

It is about the duration of a short call, after which a slot is reused.
"""

OUTDATED_UNTIL_MS: typing.Final[clock.Millis] = 1000
"""The age from which on a report is used again during a shortage.

Read budgets are per second. An instance that may not read a target within a
second would otherwise never use it.
"""


def has_shortage(
    state: world.World, service: str, now_ms: clock.Millis
) -> bool:
    """Return whether a service lacks free slots.

    True if a call of it found none within the last ``SHORTAGE_MS``.
    """
    short_at_ms = state.routed.slots_short_at_ms_by_service.get(
        service,
        clock.NEVER_MS,
    )
    return now_ms - short_at_ms < SHORTAGE_MS


def is_report_outdated(load: load_reports.Load, now_ms: clock.Millis) -> bool:
    """Return whether a report's free slots are to be ignored in a shortage.

    True if its age is between ``OUTDATED_FROM_MS`` and ``OUTDATED_UNTIL_MS``.
    """
    age_ms = now_ms - load.reported_at_ms
    return OUTDATED_FROM_MS < age_ms < OUTDATED_UNTIL_MS
