"""Keeps a keyed call to one run: every key has one home incarnation."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.tables import keys

_KEY_PARTS: typing.Final = 3


class BoundKey(typing.NamedTuple):
    """A key split into its home incarnation, epoch and nonce."""

    home: str
    epoch: int
    nonce: str


class Admission(typing.NamedTuple):
    """What to do with a keyed call.

    ``proceed`` means that this is the home and the call may run now.
    ``forward_to`` names another home. ``refusal`` says why it may not run
    and with which outcome. ``join`` names the call that runs or ran for
    the same key. Exactly one of them is set.
    """

    proceed: bool = False
    forward_to: str = ''
    refusal: tuple[outcomes.Outcome, outcomes.Reason] | None = None
    join: keys.KeyRecord | None = None


def split_key(key: str) -> BoundKey | None:
    """Split a key, or return None where it is not bound to a home."""
    parts = key.strip('"').split('.', _KEY_PARTS - 1)
    if len(parts) != _KEY_PARTS or not parts[1].isdecimal():
        return None
    home, epoch, nonce = parts
    if not home or not nonce:
        return None
    return BoundKey(home, int(epoch), nonce)


def admit(
    state: world.World,
    received: events.CallReceived,
    now_ms: clock.Millis,
) -> Admission:
    """Record the key of a call before it may run, or say why not."""
    bound = split_key(received.key)
    if bound is None:
        return _refuse(outcomes.Outcome.NOT_RUN, outcomes.Reason.UNBOUND_KEY)
    if bound.home != state.identity.incarnation:
        if received.from_peer:
            return _refuse(outcomes.Outcome.UNKNOWN, outcomes.Reason.HOME_LOST)
        return Admission(forward_to=bound.home)
    record = state.keys.record_by_key.get(received.key)
    if record is not None:
        return _repeat(record)
    if bound.epoch != state.keys.open_epoch:
        return _refuse(
            outcomes.Outcome.UNKNOWN,
            outcomes.Reason.KEY_FORGOTTEN,
        )
    _record(state, received, bound.epoch, now_ms)
    return Admission(proceed=True)


def settle(
    state: world.World,
    call_id: int,
    outcome: outcomes.Outcome,
    reason: outcomes.Reason | None,
) -> list[actions.Action]:
    """Record how the call of a key ended and answer those that wait."""
    table = state.keys
    key = table.key_by_call_id.get(call_id)
    if key is None:
        return []
    record = table.record_by_key[key]
    settled = record._replace(
        state=_STATE_BY_OUTCOME[outcome],
        reason=reason,
        waiting_call_ids=(),
    )
    table.record_by_key[key] = settled
    return [
        answer_repeat(state, waiting_id, settled)
        for waiting_id in record.waiting_call_ids
    ]


def answer_repeat(
    state: world.World,
    call_id: int,
    record: keys.KeyRecord,
) -> actions.Action:
    """Answer a repeated call from the settled record of its key."""
    state.calls.call_by_id.pop(call_id, None)
    if record.state is keys.KeyState.RAN:
        return actions.RelayRecorded(call_id, record.call_id)
    if record.state is keys.KeyState.REFUSED:
        return actions.Refuse(
            call_id,
            outcomes.Outcome.NOT_RUN,
            outcomes.Reason.KEY_REFUSED,
        )
    return actions.Refuse(
        call_id,
        outcomes.Outcome.UNKNOWN,
        record.reason or outcomes.Reason.TARGET_LOST,
    )


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Open a new epoch when the current one ends; forget the oldest."""
    return []


_STATE_BY_OUTCOME: typing.Final = {
    outcomes.Outcome.RAN: keys.KeyState.RAN,
    outcomes.Outcome.NOT_RUN: keys.KeyState.REFUSED,
    outcomes.Outcome.UNKNOWN: keys.KeyState.UNKNOWN,
}


def _repeat(record: keys.KeyRecord) -> Admission:
    return Admission(join=record)


def _refuse(outcome: outcomes.Outcome, reason: outcomes.Reason) -> Admission:
    return Admission(refusal=(outcome, reason))


def _record(
    state: world.World,
    received: events.CallReceived,
    epoch: int,
    now_ms: clock.Millis,
) -> None:
    table = state.keys
    table.record_by_key[received.key] = keys.KeyRecord(
        key=received.key,
        epoch=epoch,
        call_id=received.call_id,
        state=keys.KeyState.RUNNING,
        recorded_at_ms=now_ms,
    )
    table.keys_by_epoch.setdefault(epoch, []).append(received.key)
    table.key_by_call_id[received.call_id] = received.key
