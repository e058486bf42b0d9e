"""Takes calls in: checks, the key's home, then the entry queue."""

from oleanderstair import clock
from oleanderstair.domain import (
    actions,
    answering,
    dispatching,
    events,
    keys,
    membership,
    outcomes,
    queueing,
    rules,
    suspects,
    world,
)
from oleanderstair.domain.tables import calls
from oleanderstair.domain.tables import keys as key_rows


def on_call(
    state: world.World,
    event: events.CallReceived,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Refuse a call, forward it to its home, or queue and dispatch it."""
    refused = _check(state, event, now_ms)
    if refused is not None:
        return [
            actions.Refuse(event.call_id, outcomes.Outcome.NOT_RUN, refused),
        ]
    call = _open_call(state, event, now_ms)
    if event.key and not call.idempotent:
        return _on_keyed(state, call, now_ms)
    return _enqueue(state, call, now_ms)


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


def on_caller_left(
    state: world.World,
    event: events.CallerLeft,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Cancel an idempotent call; let a keyed one run for its resend."""
    call = state.calls.call_by_id.get(event.call_id)
    if call is None:
        return []
    state.calls.call_by_id[event.call_id] = call._replace(caller_left=True)
    if not call.idempotent:
        return []
    return [
        actions.CancelAttempt(call.call_id, attempt.attempt_id)
        for attempt in call.attempts
    ]


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Refuse calls whose deadline passed in the queue; send the others."""
    done: list[actions.Action] = []
    for call_id in queueing.expired(state, now_ms):
        call = state.calls.call_by_id[call_id]
        done.extend(answering.refuse(state, call, outcomes.Reason.DEADLINE))
    for service in state.calls.queue_by_service:
        done.extend(dispatching.pump(state, service, now_ms))
    return done


def _check(
    state: world.World,
    event: events.CallReceived,
    now_ms: clock.Millis,
) -> outcomes.Reason | None:
    own_refusal = membership.refusal(state, now_ms)
    if own_refusal is not None:
        return own_refusal
    if event.service not in state.catalogue.in_force.service_by_name:
        return outcomes.Reason.NO_SERVICE
    if event.deadline_ms <= now_ms:
        return outcomes.Reason.DEADLINE
    if suspects.is_refused(state, event.fingerprint, now_ms):
        return outcomes.Reason.CRASHES_TARGETS
    return None


def _open_call(
    state: world.World,
    event: events.CallReceived,
    now_ms: clock.Millis,
) -> calls.Call:
    service = state.catalogue.in_force.service_by_name[event.service]
    call = calls.Call(
        received=event,
        state=calls.CallState.QUEUED,
        idempotent=rules.is_idempotent(service, event),
        call_class=rules.call_class(service, event),
        received_at_ms=now_ms,
    )
    state.calls.call_by_id[event.call_id] = call
    return call


def _on_keyed(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    admitted = keys.admit(state, call.received, now_ms)
    if admitted.proceed:
        return _enqueue(state, call, now_ms)
    if admitted.forward_to:
        return [_forward(state, call, admitted.forward_to, now_ms)]
    if admitted.join is not None:
        return _join(state, call, admitted.join)
    state.calls.call_by_id.pop(call.call_id)
    assert admitted.refusal is not None  # noqa: S101 (one of four is set)
    return [actions.Refuse(call.call_id, *admitted.refusal)]


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


def _enqueue(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    if not queueing.push(state, call.received.service, call.call_id):
        return answering.refuse(state, call, outcomes.Reason.OVERLOADED)
    return dispatching.pump(state, call.received.service, now_ms)
