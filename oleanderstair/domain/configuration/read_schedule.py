"""Schedules reads of the configuration service.

The values are the head, the instance list and missing notes. The read rate of
the whole fleet must stay far below what the service can handle. So only the
readers watch the head, and other instances read it less often. The shortest
period between reads of a value grows with the size of the fleet.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.configuration import head_readers, note_values, notes
from oleanderstair.domain.tables import instances

INSTANCE_LIST_NAME: typing.Final = 'instances'
"""The name of the configuration value that lists the instances."""

MIN_FLEET_GAP_MS: typing.Final = 5
"""The shortest average time between two reads of a value by the fleet."""

READER_HEAD_PERIODS: typing.Final = 5
"""After how many periods (``value_read_ms``) a reader reads the head again,
besides watching it."""

OTHER_HEAD_PERIODS: typing.Final = 20
"""The same for other instances, which learn of new notes from readers."""

MAX_BACKOFF_MS: typing.Final = 8000
"""The longest delay after a failed read."""

_JITTER_SHARE: typing.Final = 0.25
"""The relative jitter of a delay, so that instances don't read in step."""

_MAX_BACKOFF_FAILURES: typing.Final = 5
"""After how many consecutive failures the delay stops doubling."""


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Request the head, the instance list and missing notes when due."""
    due: list[actions.Action] = []
    is_reader = head_readers.is_reader(state, now_ms)
    if is_reader and _may_start_watch(state, now_ms):
        due.append(_start_watch(state, now_ms))
    period_ms = _head_period_ms(state, is_reader)
    if _claim_due_read(state, note_values.HEAD_NAME, period_ms, now_ms):
        due.append(actions.ReadValue(note_values.HEAD_NAME))
    if _claim_due_read(
        state, INSTANCE_LIST_NAME, state.policy.list_read_ms, now_ms
    ):
        due.append(actions.ReadInstances())
    if _may_read_notes(state, now_ms):
        due.extend(note_values.request_next_note(state, now_ms))
    return due


def on_value(
    state: world.World,
    event: events.ValueRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Reset the failure count of the value; end the open watch if necessary.

    A changed head ends the watch, and an unchanged one ends an expired watch.
    """
    table = state.reads
    table.failures_by_name.pop(event.name, None)
    if event.name != note_values.HEAD_NAME:
        return []
    digest = notes.body_digest(event.body or b'')
    if event.body is None or digest == table.head_body_digest:
        return _end_expired_watch(state, now_ms)
    table.head_body_digest = digest
    table.watch_since_ms = None
    return []


def on_read_failed(
    state: world.World,
    event: events.ReadFailed,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Delay the next read of this value by a jittered exponential backoff."""
    table = state.reads
    failures = table.failures_by_name.get(event.name, 0) + 1
    table.failures_by_name[event.name] = failures
    delay_ms = _backoff_ms(state, failures)
    table.due_at_ms_by_name[event.name] = now_ms + delay_ms
    if event.name == note_values.HEAD_NAME:
        table.watch_since_ms = None
        table.watch_due_ms = now_ms + delay_ms
    return [actions.Count('reads-failed', event.name.partition('/')[0])]


def _may_start_watch(state: world.World, now_ms: clock.Millis) -> bool:
    table = state.reads
    if table.watch_since_ms is not None:
        # A watch that never reported its end counts as lost.
        return now_ms - table.watch_since_ms > _watch_timeout_ms(state)
    return now_ms >= table.watch_due_ms


def _start_watch(state: world.World, now_ms: clock.Millis) -> actions.Action:
    """Start a watch of the head.

    The next one starts at least a quarter of ``value_read_ms`` later.
    """
    table = state.reads
    table.watch_since_ms = now_ms
    table.watch_due_ms = now_ms + state.policy.value_read_ms / 4
    return actions.WatchValue(
        note_values.HEAD_NAME,
        table.head_body_digest,
        state.policy.watch_bound_ms,
    )


def _end_expired_watch(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """End the open watch if it has lasted for ``watch_bound_ms``.

    An unchanged head is the result of either an expired watch or a plain read.
    A watch that has not expired is still open.
    """
    since_ms = state.reads.watch_since_ms
    if since_ms is None or now_ms - since_ms < state.policy.watch_bound_ms:
        return []
    state.reads.watch_since_ms = None
    return []


def _watch_timeout_ms(state: world.World) -> clock.Millis:
    return state.policy.watch_bound_ms + 2 * state.policy.value_bound_ms


def _head_period_ms(state: world.World, is_reader: bool) -> clock.Millis:
    period_ms = state.policy.value_read_ms
    if state.instances.phase is instances.Phase.UNCONFIRMED:
        return period_ms
    if is_reader:
        return period_ms * READER_HEAD_PERIODS
    return period_ms * OTHER_HEAD_PERIODS


def _may_read_notes(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether missing notes may be read now.

    True if a note was adopted since the last read, or if that read was at
    least ``value_read_ms`` ago.
    """
    table = state.catalogue
    since_read_ms = now_ms - state.reads.note_read_at_ms
    if table.in_force_since_ms >= state.reads.note_read_at_ms:
        return True
    return since_read_ms >= state.policy.value_read_ms


def _claim_due_read(
    state: world.World,
    name: str,
    period_ms: clock.Millis,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a value is due for a read; if so, schedule the next one.

    The period is ``period_ms`` with jitter, or longer in a large fleet. After
    failures only the backoff counts.
    """
    table = state.reads
    min_period_ms = MIN_FLEET_GAP_MS * state.instances.largest_count
    delay_ms = max(period_ms, min_period_ms)
    read_at_ms = table.read_at_ms_by_name.get(name, clock.NEVER_MS)
    due_at_ms = table.due_at_ms_by_name.get(name, clock.NEVER_MS)
    # A shorter delay takes effect at once, such as that of a new reader.
    due_at_ms = min(due_at_ms, read_at_ms + delay_ms * (1 + _JITTER_SHARE))
    failures = table.failures_by_name.get(name, 0)
    if failures:
        due_at_ms = table.due_at_ms_by_name[name]
    if now_ms < due_at_ms:
        return False
    jitter = state.rng.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE)
    table.read_at_ms_by_name[name] = now_ms
    table.due_at_ms_by_name[name] = now_ms + delay_ms * jitter
    return True


def _backoff_ms(state: world.World, failures: int) -> clock.Millis:
    doublings = min(failures, _MAX_BACKOFF_FAILURES) - 1
    max_delay_ms: float = min(
        state.policy.value_read_ms << doublings,
        MAX_BACKOFF_MS,
    )
    return max_delay_ms * state.rng.uniform(1 / 2, 1)
