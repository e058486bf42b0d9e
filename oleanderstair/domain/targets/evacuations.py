"""Decides which targets get no calls because their data centre is evacuated."""

from oleanderstair import clock
from oleanderstair.domain import world


def is_evacuated(state: world.World, data_centre: str) -> bool:
    """Return whether the operator has asked to evacuate a data centre.

    Always false if the settings don't call for evacuations.
    """
    if not state.policy.evacuation_bound_ms:
        return False
    return data_centre in state.operator_state.evacuation_by_data_centre


def ended_at_ms(state: world.World, data_centre: str) -> clock.Millis:
    """Return when the last evacuation of a data centre ended here.

    ``clock.NEVER_MS`` if none has.
    """
    return clock.NEVER_MS
