"""The planned stop of this instance."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import instances


def on_stop(
    state: world.World,
    event: events.StopRequested,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Leave the address answers and begin to finish what is in flight."""
    table = state.instances
    table.phase = instances.Phase.STOPPING
    table.stopping_since_ms = now_ms
    return [
        actions.Audit(
            'instance',
            state.identity.incarnation,
            'operator',
            'planned stop',
        ),
    ]


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """End the process once nothing is in flight and answers ran out."""
    table = state.instances
    if table.phase is not instances.Phase.STOPPING:
        return []
    waited_ms = now_ms - table.stopping_since_ms
    if state.calls.call_by_id or waited_ms < state.policy.answer_validity_ms:
        return []
    return [actions.Exit()]
