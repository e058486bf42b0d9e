"""Checks whether the count of instances is likely complete."""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.targets import locality

STABLE_COUNT_MS: typing.Final[clock.Millis] = 5000
"""The time without growth after which a count is taken as complete.

Instances discover all others within 2 s.
"""


def is_count_complete(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether the count of instances is likely complete.

    True if it has not grown for ``STABLE_COUNT_MS`` and includes instances in
    each data centre that has targets. A data centre with targets and without
    instances is likely cut off.
    """
    table = state.instances
    if now_ms - table.count_grew_at_ms < STABLE_COUNT_MS:
        return False
    return locality.data_centres(state) <= table.counted_data_centres
