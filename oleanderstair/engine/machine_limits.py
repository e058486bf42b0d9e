"""Derives what clients may have from the machine that the settings describe."""

import resource

from oleanderstair import settings
from oleanderstair.domain import byte_budgets, connection_budgets


def connection_limits_of(
    valid_settings: settings.Settings,
) -> connection_budgets.ConnectionLimits:
    """Return the most connections of the listeners."""
    capacity = valid_settings.instance.capacity
    return connection_budgets.create_limits(
        _descriptors_of(capacity),
        byte_budgets.create_budget(capacity.memory_mb),
        valid_settings.callers.max_connections,
    )


def _descriptors_of(capacity: settings.CapacitySettings) -> int:
    """Return how many descriptors the process may open, 0 if unlimited."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    known = [
        count
        for count in (capacity.max_descriptors, allowed)
        if count not in {0, resource.RLIM_INFINITY}
    ]
    return min(known, default=0)
