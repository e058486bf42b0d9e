"""Measures targets within the budget of their service."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, world


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Probe the targets that are due, within this instance's share."""
    return []
