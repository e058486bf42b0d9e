"""Forwards keyed calls to the home of their key and relays the answers.

The home of a key is the incarnation of an instance that the key names; only
the home runs the call.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.calls import answering, keys, quarantine
from oleanderstair.domain.fleet import peer_liveness
from oleanderstair.domain.tables import calls
from oleanderstair.domain.tables import keys as key_rows

_PENDING_STATES: typing.Final = frozenset(
    (calls.CallState.FORWARDED, calls.CallState.WAITING),
)


def run_or_forward(
    state: world.World,
    call: calls.Call,
    bound_key: keys.BoundKey,
    refusal_reason: outcomes.Reason | None,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Run a keyed call if this is its home; else forward it.

    If the home already has a record of the key, the call is answered from
    that record. ``refusal_reason`` is the reason for which this instance
    would refuse the call without a key, or None. Only the home applies it,
    and records the key as refused, so that no resend runs later. Other
    instances can't exclude that the key has run.
    """
    if bound_key.home != state.identity.incarnation:
        return [_forward_to_home(state, call, bound_key.home, now_ms)]
    admitted = keys.admit_key(state, call.received, bound_key, now_ms)
    if admitted.may_run:
        if refusal_reason is not None:
            return answering.refuse_call(state, call, refusal_reason)
        return quarantine.queue_or_quarantine(state, call, now_ms)
    if admitted.existing is not None:
        return _answer_resend(state, call, admitted.existing)
    assert admitted.refusal is not None  # noqa: S101 (one of three is set)
    return [_refuse_call(state, call.call_id, *admitted.refusal)]


def on_home_reply(
    state: world.World,
    event: events.HomeReplied,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Relay the home's answer to a forwarded call to the caller."""
    call = state.calls.call_by_id.get(event.call_id)
    if call is None or not _is_expected_reply(call, event):
        return [actions.Count('peer-dropped', 'late-answer')]
    state.calls.call_by_id.pop(event.call_id)
    if event.reason is None:
        return [actions.RelayHome(event.call_id)]
    return [
        actions.Refuse(
            event.call_id,
            event.outcome,
            event.reason,
            event.retry_after_ms,
        ),
    ]


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Refuse pending calls whose home is lost or whose deadline passed.

    These are forwarded calls, and resends that wait at this home for the
    running call. The outcome is UNKNOWN, as the key may have run.
    """
    pending = [
        call
        for call in state.calls.call_by_id.values()
        if call.state in _PENDING_STATES
    ]
    done: list[actions.Action] = []
    for call in pending:
        reason = _pending_refusal_reason(state, call, now_ms)
        if reason is None:
            continue
        if call.state is calls.CallState.WAITING:
            keys.remove_waiting_resend(state, call.received.key, call.call_id)
        done.append(
            _refuse_call(state, call.call_id, outcomes.Outcome.UNKNOWN, reason),
        )
    return done


def _is_expected_reply(call: calls.Call, event: events.HomeReplied) -> bool:
    forwarded = call.state is calls.CallState.FORWARDED
    return forwarded and call.home == event.home


def _pending_refusal_reason(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> outcomes.Reason | None:
    """Return why a pending call is to be refused, None if it is not."""
    deadline_passed = call.received.deadline_ms <= now_ms
    if call.state is calls.CallState.WAITING:
        return outcomes.Reason.DEADLINE if deadline_passed else None
    home = state.instances.peer_by_incarnation.get(call.home)
    if (
        deadline_passed
        or home is None
        or not peer_liveness.is_live(state, home, now_ms)
    ):
        return outcomes.Reason.HOME_LOST
    return None


def _forward_to_home(
    state: world.World,
    call: calls.Call,
    home: str,
    now_ms: clock.Millis,
) -> actions.Action:
    """Forward a call to its home, or refuse it as UNKNOWN.

    It is refused if a peer has forwarded it already, if its deadline has
    passed, or if the home is not a known peer.
    """
    budget_ms = call.received.deadline_ms - now_ms
    peer = state.instances.peer_by_incarnation.get(home)
    if call.received.from_peer or budget_ms <= 0 or peer is None:
        return _refuse_call(
            state,
            call.call_id,
            outcomes.Outcome.UNKNOWN,
            outcomes.Reason.HOME_LOST,
        )
    state.calls.call_by_id[call.call_id] = call._replace(
        state=calls.CallState.FORWARDED,
        home=home,
    )
    return actions.ForwardHome(
        call.call_id,
        home,
        peer.peer_address,
        budget_ms,
    )


def _answer_resend(
    state: world.World,
    call: calls.Call,
    record: key_rows.KeyRecord,
) -> list[actions.Action]:
    """Answer a resend from its key's record, or let it wait for the answer.

    It is refused if too many resends of the key are waiting.
    """
    if record.state is not key_rows.KeyState.RUNNING:
        return [keys.answer_resend(state, call.call_id, record)]
    if not keys.join_running_call(state, record, call.call_id):
        return [
            _refuse_call(
                state,
                call.call_id,
                outcomes.Outcome.UNKNOWN,
                outcomes.Reason.OVERLOADED,
            ),
        ]
    state.calls.call_by_id[call.call_id] = call._replace(
        state=calls.CallState.WAITING,
    )
    return []


def _refuse_call(
    state: world.World,
    call_id: int,
    outcome: outcomes.Outcome,
    reason: outcomes.Reason,
) -> actions.Action:
    state.calls.call_by_id.pop(call_id, None)
    return actions.Refuse(call_id, outcome, reason)
