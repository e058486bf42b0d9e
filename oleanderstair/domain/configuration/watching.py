"""When this instance reads the platform's store itself.

Two instances in different data centres watch the store and tell the others.
Each of the others reads for itself as soon as what it knows has not been
confirmed for a time, one after the other in the readers' order.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.configuration import routing, telling
from oleanderstair.domain.fleet import meeting, members
from oleanderstair.domain.tables import routes

READERS: typing.Final = 2
"""How many instances watch the store while all goes well."""

CYCLE_MS: typing.Final = 1000
"""How often a reader confirms that nothing else has changed."""

ENOUGH_MS: typing.Final = 500
"""How long after another's confirmation one more says nothing new."""

PAUSE_MS: typing.Final = 300
"""The pause after a change; it merges changes that come in a burst."""

TRUST_MS: typing.Final = 1350
"""How long what is known is trusted without a new confirmation."""

FIRST_MS: typing.Final = 50
"""How long a started instance waits for peers to tell it all they know."""

FIRST_SPREAD_MS: typing.Final = 80
"""Over how long those spread that have met nobody until then."""

FIRST_TRUST_MS: typing.Final = 300
"""How much longer those wait that have met the two that are to read."""

FIRST_START_MS: typing.Final = 1500
"""How much longer all wait where the whole fleet starts for the first time:
callers come seconds later, and the slowest has met the others by then."""

SLACK_MS: typing.Final = 250
"""How much longer than asked for a call to the store may take at first."""

READ_BOUND_MS: typing.Final = 750
"""How long the read of a page may take at first."""

DOUBT_MS: typing.Final = 2500
"""How long after an outage of the store entries may still come back."""

OUTAGE_MS: typing.Final = 2500
"""How long nobody could read the store in an outage."""

FAILING_MS: typing.Final = 10_000
"""How long after a failure an instance comes last in the readers' order."""

_LEAST_WATCH_MS: typing.Final = 50
"""How long a watch waits for a change at least."""

_STEP_RANKS: typing.Final = 4
"""How many ranks of the order begin to read at the same moment."""

_STEP_MS: typing.Final = 100
"""How long after those the next ranks begin."""

_LONGEST_STEPS_MS: typing.Final = 3000
"""How long the last ranks wait for those before them."""

_BACKOFF_MS: typing.Final = 1000
"""How long an instance waits after its first failed call."""

_LONGEST_DOUBLING: typing.Final = 2
"""How often bounds and waits double at most."""

_SOURCE: typing.Final = 'store'


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Ask the store where nothing is being asked and the time has come."""
    table = state.store
    if state.members.first_tick_ms is None:
        state.members.first_tick_ms = now_ms
        table.first_spread = state.rng.random()
        return [*_look_early(state), *_ask_if_due(state, now_ms)]
    return _ask_if_due(state, now_ms)


def _look_early(state: world.World) -> list[actions.Action]:
    """Tick between the ticks of a start, as callers wait for its end."""
    spread_ms = state.store.first_spread * FIRST_SPREAD_MS
    return [
        actions.Schedule(events.Tick(), FIRST_MS),
        actions.Schedule(events.Tick(), FIRST_MS + spread_ms),
    ]


def _ask_if_due(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    table = state.store
    done = _recover(state, now_ms)
    if table.asked_at_ms is not None or now_ms < _due_ms(state):
        return done
    table.asked_at_ms = now_ms
    table.asked_from = telling.position(state)
    doublings = min(table.failures, _LONGEST_DOUBLING)
    if not table.asked_from.revision or table.history_lost:
        return [*done, actions.ReadStore(READ_BOUND_MS << doublings)]
    wait_ms = max(table.cycle_ends_ms - now_ms, _LEAST_WATCH_MS)
    revision = table.asked_from.revision
    watch = actions.WatchStore(revision, wait_ms, SLACK_MS << doublings)
    return [*done, watch]


def on_read(
    state: world.World,
    event: events.StoreRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take the whole of the store."""
    doubt_ms = _succeed(state, now_ms)
    state.store.history_lost = False
    return [
        *routing.refuse(state, event.refused, _SOURCE),
        *_routing_told(event.routing),
        actions.Notify(event.registry._replace(doubt_ms=doubt_ms)),
    ]


def on_changed(
    state: world.World,
    event: events.StoreChanged,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take what a watch ended with."""
    doubt_ms = _succeed(state, now_ms)
    gone = tuple(
        ended._replace(doubt_ms=doubt_ms) for ended in event.registry.gone
    )
    return [
        *routing.refuse(state, event.refused, _SOURCE),
        *_routing_told(event.routing),
        actions.Notify(event.registry._replace(gone=gone)),
    ]


def on_settled(
    state: world.World,
    event: events.StoreRead | events.StoreChanged,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Tell the fleet, once what was read is in the tables."""
    table = state.store
    others_ms = table.fresh_at_ms
    table.fresh_at_ms = now_ms
    table.due_at_ms = now_ms
    table.cycle_ends_ms = now_ms + CYCLE_MS
    if telling.position(state) != table.asked_from:
        table.due_at_ms += PAUSE_MS
    elif now_ms - others_ms < ENOUGH_MS:
        # The other reader has said the same just now.
        return []
    return telling.push(state, table.asked_from, now_ms)


def on_history_lost(
    state: world.World,
    event: events.HistoryLost,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Read the whole of the store again."""
    _succeed(state, now_ms)
    state.store.history_lost = True
    state.store.due_at_ms = now_ms
    return [actions.Count('store-history-lost')]


def on_failed(
    state: world.World,
    event: events.StoreFailed,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Leave it to others, and wait longer after each failure."""
    table = state.store
    doublings = min(table.failures, _LONGEST_DOUBLING)
    table.failures += 1
    table.failed_at_ms = now_ms
    table.asked_at_ms = None
    wait_ms = _BACKOFF_MS << doublings
    table.due_at_ms = now_ms + wait_ms * state.rng.uniform(1 / 2, 1)
    return [
        actions.Count('store-failures'),
        *_tell_failing(state, now_ms, failing=True),
    ]


def _due_ms(state: world.World) -> clock.Millis:
    """Return when this instance has to ask the store."""
    table = state.store
    rank = members.view(state).rank
    if not state.registry.revision:
        return max(table.due_at_ms, _first_due_ms(state, rank))
    if rank < READERS:
        return table.due_at_ms
    # Readers that live are heard; the rest follow them a few at a time.
    trusted_ms = TRUST_MS + _steps_ms(rank)
    return max(table.due_at_ms, table.fresh_at_ms + trusted_ms)


def _first_due_ms(state: world.World, rank: int) -> clock.Millis:
    """Return when an instance that knows nothing reads for itself."""
    first_ms = state.members.first_tick_ms or 0
    if state.policy.first_start:
        first_ms += FIRST_START_MS
    if rank >= READERS:
        return first_ms + FIRST_MS + FIRST_TRUST_MS + _steps_ms(rank)
    alone = len(members.view(state).reader_order) == 1
    spread_ms = state.store.first_spread * FIRST_SPREAD_MS if alone else 0
    return first_ms + FIRST_MS + spread_ms


def _steps_ms(rank: int) -> clock.Millis:
    return min(rank // _STEP_RANKS * _STEP_MS, _LONGEST_STEPS_MS)


def _succeed(state: world.World, now_ms: clock.Millis) -> clock.Millis:
    """Note an answer; return how long ends of entries are in doubt."""
    table = state.store
    known_before = table.fresh_at_ms != clock.NEVER_MS
    if known_before and now_ms - table.fresh_at_ms > OUTAGE_MS:
        table.returned_at_ms = now_ms
    table.failures = 0
    table.asked_at_ms = None
    return max(table.returned_at_ms + DOUBT_MS - now_ms, 0)


def _recover(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Come back into the readers' order some time after a failure."""
    table = state.store
    if not state.members.failing:
        return []
    if table.failures and now_ms - table.failed_at_ms < FAILING_MS:
        return []
    return _tell_failing(state, now_ms, failing=False)


def _tell_failing(
    state: world.World,
    now_ms: clock.Millis,
    failing: bool,
) -> list[actions.Action]:
    if state.members.failing == failing:
        return []
    state.members.failing = failing
    return meeting.tell_own(state, now_ms)


def _routing_told(found: routes.Routing | None) -> list[actions.Action]:
    if found is None:
        return []
    return [actions.Notify(events.RoutingRead(found, _SOURCE))]
