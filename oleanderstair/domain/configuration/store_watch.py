"""Schedules this instance's own reads and watches of the platform's store.

The first two instances in the reader order, in different data centres, watch
the store and push changes to the others. Any other instance reads the store
itself once its state has not been confirmed for a while; the delay grows with
its rank in the reader order.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.configuration import (
    operator_sync,
    routing,
    store_sync,
)
from oleanderstair.domain.fleet import member_list, roster_exchange
from oleanderstair.domain.tables import revisions, routes

READER_COUNT: typing.Final = 2
"""How many instances watch the store in normal operation."""

CONFIRM_INTERVAL_MS: typing.Final = 1000
"""The longest time between two confirmations by a reader."""

RECENT_CONFIRMATION_MS: typing.Final = 500
"""How long after a confirmation another one without a change is not pushed."""

CHANGE_PAUSE_MS: typing.Final = 300
"""The pause after a change, which batches changes that come in a burst."""

MAX_UNCONFIRMED_MS: typing.Final = 1350
"""How long after the last confirmation an instance that is no reader reads
the store itself, at the earliest."""

START_WAIT_MS: typing.Final = 50
"""How long a starting instance waits for its peers to send their state."""

START_JITTER_MS: typing.Final = 40
"""The jitter of the first read of an instance that has found no peer."""

START_READER_WAIT_MS: typing.Final = 300
"""How much longer a starting instance that is no reader waits for a push."""

FIRST_START_WAIT_MS: typing.Final = 1500
"""The extra wait when the whole fleet starts for the first time. Callers come
seconds later, and the slowest instance has found its peers by then."""

WATCH_SLACK_MS: typing.Final = 250
"""How long after its bound a watch times out; doubled after each failure."""

READ_TIMEOUT_MS: typing.Final = 750
"""The timeout of the read of a page; doubled after each failure."""

MAX_REQUEST_MS: typing.Final = 15_000
"""How long after its start a request without a result counts as failed. A read
of many pages of a slow store may take most of it."""

REMOVAL_DOUBT_MS: typing.Final = 2500
"""How long after an outage removals are in doubt: targets whose entries have
expired during the outage register again."""

MIN_OUTAGE_MS: typing.Final = 2500
"""If the last confirmation is longer ago than this when the store answers, it
has come back from an outage."""

FAILING_PERIOD_MS: typing.Final = 10_000
"""How long after a failed request an instance is last in the reader order."""

_MIN_WATCH_MS: typing.Final = 50
"""The shortest time that a watch waits for a change."""

_RANKS_PER_STEP: typing.Final = 4
"""How many ranks of the reader order become due at the same time."""

_STEP_DELAY_MS: typing.Final = 100
"""The delay between one such group of ranks and the next."""

_MAX_STEP_DELAY_MS: typing.Final = 3000
"""The longest delay of a group, for the last ranks."""

_BACKOFF_MS: typing.Final = 1000
"""The longest delay after the first failed request, and twice the shortest;
doubled after each further failure."""

_MAX_DOUBLINGS: typing.Final = 2
"""The maximum number of doublings of the timeouts and of the delay."""

_SOURCE: typing.Final = 'store'


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send a request to the store if one is due and none is in flight.

    The first tick also schedules the extra ticks of a start.
    """
    table = state.store
    if state.members.first_tick_at_ms is None:
        state.members.first_tick_at_ms = now_ms
        table.first_read_jitter = state.rng.random()
        return [
            *_schedule_start_ticks(state),
            *_request_store_if_due(state, now_ms),
        ]
    return _request_store_if_due(state, now_ms)


def _schedule_start_ticks(state: world.World) -> list[actions.Action]:
    """Return extra ticks at the times when the first read may be due.

    Regular ticks are too far apart, and callers wait for the start to end.
    """
    jitter_ms = state.store.first_read_jitter * START_JITTER_MS
    return [
        actions.Schedule(events.Tick(), START_WAIT_MS),
        actions.Schedule(events.Tick(), START_WAIT_MS + jitter_ms),
    ]


def _request_store_if_due(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send a request to the store if one is due and none is in flight.

    Without any state, or after its history was lost, the whole store is read.
    Otherwise it is watched for changes until the end of the read cycle.
    """
    table = state.store
    done = _clear_failing_if_due(state, now_ms)
    if _is_request_lost(state, now_ms):
        failed = events.StoreFailed('the request has no result')
        return [*done, *on_store_failed(state, failed, now_ms)]
    if table.request_started_at_ms is not None or now_ms < _request_due_ms(
        state
    ):
        return done
    table.request_started_at_ms = now_ms
    table.request_position = store_sync.local_position(state)
    doublings = min(table.failures_in_row, _MAX_DOUBLINGS)
    if (
        not table.request_position.revision
        or table.history_lost
        or operator_sync.is_read_due(state, now_ms)
    ):
        return [*done, actions.ReadStore(READ_TIMEOUT_MS << doublings)]
    wait_ms = max(table.read_cycle_ends_at_ms - now_ms, _MIN_WATCH_MS)
    revision = table.request_position.revision
    watch = actions.WatchStore(revision, wait_ms, WATCH_SLACK_MS << doublings)
    return [*done, watch]


def on_store_read(
    state: world.World,
    event: events.StoreRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Handle the result of a read of the whole store."""
    is_restored = revisions.era_of(event.registry.revision) > revisions.era_of(
        state.registry.revision
    )
    doubt_ms = _record_answer(state, now_ms, is_restored)
    state.store.history_lost = False
    return [
        *routing.record_refused(state, event.refused, _SOURCE),
        *_notify_configuration(event.routing),
        actions.Notify(event.registry._replace(doubt_ms=doubt_ms)),
    ]


def on_store_changed(
    state: world.World,
    event: events.StoreChanged,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Handle the result of a watch."""
    doubt_ms = _record_answer(state, now_ms)
    gone = tuple(
        removal._replace(doubt_ms=doubt_ms) for removal in event.registry.gone
    )
    return [
        *routing.record_refused(state, event.refused, _SOURCE),
        *_notify_configuration(event.routing),
        actions.Notify(event.registry._replace(gone=gone)),
    ]


def on_store_applied(
    state: world.World,
    event: events.StoreRead | events.StoreChanged,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Push the result to the fleet after it was applied to the tables.

    A bare confirmation is not pushed if the state was confirmed by another
    reader within the last ``RECENT_CONFIRMATION_MS``.
    """
    table = state.store
    confirmed_at_ms = table.current_at_ms
    table.current_at_ms = now_ms
    table.next_request_at_ms = now_ms
    table.read_cycle_ends_at_ms = now_ms + CONFIRM_INTERVAL_MS
    if store_sync.local_position(state) != table.request_position:
        table.next_request_at_ms += CHANGE_PAUSE_MS
    elif now_ms - confirmed_at_ms < RECENT_CONFIRMATION_MS:
        # Another reader has just confirmed the same state.
        return []
    return store_sync.push_changes(state, table.request_position, now_ms)


def on_history_lost(
    state: world.World,
    event: events.HistoryLost,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Schedule a read of the whole store, as changes are missing."""
    _record_answer(state, now_ms)
    state.store.history_lost = True
    state.store.next_request_at_ms = now_ms
    return [actions.Count('store-history-lost')]


def on_store_failed(
    state: world.World,
    event: events.StoreFailed,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Delay the next request, and announce the failure to the fleet.

    The delay is random between a half and the whole of the current backoff.
    """
    table = state.store
    doublings = min(table.failures_in_row, _MAX_DOUBLINGS)
    table.failures_in_row += 1
    table.failed_at_ms = now_ms
    table.request_started_at_ms = None
    wait_ms = _BACKOFF_MS << doublings
    table.next_request_at_ms = now_ms + wait_ms * state.rng.uniform(1 / 2, 1)
    return [
        actions.Count('store-failures'),
        *_set_failing(state, now_ms, failing=True),
    ]


def _is_request_lost(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether the request in flight should have had a result by now."""
    started_at_ms = state.store.request_started_at_ms
    if started_at_ms is None:
        return False
    return now_ms - started_at_ms > MAX_REQUEST_MS


def _request_due_ms(state: world.World) -> clock.Millis:
    """Return when the next request to the store is due."""
    table = state.store
    rank = member_list.current_view(state).reader_rank
    behind_since_ms = state.operator_state.behind_since_ms
    if not state.registry.revision:
        return max(table.next_request_at_ms, _first_request_due_ms(state, rank))
    if rank < READER_COUNT:
        return table.next_request_at_ms
    # Other instances read only if confirmations by readers stop arriving, or
    # if these don't bring the operator's state.
    if behind_since_ms is not None:
        behind_ms = operator_sync.read_delay_ms(state) + min(
            _step_delay_ms(rank), operator_sync.MAX_STEP_DELAY_MS
        )
        return max(table.next_request_at_ms, behind_since_ms + behind_ms)
    max_age_ms = MAX_UNCONFIRMED_MS + _step_delay_ms(rank)
    return max(table.next_request_at_ms, table.current_at_ms + max_age_ms)


def _first_request_due_ms(state: world.World, rank: int) -> clock.Millis:
    """Return when an instance without any store state makes its first read."""
    first_ms = state.members.first_tick_at_ms or 0
    if state.policy.first_start:
        first_ms += FIRST_START_WAIT_MS
    if rank >= READER_COUNT:
        return (
            first_ms
            + START_WAIT_MS
            + START_READER_WAIT_MS
            + _step_delay_ms(rank)
        )
    is_alone = len(member_list.current_view(state).reader_order) == 1
    jitter_ms = (
        state.store.first_read_jitter * START_JITTER_MS if is_alone else 0
    )
    return first_ms + START_WAIT_MS + jitter_ms


def _step_delay_ms(rank: int) -> clock.Millis:
    return min(rank // _RANKS_PER_STEP * _STEP_DELAY_MS, _MAX_STEP_DELAY_MS)


def _record_answer(
    state: world.World, now_ms: clock.Millis, is_restored: bool = False
) -> clock.Millis:
    """Record that the store answered.

    Return for how many ms from now removals remain in doubt: 0 unless the
    store came back from an outage, or from a copy, within
    ``REMOVAL_DOUBT_MS``.
    """
    table = state.store
    was_confirmed = table.current_at_ms != clock.NEVER_MS
    was_away = now_ms - table.current_at_ms > MIN_OUTAGE_MS
    if was_confirmed and (was_away or is_restored):
        table.returned_at_ms = now_ms
    table.failures_in_row = 0
    table.request_started_at_ms = None
    return max(table.returned_at_ms + REMOVAL_DOUBT_MS - now_ms, 0)


def _clear_failing_if_due(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Withdraw the announced failure to read the store, if it is over.

    It is over once a request has succeeded, or ``FAILING_PERIOD_MS`` after the
    last failed one.
    """
    table = state.store
    if not state.members.failing:
        return []
    if (
        table.failures_in_row
        and now_ms - table.failed_at_ms < FAILING_PERIOD_MS
    ):
        return []
    return _set_failing(state, now_ms, failing=False)


def _set_failing(
    state: world.World,
    now_ms: clock.Millis,
    failing: bool,
) -> list[actions.Action]:
    if state.members.failing == failing:
        return []
    state.members.failing = failing
    return roster_exchange.announce_own_row(state, now_ms)


def _notify_configuration(
    routing_read: routes.Routing | None,
) -> list[actions.Action]:
    if routing_read is None:
        return []
    return [actions.Notify(events.RoutingRead(routing_read, _SOURCE))]
