"""Reads the platform: the newest note and the list of instances.

All reads of the fleet together stay far below what the service bears: a
few readers watch, the others read slowly, and periods grow with the fleet.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.configuration import notes, readers, spread
from oleanderstair.domain.tables import instances

LIST_NAME: typing.Final = 'instances'
"""The value of the configuration service that lists the instances."""

FLEET_GAP_MS: typing.Final = 5
"""The least time between two reads of the whole fleet, per kind of read."""

READER_PERIODS: typing.Final = 5
"""After how many periods of the policy a reader reads the list again."""

OTHER_PERIODS: typing.Final = 20
"""After how many periods the others do, who hear of it from readers."""

BACKOFF_LIMIT_MS: typing.Final = 8000
"""How long failed reads are put off at most."""

_JITTER: typing.Final = 0.25
"""By which part of it a wait varies, so that instances don't read at once."""

_LONGEST_BACKOFF: typing.Final = 5
"""After how many failures in a row the wait doubles no more."""


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Ask for the head, the list and missing notes when they are due."""
    due: list[actions.Action] = []
    watches = readers.is_reader(state, now_ms)
    if watches and _may_watch(state, now_ms):
        due.append(_watch(state, now_ms))
    period_ms = _head_period_ms(state, watches)
    if _is_due(state, spread.HEAD_NAME, period_ms, now_ms):
        due.append(actions.ReadValue(spread.HEAD_NAME))
    if _is_due(state, LIST_NAME, state.policy.list_read_ms, now_ms):
        due.append(actions.ReadInstances())
    if _may_read_on(state, now_ms):
        due.extend(spread.read_next(state, now_ms))
    return due


def on_value(
    state: world.World,
    event: events.ValueRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Note that the service answers; a changed head renews the watch."""
    table = state.reads
    table.failures_by_name.pop(event.name, None)
    if event.name != spread.HEAD_NAME:
        return []
    digest = notes.digest(event.body or b'')
    if event.body is None or digest == table.head_body_digest:
        return _end_late_watch(state, now_ms)
    table.head_body_digest = digest
    table.watch_since_ms = None
    return []


def on_read_failed(
    state: world.World,
    event: events.ReadFailed,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Wait longer before the next read of this value, with jitter."""
    table = state.reads
    failures = table.failures_by_name.get(event.name, 0) + 1
    table.failures_by_name[event.name] = failures
    wait_ms = _backoff_ms(state, failures)
    table.due_at_ms_by_name[event.name] = now_ms + wait_ms
    if event.name == spread.HEAD_NAME:
        table.watch_since_ms = None
        table.watch_due_ms = now_ms + wait_ms
    return [actions.Count('reads-failed', event.name.partition('/')[0])]


def _may_watch(state: world.World, now_ms: clock.Millis) -> bool:
    table = state.reads
    if table.watch_since_ms is not None:
        # A watch whose end was never heard counts as lost.
        return now_ms - table.watch_since_ms > _watch_limit_ms(state)
    return now_ms >= table.watch_due_ms


def _watch(state: world.World, now_ms: clock.Millis) -> actions.Action:
    table = state.reads
    table.watch_since_ms = now_ms
    table.watch_due_ms = now_ms + state.policy.value_read_ms / 4
    return actions.WatchValue(
        spread.HEAD_NAME,
        table.head_body_digest,
        state.policy.watch_bound_ms,
    )


def _end_late_watch(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """End the watch that this unchanged value may have come from."""
    since_ms = state.reads.watch_since_ms
    if since_ms is None or now_ms - since_ms < state.policy.watch_bound_ms:
        return []
    state.reads.watch_since_ms = None
    return []


def _watch_limit_ms(state: world.World) -> clock.Millis:
    return state.policy.watch_bound_ms + 2 * state.policy.value_bound_ms


def _head_period_ms(state: world.World, watches: bool) -> clock.Millis:
    period_ms = state.policy.value_read_ms
    if state.instances.phase is instances.Phase.UNCONFIRMED:
        return period_ms
    if watches:
        return period_ms * READER_PERIODS
    return period_ms * OTHER_PERIODS


def _may_read_on(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether missing notes may be read: at once after progress."""
    table = state.catalogue
    waited_ms = now_ms - state.reads.note_read_at_ms
    if table.in_force_since_ms >= state.reads.note_read_at_ms:
        return True
    return waited_ms >= state.policy.value_read_ms


def _is_due(
    state: world.World,
    name: str,
    period_ms: clock.Millis,
    now_ms: clock.Millis,
) -> bool:
    table = state.reads
    fleet_ms = FLEET_GAP_MS * state.instances.largest_count
    wait_ms = max(period_ms, fleet_ms)
    read_at_ms = table.read_at_ms_by_name.get(name, clock.NEVER_MS)
    due_at_ms = table.due_at_ms_by_name.get(name, clock.NEVER_MS)
    # A wait that became shorter, as for a new reader, holds at once.
    due_at_ms = min(due_at_ms, read_at_ms + wait_ms * (1 + _JITTER))
    failures = table.failures_by_name.get(name, 0)
    if failures:
        due_at_ms = table.due_at_ms_by_name[name]
    if now_ms < due_at_ms:
        return False
    jitter = state.rng.uniform(1 - _JITTER, 1 + _JITTER)
    table.read_at_ms_by_name[name] = now_ms
    table.due_at_ms_by_name[name] = now_ms + wait_ms * jitter
    return True


def _backoff_ms(state: world.World, failures: int) -> clock.Millis:
    doublings = min(failures, _LONGEST_BACKOFF) - 1
    longest_ms: float = min(
        state.policy.value_read_ms << doublings,
        BACKOFF_LIMIT_MS,
    )
    return longest_ms * state.rng.uniform(1 / 2, 1)
