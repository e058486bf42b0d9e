"""Synchronises evacuations and slow start limits between instances.

Whoever reads a change of the store, or answers a request for one, sends this
state as well. An instance that knows a newer position of the store than that of
this state asks its peers, and reads the whole store if none of them answers: a
message may be lost, or the change may come from a peer of an earlier build.
"""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.configuration import evacuation_changes, store_sync
from oleanderstair.domain.fleet import broadcast, member_list

REQUEST_DELAY_MS: typing.Final = 200
"""How long the state may be behind before a peer is asked, and the time between
two requests."""

READ_DELAY_MS: typing.Final = 1000
"""How long the state may be behind before this instance reads the store."""

START_READ_DELAY_MS: typing.Final = 400
"""The same for an instance without any state, which can't serve yet."""

MAX_STEP_DELAY_MS: typing.Final = 1000
"""How much later an instance reads by its rank in the reader order, at most.
With the two delays before, a request times out and is repeated within 5 s."""


def is_read_due(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether the whole store must be read, as no peer has answered."""
    since_ms = state.operator_state.behind_since_ms
    return since_ms is not None and now_ms - since_ms >= read_delay_ms(state)


def read_delay_ms(state: world.World) -> clock.Millis:
    """Return how long this instance waits for peers before it reads."""
    if state.operator_state.revision:
        return READ_DELAY_MS
    return START_READ_DELAY_MS


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
    return _adopt(state, adopted, 'store', now_ms)


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
    done: list[actions.Action] = []
    in_force = {
        evacuation.data_centre: evacuation
        for evacuation in evacuation_changes.evacuations_to_send(table, now_ms)
    }
    if revision >= state.store.request_position.revision:
        if event.registry.revision > revision:
            done = evacuation_changes.end_evacuations(
                state, event.ended_evacuations, 'store', now_ms
            )
        revision = event.registry.revision
        for ended in event.ended_evacuations:
            in_force.pop(ended.data_centre, None)
        for evacuation in event.evacuations:
            in_force[evacuation.data_centre] = evacuation
    adopted = messages.OperatorState(
        revision,
        event.routing.number if event.routing else 0,
        tuple(in_force.values()),
        event.limit_by_service or {},
        evacuation_changes.withheld_to_send(table, now_ms),
    )
    return [*done, *_adopt(state, adopted, 'store', now_ms)]


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
    message = _compose(state, now_ms)
    if table.number == table.pushed_number:
        # The limits of many services would be most of the message.
        message = message._replace(number=0, limit_by_service={})
    table.pushed_revision = table.revision
    table.pushed_number = table.number
    return broadcast.broadcast_message(state, message)


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
        if not _is_valid(message):
            return [actions.Count('invalid-messages', 'OperatorState')]
        is_newer = _is_newer(state, message)
        adopted = _adopt(state, message, f'peer {event.sender}', now_ms)
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
    return broadcast.send_to_members([row], _compose(state, now_ms))


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Ask a random peer for the state if it has been behind for a while.

    A started instance asks one in any case, as a restore of the store may have
    lost evacuations that peers still keep. Changes that such a restore has
    deferred are applied when due.
    """
    done = evacuation_changes.apply_due_changes(state, now_ms)
    table = state.operator_state
    if not state.policy.uses_operator_state:
        return done
    is_behind = _is_behind(state)
    if not is_behind:
        table.behind_since_ms = None
    elif table.behind_since_ms is None:
        table.behind_since_ms = now_ms
    if not _is_request_due(state, is_behind, now_ms):
        return done
    peers = [
        row
        for rows in member_list.current_view(state).live_by_data_centre.values()
        for row in rows
        if row.incarnation != state.identity.incarnation
    ]
    if not peers:
        return done
    table.asked_at_ms = now_ms
    request = messages.OperatorStateRequest(table.revision, table.number)
    peer = state.rng.choice(peers)
    return [*done, *broadcast.send_to_members([peer], request)]


def _is_request_due(
    state: world.World, is_behind: bool, now_ms: clock.Millis
) -> bool:
    table = state.operator_state
    if table.asked_at_ms == clock.NEVER_MS:
        return True
    if not is_behind:
        return False
    since_ms = max(table.behind_since_ms or now_ms, table.asked_at_ms)
    return now_ms - since_ms >= REQUEST_DELAY_MS


def _is_behind(state: world.World) -> bool:
    table = state.operator_state
    known = store_sync.local_position(state)
    return known.revision > table.revision or known.number > table.number


def _is_newer(state: world.World, message: messages.OperatorState) -> bool:
    table = state.operator_state
    return message.revision > table.revision or message.number > table.number


def _is_valid(message: messages.OperatorState) -> bool:
    """Return whether all times in a message are finite."""
    return all(
        0 <= evacuation.left_ms < math.inf
        for evacuation in (*message.evacuations, *message.withheld)
    )


def _adopt(
    state: world.World,
    message: messages.OperatorState,
    source: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Adopt what is newer; return audit entries for changed evacuations."""
    table = state.operator_state
    if message.number > table.number:
        table.number = message.number
        table.limit_by_service = dict(message.limit_by_service)
    if message.revision == table.revision:
        return evacuation_changes.merge_kept(
            state, message.evacuations, source, now_ms
        )
    if message.revision < table.revision:
        return []
    # The lag ends with each newer state, also if yet a newer one is known.
    table.behind_since_ms = None
    return evacuation_changes.replace_evacuations(
        state, message, source, now_ms
    )


def _compose(
    state: world.World, now_ms: clock.Millis
) -> messages.OperatorState:
    table = state.operator_state
    return messages.OperatorState(
        table.revision,
        table.number,
        evacuation_changes.evacuations_to_send(table, now_ms),
        dict(table.limit_by_service),
        evacuation_changes.withheld_to_send(table, now_ms),
    )
