"""Brings keyed calls to their home and their answers back."""

from oleanderstair import clock
from oleanderstair.domain import (
    actions,
    dispatching,
    events,
    keys,
    outcomes,
    world,
)
from oleanderstair.domain.tables import calls
from oleanderstair.domain.tables import keys as key_rows


def on_keyed(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Run a keyed call if this is its home; else forward or answer it."""
    admitted = keys.admit(state, call.received, now_ms)
    if admitted.proceed:
        return dispatching.enqueue(state, call, now_ms)
    if admitted.forward_to:
        return [_forward(state, call, admitted.forward_to, now_ms)]
    if admitted.join is not None:
        return _join(state, call, admitted.join)
    state.calls.call_by_id.pop(call.call_id)
    assert admitted.refusal is not None  # noqa: S101 (one of four is set)
    return [actions.Refuse(call.call_id, *admitted.refusal)]


def on_home_reply(
    state: world.World,
    event: events.HomeReplied,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Pass the home's answer of a forwarded call on to the caller."""
    if state.calls.call_by_id.pop(event.call_id, None) is None:
        return []
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
    """Give up on homes that did not answer by the deadline."""
    late = [
        call_id
        for call_id, call in state.calls.call_by_id.items()
        if call.state is calls.CallState.FORWARDED
        and call.received.deadline_ms <= now_ms
    ]
    for late_id in late:
        state.calls.call_by_id.pop(late_id)
    return [
        actions.Refuse(
            call_id,
            outcomes.Outcome.UNKNOWN,
            outcomes.Reason.HOME_LOST,
        )
        for call_id in late
    ]


def _forward(
    state: world.World,
    call: calls.Call,
    home: str,
    now_ms: clock.Millis,
) -> actions.Action:
    peer = state.instances.peer_by_incarnation.get(home)
    if peer is None:
        state.calls.call_by_id.pop(call.call_id)
        return actions.Refuse(
            call.call_id,
            outcomes.Outcome.UNKNOWN,
            outcomes.Reason.HOME_LOST,
        )
    state.calls.call_by_id[call.call_id] = call._replace(
        state=calls.CallState.FORWARDED,
        home=home,
    )
    budget_ms = call.received.deadline_ms - now_ms
    return actions.ForwardHome(
        call.call_id,
        home,
        peer.peer_address,
        budget_ms,
    )


def _join(
    state: world.World,
    call: calls.Call,
    record: key_rows.KeyRecord,
) -> list[actions.Action]:
    if record.state is not key_rows.KeyState.RUNNING:
        return [keys.answer_repeat(state, call.call_id, record)]
    state.calls.call_by_id[call.call_id] = call._replace(
        state=calls.CallState.WAITING,
    )
    state.keys.record_by_key[record.key] = record._replace(
        waiting_call_ids=(*record.waiting_call_ids, call.call_id),
    )
    return []
