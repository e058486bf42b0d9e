"""Decides which data centres get no calls because they are evacuated.

An operator requests and revokes evacuations in the store; see
``configuration.evacuation_changes`` for how they come into force.
"""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import registry

RETRY_SHARE: typing.Final = 1 / 3
"""The retry time of a call that no data centre may take, as a share of the
time to its deadline: callers honour no longer one."""

MAX_RETRY_MS: typing.Final[clock.Millis] = 1000
"""The longest retry time, as an evacuation may end at any moment."""

_RETRY_SPREAD_SHARE: typing.Final = 0.25
"""Jitter of the retry time, as a share of it."""


def is_evacuated(state: world.World, data_centre: str) -> bool:
    """Return whether the evacuation of a data centre is in force.

    Always false if the settings don't call for evacuations.
    """
    if not state.policy.evacuation_bound_ms:
        return False
    return data_centre in state.operator_state.evacuation_by_data_centre


def wait_ms(
    state: world.World, data_centre: str, now_ms: clock.Millis
) -> clock.Millis:
    """Return the ms until the targets of a data centre may receive calls.

    Return 0 if they may now, and infinity if it is evacuated.
    """
    table = state.operator_state
    if data_centre not in table.closed_data_centres:
        return 0
    returns_at_ms = table.returns_at_ms_by_data_centre.get(data_centre)
    if is_evacuated(state, data_centre) or returns_at_ms is None:
        return math.inf
    # The next tick opens it.
    return max(returns_at_ms - now_ms, state.policy.tick_ms)


def is_closed(state: world.World, data_centre: str) -> bool:
    """Return whether the targets of a data centre receive nothing now.

    It is evacuated, or was until recently.
    """
    return data_centre in state.operator_state.closed_data_centres


def ended_at_ms(state: world.World, data_centre: str) -> clock.Millis:
    """Return when the last evacuation of a data centre ended here.

    Return ``clock.NEVER_MS`` if none has.
    """
    return state.operator_state.ended_at_ms_by_data_centre.get(
        data_centre, clock.NEVER_MS
    )


def retry_after_ms(state: world.World, left_ms: clock.Millis) -> clock.Millis:
    """Return the retry time, in ms, of a call that no data centre may take.

    ``left_ms`` is the time to its deadline.
    """
    longest_ms = min(left_ms * RETRY_SHARE, MAX_RETRY_MS)
    return longest_ms * (1 - _RETRY_SPREAD_SHARE * state.rng.random())


def open_entries(state: world.World) -> list[registry.Entry]:
    """Return the registered targets of all data centres that are not closed."""
    closed = state.operator_state.closed_data_centres
    return [
        entry
        for entry in state.registry.entry_by_id.values()
        if entry.data_centre not in closed
    ]


def open_target_count(state: world.World) -> int:
    """Return the number of targets in data centres that are not closed."""
    if not state.operator_state.closed_data_centres:
        return len(state.registry.entry_by_id)
    return len(open_entries(state))
