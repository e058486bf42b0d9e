"""Sends queued calls to targets with free slots."""

from oleanderstair import clock
from oleanderstair.domain import (
    actions,
    answering,
    conditions,
    outcomes,
    pauses,
    queueing,
    ramps,
    routing,
    world,
)
from oleanderstair.domain.tables import calls


def enqueue(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Queue a call, then dispatch what can go."""
    service = call.received.service
    if not queueing.push(state, service, call.call_id):
        return answering.refuse(state, call, outcomes.Reason.OVERLOADED)
    return pump(state, service, now_ms)


def pump(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Dispatch queued calls of a service until no target is free."""
    sent: list[actions.Action] = []
    if pauses.is_stale(state, now_ms):
        return sent
    queue = state.calls.queue_by_service.get(service, [])
    while queue:
        call = state.calls.call_by_id[queue[0]]
        found = routing.candidates(state, call, now_ms)
        if not found:
            break
        queue.pop(0)
        found = ramps.prefer(state, call, found)
        choose = routing.CHOICE_BY_NAME[state.policy.choice]
        sent.append(dispatch(state, call, choose(state, found, now_ms), now_ms))
    return sent


def dispatch(
    state: world.World,
    call: calls.Call,
    target_id: str,
    now_ms: clock.Millis,
) -> actions.Action:
    """Record an attempt of a call at a target and send it."""
    attempt_id = state.calls.next_attempt_id
    state.calls.next_attempt_id += 1
    attempt = calls.Attempt(attempt_id, target_id, now_ms)
    state.calls.call_by_id[call.call_id] = call._replace(
        state=calls.CallState.ATTEMPTED,
        attempts=(*call.attempts, attempt),
        tried_target_ids=(*call.tried_target_ids, target_id),
    )
    conditions.on_dispatch(state, target_id)
    target = state.catalogue.in_force.target_by_id[target_id]
    budget_ms = call.received.deadline_ms - now_ms
    return actions.Dispatch(
        call_id=call.call_id,
        attempt_id=attempt_id,
        target_id=target_id,
        address=target.address,
        fresh=not call.idempotent,
        silence_ms=budget_ms,
        budget_ms=budget_ms,
    )
