"""Brings returning and new targets back slowly, fleet-wide."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, world


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Step ramps up or back as their evidence says."""
    return []
