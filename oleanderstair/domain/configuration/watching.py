"""Reads the platform's store once, then watches it for changes."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import routes

PAUSE_MS: typing.Final = 300
"""The pause between two watches; it merges changes that come in a burst."""

WATCH_MS: typing.Final = 20_000
"""How long a watch waits; the store allows 30 s."""

SILENCE_MS: typing.Final = 5000
"""How long a call to the store may take beyond its own bound."""

_FIRST_BACKOFF_MS: typing.Final = 200
_LONGEST_DOUBLING: typing.Final = 4


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Ask the store where nothing is being asked and the time has come."""
    table = state.store
    if table.asked_at_ms is not None or now_ms < table.due_at_ms:
        return []
    table.asked_at_ms = now_ms
    if not table.revision:
        return [actions.ReadStore()]
    return [actions.WatchStore(table.revision, WATCH_MS)]


def on_read(
    state: world.World,
    event: events.StoreRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take the whole of the store; watch from its revision on."""
    _settle(state, event.registry.revision, now_ms)
    return [
        *_routing_told(event.routing),
        actions.Notify(event.registry),
    ]


def on_changed(
    state: world.World,
    event: events.StoreChanged,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take what a watch ended with."""
    _settle(state, event.registry.revision, now_ms)
    return [
        *_routing_told(event.routing),
        actions.Notify(event.registry),
    ]


def on_history_lost(
    state: world.World,
    event: events.HistoryLost,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Read the whole of the store again."""
    _settle(state, 0, now_ms)
    return [actions.Count('store-history-lost')]


def on_failed(
    state: world.World,
    event: events.StoreFailed,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Wait longer after each failure, with jitter."""
    table = state.store
    doublings = min(table.failures, _LONGEST_DOUBLING)
    table.failures += 1
    table.asked_at_ms = None
    wait_ms = _FIRST_BACKOFF_MS << doublings
    table.due_at_ms = now_ms + wait_ms * state.rng.uniform(1 / 2, 1)
    return [actions.Count('store-failures')]


def _settle(
    state: world.World,
    revision: int,
    now_ms: clock.Millis,
) -> None:
    table = state.store
    table.revision = revision
    table.failures = 0
    table.asked_at_ms = None
    table.due_at_ms = now_ms + PAUSE_MS


def _routing_told(found: routes.Routing | None) -> list[actions.Action]:
    if found is None:
        return []
    return [actions.Notify(events.RoutingRead(found, 'store'))]
