"""Decide when an instance that follows the store may accept calls."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.fleet import grace_period_stop
from oleanderstair.domain.tables import instances


FRESHER_STATE_WAIT_MS: typing.Final = 500
"""How long a starting instance with only a stale state of the store waits for
a newer state; peers send all they have within two rounds of 200 ms."""

STALE_STATE_MS: typing.Final = 3000
"""The age above which a state of the store is stale: it may still contain
targets that have left. Longer than the store outages during which calls are
routed as usual."""


OPERATOR_STATE_WAIT_MS: typing.Final = 3000
"""How long a starting instance waits for the operator's state once it has the
rest. Neither the store nor a peer answers then: all peers that it reaches may
be of an earlier build, which doesn't have this state."""


def on_store_state(
    state: world.World,
    event: events.StoreRead | events.StoreTold | events.OperatorStateTold,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Start to serve at once if only this state was missing."""
    return on_tick(state, events.Tick(), now_ms)


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Start to serve once a configuration and a registry are known.

    Either may come from a peer. Reads of the store are linearizable, so no
    other instance has to confirm them.
    """
    table = state.instances
    is_stopping = grace_period_stop.is_stopping(state)
    if is_stopping or table.phase is not instances.Phase.UNCONFIRMED:
        return []
    in_force = state.routes.in_force
    if in_force is None or not (
        has_store_state(state) or _is_operator_state_overdue(state, now_ms)
    ):
        table.waits_for = _missing_state(state)
        return []
    first_tick_at_ms = state.members.first_tick_at_ms or 0
    age_ms = now_ms - state.store.current_at_ms
    if (
        age_ms > STALE_STATE_MS
        and now_ms - first_tick_at_ms < FRESHER_STATE_WAIT_MS
    ):
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


def has_store_state(state: world.World) -> bool:
    """Return whether enough of the store is known to choose a target.

    Only a starting instance needs the operator's state for that: changed
    settings may call for it while an instance serves.
    """
    if state.routes.in_force is None or not state.registry.revision:
        return False
    return (
        not state.policy.uses_operator_state
        or state.operator_state.revision > 0
        or state.instances.phase is not instances.Phase.UNCONFIRMED
    )


def _is_operator_state_overdue(
    state: world.World, now_ms: clock.Millis
) -> bool:
    since_ms = state.operator_state.behind_since_ms
    if not state.registry.revision or since_ms is None:
        return False
    return now_ms - since_ms >= OPERATOR_STATE_WAIT_MS


def _missing_state(state: world.World) -> str:
    """Describe the state that this instance lacks to serve."""
    refused = state.routes.refused
    if refused is not None and state.routes.in_force is None:
        return f'a readable configuration; {refused.number} {refused.why}'
    if state.routes.in_force and state.registry.revision:
        return 'evacuations and slow start limits'
    return 'configuration and registry'


def is_ready(state: world.World) -> bool:
    """Return whether this instance is serving and not stopping."""
    return state.instances.phase is instances.Phase.SERVING
