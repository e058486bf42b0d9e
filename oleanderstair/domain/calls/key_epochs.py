"""Bounds the size of the table of keys by forgetting whole epochs of keys.

An epoch accepts new keys while it is open, and for a grace period after the
next one opened, since callers still hold prefixes of it. Then it is closed
for good: a new key of a closed epoch is refused and never accepted later.
Its records are kept for resends until the epoch is forgotten.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, world
from oleanderstair.domain.tables import keys

NO_EPOCH: typing.Final = 0
"""Stands for the open epoch while no epoch accepts new keys."""

_GRACE_VALIDITY_PERIODS: typing.Final = 2
"""The grace period, as a multiple of ``answer_validity_ms``.

Peers learn an epoch's prefix from heartbeats and may give it out later. Their
answer is then valid for one more period.
"""


def prefix_epoch(table: keys.KeysTable) -> int:
    """Return the epoch for new keys, or ``NO_EPOCH`` if all are closed."""
    if table.lowest_accepting_epoch > table.open_epoch:
        return NO_EPOCH
    return table.open_epoch


def accepts_new_keys(table: keys.KeysTable, epoch: int) -> bool:
    """Return whether ``epoch`` accepts new keys."""
    return table.lowest_accepting_epoch <= epoch <= table.open_epoch


def is_closed_and_kept(table: keys.KeysTable, epoch: int) -> bool:
    """Return whether ``epoch`` is closed and its records are still kept.

    Then every key of it that ever ran has a record.
    """
    return table.oldest_epoch <= epoch < table.lowest_accepting_epoch


def close_if_full(state: world.World, now_ms: clock.Millis) -> None:
    """Close all epochs to new keys if the table of keys is full."""
    if len(state.keys.record_by_key) >= state.policy.key_limit:
        _close_epochs_below(state.keys, state.keys.open_epoch + 1, now_ms)


def advance_epochs(
    state: world.World, now_ms: clock.Millis
) -> list[actions.Action]:
    """Open, close and forget epochs by their age and the table's size.

    Return actions that drop the recorded answers of forgotten epochs.
    """
    table = state.keys
    if table.opened_at_ms == clock.NEVER_MS:
        table.opened_at_ms = now_ms
    dropped = _forget_expired_epochs(state, now_ms)
    if prefix_epoch(table) == NO_EPOCH:
        if len(table.record_by_key) < state.policy.key_limit:
            _open_next_epoch(table, now_ms)
        return dropped
    open_epoch_age_ms = now_ms - table.opened_at_ms
    if open_epoch_age_ms >= state.policy.key_epoch_ms:
        _close_epochs_below(table, table.open_epoch, now_ms)
        _open_next_epoch(table, now_ms)
    elif (
        open_epoch_age_ms
        >= _GRACE_VALIDITY_PERIODS * state.policy.answer_validity_ms
    ):
        _close_epochs_below(table, table.open_epoch, now_ms)
    return dropped


def _open_next_epoch(table: keys.KeysTable, now_ms: clock.Millis) -> None:
    table.open_epoch += 1
    table.opened_at_ms = now_ms


def _close_epochs_below(
    table: keys.KeysTable,
    epoch: int,
    now_ms: clock.Millis,
) -> None:
    while table.lowest_accepting_epoch < epoch:
        table.closed_at_ms_by_epoch[table.lowest_accepting_epoch] = now_ms
        table.lowest_accepting_epoch += 1


def _forget_expired_epochs(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Forget the epochs that have been closed for long enough.

    An epoch of which a call is still running is kept, and so are later ones.
    """
    table = state.keys
    kept_ms = state.policy.key_epochs_kept * state.policy.key_epoch_ms
    dropped: list[actions.Action] = []
    while table.oldest_epoch < table.lowest_accepting_epoch:
        closed_at_ms = table.closed_at_ms_by_epoch[table.oldest_epoch]
        if now_ms - closed_at_ms < kept_ms or _has_running_in_oldest(table):
            break
        dropped.extend(_forget_oldest_epoch(table))
    return dropped


def _has_running_in_oldest(table: keys.KeysTable) -> bool:
    return any(
        table.record_by_key[key].state is keys.KeyState.RUNNING
        for key in table.keys_by_epoch.get(table.oldest_epoch, ())
    )


def _forget_oldest_epoch(table: keys.KeysTable) -> list[actions.Action]:
    epoch = table.oldest_epoch
    table.oldest_epoch += 1
    table.closed_at_ms_by_epoch.pop(epoch)
    dropped: list[actions.Action] = []
    for key in table.keys_by_epoch.pop(epoch, ()):
        record = table.record_by_key.pop(key)
        table.key_by_call_id.pop(record.call_id, None)
        table.answer_bytes -= table.answer_bytes_by_key.pop(key, 0)
        if record.has_kept_answer:
            dropped.append(actions.DropRecorded(record.call_id))
    return dropped
