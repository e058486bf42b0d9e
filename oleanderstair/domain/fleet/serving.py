"""When an instance that follows the store may take calls."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import instances


def on_known(
    state: world.World,
    event: events.StoreRead | events.StoreTold,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Serve at once where this was the first that is known."""
    return on_tick(state, events.Tick(), now_ms)


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Serve once a configuration and a registry are known.

    Either may come from a peer: the store's own word is linearizable, so
    nobody else has to confirm it.
    """
    table = state.instances
    if table.phase is not instances.Phase.UNCONFIRMED:
        return []
    in_force = state.routes.in_force
    if in_force is None or not state.registry.revision:
        table.waits_for = _awaited(state)
        return []
    table.phase = instances.Phase.SERVING
    table.waits_for = ''
    return [
        actions.Audit(
            'instance',
            state.identity.incarnation,
            'store',
            f'serves with configuration {in_force.number}',
        ),
    ]


def _awaited(state: world.World) -> str:
    refused = state.routes.refused
    if refused is not None and state.routes.in_force is None:
        return f'a readable configuration; {refused.number} {refused.why}'
    return 'configuration and registry'


def is_ready(state: world.World) -> bool:
    """Return whether new callers may be sent to this instance."""
    return state.instances.phase is instances.Phase.SERVING
