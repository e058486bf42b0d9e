"""Synchronises the state of the platform's store between instances.

This keeps the number of reads of the store small. A reader pushes changes to
its data centre and to one relay in each other data centre, which forwards them
there; large ones go along a tree. An instance that learns of a newer state from
a peer requests it.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.configuration import routing
from oleanderstair.domain.fleet import broadcast, member_list, rosters
from oleanderstair.domain.tables import registry, store

REQUEST_INTERVAL_MS: typing.Final = 200
"""How long to wait for a peer's answer before another request to any peer."""

MAX_DIRECT_ITEMS: typing.Final = 32
"""Up to how many routes, entries and removals an update is sent to all members
directly; a larger one goes along a tree."""


def local_position(state: world.World) -> store.StorePosition:
    """Return the configuration number and store revision known here."""
    in_force = state.routes.in_force
    number = in_force.number if in_force else 0
    return store.StorePosition(number, state.registry.revision)


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Apply a peer's store state, or answer its request for one."""
    message = event.message
    if isinstance(message, messages.Roster):
        reported = store.StorePosition(message.number, message.revision)
        return _compare_position(
            state, event.sender, reported, message.age_ms, now_ms
        )
    if isinstance(message, messages.StoreState):
        return [
            *_forward_push(state, event.sender, message),
            *_apply_state(state, event.sender, message, now_ms),
        ]
    if isinstance(message, messages.StoreAsk):
        requested = store.StorePosition(message.number, message.revision)
        answer = state_update_since(state, requested, now_ms)
        return [
            *_send_to_peer(state, event.sender, answer),
            *_count_copies(answer, 'answered', 1),
        ]
    return []


def on_state_applied(
    state: world.World,
    event: events.StoreTold,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Record that a peer's state was applied."""
    state.store.peer_asked_at_ms = clock.NEVER_MS
    return _compare_position(
        state, event.sender, event.told, event.age_ms, now_ms
    )


def push_changes(
    state: world.World,
    before: store.StorePosition,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Push to the fleet what a read of the store changed or confirmed."""
    update = state_update_since(state, before, now_ms)._replace(pushed=True)
    pushes = [
        *broadcast.send_to_relays(state, update),
        *_send_to_data_centre(state, update),
    ]
    return [*pushes, *_count_copies(update, 'pushed', len(pushes))]


def _forward_push(
    state: world.World,
    sender: str,
    update: messages.StoreState,
) -> list[actions.Action]:
    """Forward a pushed update to those that get it from this instance.

    These are all other members of this data centre if the update came from
    another one, or else the members that it names.
    """
    if not update.pushed:
        return []
    if broadcast.is_from_other_data_centre(state, sender):
        forwards = _send_to_data_centre(state, update)
    else:
        branches = broadcast.branches_of(state, update.forward_to)
        forwards = _send_to_branches(branches, update)
    return [*forwards, *_count_copies(update, 'forwarded', len(forwards))]


def _send_to_data_centre(
    state: world.World, update: messages.StoreState
) -> list[actions.Action]:
    """Send an update to this data centre, along a tree if it is large."""
    if _item_count(update) <= MAX_DIRECT_ITEMS:
        receivers = member_list.other_local_members(state)
        return broadcast.send_to_members(receivers, update)
    return _send_to_branches(broadcast.local_branches(state), update)


def _send_to_branches(
    branches: list[broadcast.Branch], update: messages.StoreState
) -> list[actions.Action]:
    return [
        action
        for branch in branches
        for action in broadcast.send_to_members(
            [branch.receiver], update._replace(forward_to=branch.forward_to)
        )
    ]


def _item_count(update: messages.StoreState) -> int:
    """Return the number of routes, entries and removals in an update."""
    count = len(update.entries) + len(update.gone)
    if update.routing is None:
        return count
    return count + sum(map(len, update.routing.routes_by_host.values()))


def state_update_since(
    state: world.World,
    known: store.StorePosition,
    now_ms: clock.Millis,
) -> messages.StoreState:
    """Return what an instance lacks whose position is ``known``.

    The update contains the configuration if its number is above the known
    one, and the changes of the registry since the known revision. If not all
    of these changes are kept any more, or if the known revision is above the
    local one, it contains the whole registry, with a base of 0.
    """
    table = state.registry
    base = known.revision
    if base < table.removals_since_revision or base > table.revision:
        base = 0
    in_force = state.routes.in_force
    is_newer = in_force is not None and in_force.number > known.number
    return messages.StoreState(
        base=base,
        revision=table.revision,
        number=local_position(state).number,
        routing=in_force if is_newer else None,
        entries=_entries_after(table, base, now_ms),
        gone=_removals_after(table, base, now_ms),
        age_ms=rosters.reported_age_ms(now_ms, state.store.current_at_ms),
        refused=state.routes.refused,
    )


def _apply_state(
    state: world.World,
    sender: str,
    update: messages.StoreState,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    before = local_position(state)
    if update.base > before.revision:
        # The changes between the local revision and the base are missing.
        reported = store.StorePosition(update.number, update.revision)
        return _compare_position(state, sender, reported, update.age_ms, now_ms)
    done = routing.record_refused(state, update.refused, f'peer {sender}')
    if update.routing is not None:
        source = f'peer {sender}'
        done.append(
            actions.Notify(events.RoutingRead(update.routing, source)),
        )
    if update.revision > before.revision:
        done.append(actions.Notify(_registry_event_of(update, now_ms)))
    reported = store.StorePosition(update.number, update.revision)
    applied = events.StoreTold(sender, reported, update.age_ms)
    return [*done, actions.Notify(applied)]


def _registry_event_of(
    update: messages.StoreState,
    now_ms: clock.Millis,
) -> events.RegistryRead | events.RegistryChanged:
    entries = tuple(
        entry._replace(slow_start_until_ms=now_ms + entry.slow_start_until_ms)
        for entry in update.entries
    )
    if update.base:
        return events.RegistryChanged(update.revision, entries, update.gone)
    return events.RegistryRead(update.revision, entries, gone=update.gone)


def _compare_position(
    state: world.World,
    sender: str,
    reported: store.StorePosition,
    age_ms: clock.Millis,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Request the peer's state if it is newer than the local one.

    If it is equal, the local state counts as confirmed ``age_ms`` ago.
    """
    own = local_position(state)
    table = state.store
    if reported.revision > own.revision or reported.number > own.number:
        return _request_state(state, sender, now_ms)
    if reported == own:
        table.current_at_ms = max(table.current_at_ms, now_ms - age_ms)
    return []


def _request_state(
    state: world.World,
    sender: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    table = state.store
    if now_ms - table.peer_asked_at_ms < REQUEST_INTERVAL_MS:
        return []
    table.peer_asked_at_ms = now_ms
    own = local_position(state)
    return _send_to_peer(
        state,
        sender,
        messages.StoreAsk(own.number, own.revision),
    )


def _count_copies(
    update: messages.StoreState, label: str, count: int
) -> list[actions.Action]:
    """Count the copies of a whole configuration that are sent to peers."""
    if update.routing is None or not count:
        return []
    return [actions.Count('configuration-copies', label, count)]


def _send_to_peer(
    state: world.World,
    incarnation: str,
    message: messages.Message,
) -> list[actions.Action]:
    row = state.members.member_by_incarnation.get(incarnation)
    return [] if row is None else broadcast.send_to_members([row], message)


def _entries_after(
    table: registry.RegistryTable,
    revision: int,
    now_ms: clock.Millis,
) -> tuple[registry.Entry, ...]:
    """Return the entries changed after ``revision``, with relative times.

    Clocks of peers differ, so ``slow_start_until_ms`` holds the ms remaining.
    """
    if revision == table.revision:
        return ()
    return tuple(
        entry._replace(
            slow_start_until_ms=int(max(entry.slow_start_until_ms - now_ms, 0))
        )
        for entry in table.entry_by_id.values()
        if entry.revision > revision
    )


def _removals_after(
    table: registry.RegistryTable,
    revision: int,
    now_ms: clock.Millis,
) -> tuple[registry.RemovedEntry, ...]:
    if revision == table.revision:
        return ()
    return tuple(
        registry.RemovedEntry(
            target_id,
            removal_revision,
            _doubt_left_ms(table, target_id, now_ms),
        )
        for target_id, removal_revision in table.removal_revision_by_id.items()
        if removal_revision > revision
    )


def _doubt_left_ms(
    table: registry.RegistryTable,
    target_id: str,
    now_ms: clock.Millis,
) -> int:
    """Return for how many more ms a removed entry is kept, 0 if it isn't."""
    pending = table.pending_removal_by_id.get(target_id)
    return 0 if pending is None else int(max(pending.remove_at_ms - now_ms, 0))
