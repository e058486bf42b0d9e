"""Says whether the count of instances can be relied on."""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.targets import places

STANDS_MS: typing.Final[clock.Millis] = 5000
"""How long a count stands until it is believed; all meet within 2 s."""


def knows_all(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether nobody seems to be missing from the count.

    A data centre that has targets and no instance is likely cut off.
    """
    table = state.instances
    if now_ms - table.grown_at_ms < STANDS_MS:
        return False
    return places.data_centres(state) <= table.counted_data_centres
