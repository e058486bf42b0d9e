"""Measures targets within the budget of their service."""

from oleanderstair import clock
from oleanderstair.domain import actions, conditions, events, world


def on_probe_ended(
    state: world.World,
    event: events.ProbeEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Learn from a target's health and load report."""
    if event.report is None:
        return []
    condition = conditions.of(state, event.target_id)
    conditions.put(
        state,
        condition._replace(
            reported_in_flight=event.report.in_flight,
            reported_at_ms=now_ms,
        ),
    )
    if event.report.leaving:
        return conditions.mark_leaving(
            state,
            event.target_id,
            'health',
            now_ms,
        )
    return []


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Probe the targets that are due, within this instance's share."""
    return []
