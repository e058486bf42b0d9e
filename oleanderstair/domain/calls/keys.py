"""Ensures that a keyed call runs at most once.

Every key names one incarnation of an instance as its home. The home records
a key before its call may run, and answers resends from the record.
"""

import re
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.calls import key_epochs
from oleanderstair.domain.tables import keys

MAX_WAITING_RESENDS: typing.Final = 16
"""How many resends of one key may wait for the call that runs."""

_BOUND_KEY: typing.Final = re.compile(
    r'([^~"]{1,128}~[0-9A-Za-z]{1,64})\.([0-9]{1,12})\.([!#-~]{1,256})',
)


class BoundKey(typing.NamedTuple):
    """A key split into its home incarnation, epoch and nonce."""

    home: str
    epoch: int
    nonce: str


class Admission(typing.NamedTuple):
    """What the home does with a keyed call; exactly one field is set.

    ``may_run`` is true if the key is now recorded and the call may run.
    ``refusal`` is the outcome and reason with which it is refused.
    ``existing`` is the record of the call that runs or ran under this key.
    """

    may_run: bool = False
    refusal: tuple[outcomes.Outcome, outcomes.Reason] | None = None
    existing: keys.KeyRecord | None = None


def split_key(key: str) -> BoundKey | None:
    """Split a key, or return None if it is not bound to a home."""
    matched = _BOUND_KEY.fullmatch(key.strip().strip('"'))
    if matched is None:
        return None
    home, epoch, nonce = matched.groups()
    return BoundKey(home, int(epoch), nonce)


def admit_key(
    state: world.World,
    received: events.CallReceived,
    bound_key: BoundKey,
    now_ms: clock.Millis,
) -> Admission:
    """Record a key of this home so that its call may run, or refuse it.

    If the key has a record already, return that record, or refuse the call if
    the record is of another request.

    A key without a record is refused as NOT_RUN only if its epoch is closed
    and still kept: the records are complete then, and no key is added later.
    A key of a forgotten epoch may have run, and one of a future epoch may
    still run later.
    """
    table = state.keys
    key = _canonical_key(bound_key)
    record = table.record_by_key.get(key)
    if record is not None:
        return _admit_resend(record, received)
    if key_epochs.accepts_new_keys(table, bound_key.epoch):
        key_epochs.close_if_full(state, now_ms)
    if key_epochs.accepts_new_keys(table, bound_key.epoch):
        _record_key(table, received, key, bound_key.epoch, now_ms)
        return Admission(may_run=True)
    if key_epochs.is_closed_and_kept(table, bound_key.epoch):
        return Admission(
            refusal=(
                outcomes.Outcome.NOT_RUN,
                outcomes.Reason.KEY_TABLE_FULL,
            ),
        )
    return Admission(
        refusal=(outcomes.Outcome.UNKNOWN, outcomes.Reason.KEY_FORGOTTEN),
    )


def settle_key(
    state: world.World,
    call_id: int,
    outcome: outcomes.Outcome,
    reason: outcomes.Reason | None,
    answer_bytes: int = 0,
) -> list[actions.Action]:
    """Record how the call of a key ended and answer the waiting resends."""
    table = state.keys
    key = table.key_by_call_id.get(call_id)
    if key is None:
        return []
    record = table.record_by_key[key]
    settled = record._replace(
        state=_STATE_BY_OUTCOME[outcome],
        reason=reason,
        waiting_call_ids=(),
        has_kept_answer=outcome is outcomes.Outcome.RAN,
    )
    table.record_by_key[key] = settled
    answered = [
        answer_resend(state, waiting_id, settled)
        for waiting_id in record.waiting_call_ids
    ]
    if settled.has_kept_answer:
        table.answer_bytes_by_key[key] = answer_bytes
        table.answer_bytes += answer_bytes
    return [*answered, *_drop_oldest_answers(state)]


def answer_resend(
    state: world.World,
    call_id: int,
    record: keys.KeyRecord,
) -> actions.Action:
    """Answer a resend from the record of its key, whose call has ended."""
    state.calls.call_by_id.pop(call_id, None)
    if record.has_kept_answer:
        return actions.RelayRecorded(call_id, record.call_id)
    if record.state is keys.KeyState.REFUSED:
        return actions.Refuse(
            call_id,
            outcomes.Outcome.NOT_RUN,
            outcomes.Reason.KEY_REFUSED,
        )
    reason = record.reason or outcomes.Reason.TARGET_LOST
    if record.state is keys.KeyState.RAN:
        reason = outcomes.Reason.KEY_FORGOTTEN
    return actions.Refuse(call_id, outcomes.Outcome.UNKNOWN, reason)


def join_running_call(
    state: world.World, record: keys.KeyRecord, call_id: int
) -> bool:
    """Let a resend wait for the running call.

    Return False if ``MAX_WAITING_RESENDS`` already wait.
    """
    if len(record.waiting_call_ids) >= MAX_WAITING_RESENDS:
        return False
    state.keys.record_by_key[record.key] = record._replace(
        waiting_call_ids=(*record.waiting_call_ids, call_id),
    )
    return True


def remove_waiting_resend(state: world.World, key: str, call_id: int) -> None:
    """Remove a resend from those that wait for the running call of a key."""
    bound_key = split_key(key)
    record = bound_key and state.keys.record_by_key.get(
        _canonical_key(bound_key)
    )
    if not record:
        return
    state.keys.record_by_key[record.key] = record._replace(
        waiting_call_ids=tuple(
            waiting_id
            for waiting_id in record.waiting_call_ids
            if waiting_id != call_id
        ),
    )


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Open and close epochs, and forget old ones with their records."""
    return key_epochs.advance_epochs(state, now_ms)


_STATE_BY_OUTCOME: typing.Final = {
    outcomes.Outcome.RAN: keys.KeyState.RAN,
    outcomes.Outcome.NOT_RUN: keys.KeyState.REFUSED,
    outcomes.Outcome.UNKNOWN: keys.KeyState.UNKNOWN,
}


def _canonical_key(bound_key: BoundKey) -> str:
    return f'{bound_key.home}.{bound_key.epoch}.{bound_key.nonce}'


def _admit_resend(
    record: keys.KeyRecord,
    received: events.CallReceived,
) -> Admission:
    is_same_request = (record.service, record.fingerprint) == (
        received.service,
        received.fingerprint,
    )
    if is_same_request:
        return Admission(existing=record)
    return Admission(
        refusal=(outcomes.Outcome.UNKNOWN, outcomes.Reason.KEY_MISMATCH),
    )


def _record_key(
    table: keys.KeysTable,
    received: events.CallReceived,
    key: str,
    epoch: int,
    now_ms: clock.Millis,
) -> None:
    table.record_by_key[key] = keys.KeyRecord(
        key=key,
        epoch=epoch,
        call_id=received.call_id,
        state=keys.KeyState.RUNNING,
        recorded_at_ms=now_ms,
        service=received.service,
        fingerprint=received.fingerprint,
    )
    table.keys_by_epoch.setdefault(epoch, []).append(key)
    table.key_by_call_id[received.call_id] = key


def _drop_oldest_answers(state: world.World) -> list[actions.Action]:
    """Drop recorded answers until their size is within ``key_answer_bytes``.

    The records of their keys are kept without the answer.
    """
    table = state.keys
    dropped: list[actions.Action] = []
    while table.answer_bytes > state.policy.key_answer_bytes:
        key = next(iter(table.answer_bytes_by_key))
        table.answer_bytes -= table.answer_bytes_by_key.pop(key)
        record = table.record_by_key[key]
        table.record_by_key[key] = record._replace(has_kept_answer=False)
        dropped.append(actions.DropRecorded(record.call_id))
    return dropped
