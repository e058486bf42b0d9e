"""Which instances are live, and whether this one may serve."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.tables import instances


def on_instances(
    state: world.World,
    event: events.InstancesRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take the platform's list of instances."""
    table = state.instances
    table.listed_by_id = {entry.instance_id: entry for entry in event.entries}
    table.listed_at_ms = now_ms
    table.largest_count = max(table.largest_count, len(event.entries))
    return []


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Confirm this instance once it holds a note it may trust."""
    table = state.instances
    if table.phase is not instances.Phase.UNCONFIRMED:
        return []
    if state.catalogue.in_force.number and state.policy.confirm_without_peers:
        table.phase = instances.Phase.SERVING
        return [
            actions.Audit(
                'instance',
                state.identity.incarnation,
                'settings',
                'confirmed without peers',
            ),
        ]
    return []


def refusal(state: world.World) -> outcomes.Reason | None:
    """Return why this instance may not take a new call now, if so."""
    table = state.instances
    if table.phase is instances.Phase.UNCONFIRMED:
        return outcomes.Reason.UNCONFIRMED
    if table.phase is instances.Phase.STOPPING:
        return outcomes.Reason.STOPPING
    return None
