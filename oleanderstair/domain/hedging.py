"""Sends a second attempt of a slow idempotent call, within a budget."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, world


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Hedge the calls that have waited longer than is usual."""
    return []
