"""When an instance that follows the store may take calls."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import instances


FRESHER_MS: typing.Final = 500
"""How long a started instance that has heard only old word waits for fresher;
others tell all they know within two rounds of 200 ms."""

OLD_MS: typing.Final = 3000
"""From what age word of the store may lack servers that have left; beyond the
outages that are ridden out as if nothing had happened."""


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
    first_ms = state.members.first_tick_ms or 0
    age_ms = now_ms - state.store.fresh_at_ms
    if age_ms > OLD_MS and now_ms - first_ms < FRESHER_MS:
        table.waits_for = 'fresher word of the store than a peer has'
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
