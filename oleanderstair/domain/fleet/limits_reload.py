"""Apply changed limits without a restart."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, world


def on_limits_changed(
    state: world.World,
    event: events.LimitsChanged,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Replace the limits by those of the reloaded settings file."""
    state.policy = event.limits
    return [
        actions.Audit(
            'settings',
            state.identity.incarnation,
            event.actor,
            event.what,
        ),
    ]
