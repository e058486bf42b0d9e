"""Synchronises evacuations and slow start limits between instances.

Whoever reads a change of the store, or answers a request for one, sends this
state as well. An instance that knows a newer position of the store than that of
this state asks its peers, and reads the whole store if none of them answers: a
message may be lost, or the change may come from a peer of an earlier build.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.configuration import store_sync
from oleanderstair.domain.fleet import broadcast, member_list

REQUEST_DELAY_MS: typing.Final = 200
"""How long the state may be behind before a peer is asked, and the time between
two requests."""

READ_DELAY_MS: typing.Final = 1500
"""How long the state may be behind before this instance reads the store."""


def is_read_due(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether the whole store must be read, as no peer has answered."""
    since_ms = state.operator_state.behind_since_ms
    return since_ms is not None and now_ms - since_ms >= READ_DELAY_MS


def on_store_read(
    state: world.World,
    event: events.StoreRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Adopt the state in a read of the whole store."""
    if not state.policy.uses_operator_state:
        return []
    number = event.routing.number if event.routing else 0
    adopted = messages.OperatorState(
        event.registry.revision,
        number,
        event.evacuations,
        event.limit_by_service or {},
    )
    return _adopt(state, adopted, 'store')


def on_store_changed(
    state: world.World,
    event: events.StoreChanged,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Adopt the changes that a watch has returned.

    If the state is from before the beginning of the watch, changes between
    the two are missing, so the evacuations are left as they are.
    """
    table = state.operator_state
    if not state.policy.uses_operator_state:
        return []
    revision = table.revision
    evacuations = dict(table.evacuation_by_data_centre)
    if revision >= state.store.request_position.revision:
        revision = event.registry.revision
        for ended in event.ended_evacuations:
            evacuations.pop(ended.data_centre, None)
        for evacuation in event.evacuations:
            evacuations[evacuation.data_centre] = evacuation
    adopted = messages.OperatorState(
        revision,
        event.routing.number if event.routing else 0,
        tuple(evacuations.values()),
        event.limit_by_service or {},
    )
    return _adopt(state, adopted, 'store')


def on_store_applied(
    state: world.World,
    event: events.StoreRead | events.StoreChanged,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send the state to the fleet if it has changed since it was last sent."""
    table = state.operator_state
    known = (table.revision, table.number)
    if not state.policy.uses_operator_state or known == (
        table.pushed_revision,
        table.pushed_number,
    ):
        return []
    table.pushed_revision = table.revision
    table.pushed_number = table.number
    return broadcast.broadcast_message(state, _compose(state))


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Adopt the state of a peer, or answer a request for it.

    A peer that requests the changes of the store gets this state, too.
    """
    message = event.message
    if isinstance(message, messages.OperatorState):
        if not state.policy.uses_operator_state:
            return []
        is_newer = _is_newer(state, message)
        adopted = _adopt(state, message, f'peer {event.sender}')
        if not is_newer:
            return adopted
        return [
            *adopted,
            *broadcast.forward_message(state, event.sender, message),
            actions.Notify(events.OperatorStateTold()),
        ]
    if not isinstance(
        message, (messages.OperatorStateRequest, messages.StoreAsk)
    ):
        return []
    row = state.members.member_by_incarnation.get(event.sender)
    if row is None or not state.operator_state.revision:
        return []
    return broadcast.send_to_members([row], _compose(state))


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Ask a random peer for the state if it has been behind for a while."""
    table = state.operator_state
    if not state.policy.uses_operator_state or not _is_behind(state):
        table.behind_since_ms = None
        return []
    if table.behind_since_ms is None:
        table.behind_since_ms = now_ms
    waited_ms = now_ms - max(table.behind_since_ms, table.asked_at_ms)
    peers = [
        row
        for rows in member_list.current_view(state).live_by_data_centre.values()
        for row in rows
        if row.incarnation != state.identity.incarnation
    ]
    if waited_ms < REQUEST_DELAY_MS or not peers:
        return []
    table.asked_at_ms = now_ms
    request = messages.OperatorStateRequest(table.revision, table.number)
    return broadcast.send_to_members([state.rng.choice(peers)], request)


def _is_behind(state: world.World) -> bool:
    table = state.operator_state
    known = store_sync.local_position(state)
    return known.revision > table.revision or known.number > table.number


def _is_newer(state: world.World, message: messages.OperatorState) -> bool:
    table = state.operator_state
    return message.revision > table.revision or message.number > table.number


def _adopt(
    state: world.World,
    message: messages.OperatorState,
    source: str,
) -> list[actions.Action]:
    """Adopt what is newer; return audit entries for changed evacuations."""
    table = state.operator_state
    if message.number > table.number:
        table.number = message.number
        table.limit_by_service = dict(message.limit_by_service)
    if message.revision <= table.revision:
        return []
    before = table.evacuation_by_data_centre
    after = {
        evacuation.data_centre: evacuation for evacuation in message.evacuations
    }
    table.revision = message.revision
    table.evacuation_by_data_centre = after
    return [
        *_audit_changes(after.keys() - before.keys(), source, 'evacuated'),
        *_audit_changes(
            before.keys() - after.keys(), source, 'no longer evacuated'
        ),
    ]


def _audit_changes(
    data_centres: typing.Collection[str], source: str, why: str
) -> list[actions.Action]:
    return [
        actions.Audit('data-centre', data_centre, source, why)
        for data_centre in sorted(data_centres)
    ]


def _compose(state: world.World) -> messages.OperatorState:
    table = state.operator_state
    return messages.OperatorState(
        table.revision,
        table.number,
        tuple(table.evacuation_by_data_centre.values()),
        dict(table.limit_by_service),
    )
