"""Compares the regions of data centres, by which callers get addresses.

The settings name the region of each data centre.
"""

from oleanderstair.domain import world


def is_other_region(state: world.World, data_centre: str, other: str) -> bool:
    """Return whether two data centres are known to be in different regions."""
    regions = {_region_of(state, data_centre), _region_of(state, other)}
    return len(regions - {None}) > 1


def _region_of(state: world.World, data_centre: str) -> str | None:
    own = state.identity
    if data_centre == own.data_centre:
        return own.region
    return state.members.region_by_data_centre.get(data_centre)
