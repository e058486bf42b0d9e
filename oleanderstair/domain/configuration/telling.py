"""What instances tell each other of the store, so that few have to read it.

Who has read pushes to its data centre and to one relay in each other, which
passes it on. Who hears of more than it knows asks whoever told.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.configuration import routing
from oleanderstair.domain.fleet import rosters, spreading
from oleanderstair.domain.tables import registry, store

ASK_AGAIN_MS: typing.Final = 200
"""How long a peer may take to answer before another is asked."""


def position(state: world.World) -> store.Position:
    """Return the configuration and the revision that are known."""
    in_force = state.routes.in_force
    number = in_force.number if in_force else 0
    return store.Position(number, state.registry.revision)


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take what a peer tells of the store, or answer what it asks."""
    message = event.message
    if isinstance(message, messages.Roster):
        told = store.Position(message.number, message.revision)
        return _hear(state, event.sender, told, message.age_ms, now_ms)
    if isinstance(message, messages.StoreState):
        return _take(state, event.sender, message, now_ms)
    if isinstance(message, messages.StoreAsk):
        known = store.Position(message.number, message.revision)
        answer = state_since(state, known, now_ms)
        return _send(state, event.sender, answer)
    return []


def on_told(
    state: world.World,
    event: events.StoreTold,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Count a peer's word as fresh, and pass it on into the data centre."""
    state.store.peer_asked_at_ms = clock.NEVER_MS
    done = _hear(state, event.sender, event.told, event.age_ms, now_ms)
    if not event.pushed or not spreading.is_relay(state, event.sender):
        return done
    passed = state_since(state, event.before, now_ms)
    return [*done, *spreading.pass_on(state, event.sender, passed)]


def push(
    state: world.World,
    before: store.Position,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Tell the fleet what a read of the store has brought, or confirmed."""
    told = state_since(state, before, now_ms)._replace(pushed=True)
    return spreading.spread(state, told)


def state_since(
    state: world.World,
    known: store.Position,
    now_ms: clock.Millis,
) -> messages.StoreState:
    """Return what the store held after ``known``, as far as told here."""
    table = state.registry
    base = known.revision
    if base < table.horizon or base > table.revision:
        base = 0
    in_force = state.routes.in_force
    lacking = in_force is not None and in_force.number > known.number
    return messages.StoreState(
        base=base,
        revision=table.revision,
        number=position(state).number,
        routing=in_force if lacking else None,
        entries=_entries_after(table, base, now_ms),
        gone=_gone_after(table, base, now_ms),
        age_ms=rosters.age_of(now_ms, state.store.fresh_at_ms),
        refused=state.routes.refused,
    )


def _take(
    state: world.World,
    sender: str,
    told: messages.StoreState,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    before = position(state)
    if told.base > before.revision:
        at = store.Position(told.number, told.revision)
        return _hear(state, sender, at, told.age_ms, now_ms)
    done = routing.refuse(state, told.refused, f'peer {sender}')
    if told.routing is not None:
        source = f'peer {sender}'
        done.append(
            actions.Notify(events.RoutingRead(told.routing, source)),
        )
    if told.revision > before.revision:
        done.append(actions.Notify(_registry_event(told, now_ms)))
    at = store.Position(told.number, told.revision)
    heard = events.StoreTold(sender, at, before, told.age_ms, told.pushed)
    return [*done, actions.Notify(heard)]


def _registry_event(
    told: messages.StoreState,
    now_ms: clock.Millis,
) -> events.RegistryRead | events.RegistryChanged:
    entries = tuple(
        entry._replace(warm_at_ms=now_ms + entry.warm_at_ms)
        for entry in told.entries
    )
    if told.base:
        return events.RegistryChanged(told.revision, entries, told.gone)
    return events.RegistryRead(told.revision, entries, gone=told.gone)


def _hear(
    state: world.World,
    sender: str,
    told: store.Position,
    age_ms: clock.Millis,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Trust what is known for as long as a peer has confirmed it."""
    known = position(state)
    table = state.store
    if told.revision > known.revision or told.number > known.number:
        return _ask(state, sender, now_ms)
    if told == known:
        table.fresh_at_ms = max(table.fresh_at_ms, now_ms - age_ms)
    return []


def _ask(
    state: world.World,
    sender: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    table = state.store
    if now_ms - table.peer_asked_at_ms < ASK_AGAIN_MS:
        return []
    table.peer_asked_at_ms = now_ms
    known = position(state)
    return _send(
        state,
        sender,
        messages.StoreAsk(known.number, known.revision),
    )


def _send(
    state: world.World,
    incarnation: str,
    message: messages.Message,
) -> list[actions.Action]:
    row = state.members.by_incarnation.get(incarnation)
    return [] if row is None else spreading.send_all([row], message)


def _entries_after(
    table: registry.RegistryTable,
    revision: int,
    now_ms: clock.Millis,
) -> tuple[registry.Entry, ...]:
    """Return the entries that changed; times count from now."""
    if revision == table.revision:
        return ()
    return tuple(
        entry._replace(warm_at_ms=int(max(entry.warm_at_ms - now_ms, 0)))
        for entry in table.entry_by_id.values()
        if entry.revision > revision
    )


def _gone_after(
    table: registry.RegistryTable,
    revision: int,
    now_ms: clock.Millis,
) -> tuple[registry.Gone, ...]:
    if revision == table.revision:
        return ()
    return tuple(
        registry.Gone(target_id, ended, _doubt_ms(table, target_id, now_ms))
        for target_id, ended in table.gone_by_id.items()
        if ended > revision
    )


def _doubt_ms(
    table: registry.RegistryTable,
    target_id: str,
    now_ms: clock.Millis,
) -> int:
    doubt = table.doubt_by_id.get(target_id)
    return 0 if doubt is None else int(max(doubt.due_ms - now_ms, 0))
