"""Takes targets out of use that fail or slow down, up to a cap."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, world


def on_attempt_ended(
    state: world.World,
    event: events.AttemptEnded,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Eject a target whose failures in a row reach the limit."""
    return []
