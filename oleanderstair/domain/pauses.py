"""Keeps an instance that was paused from acting on old knowledge."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, world


def is_stale(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether the last tick is too old to dispatch anything."""
    age_ms = now_ms - state.instances.last_tick_ms
    return age_ms > state.policy.max_tick_age_ms


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Note that this instance is awake."""
    state.instances.last_tick_ms = now_ms
    return []
