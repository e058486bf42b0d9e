"""Carries a call on a route: admission, choice, attempts and its end."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.configuration import routing
from oleanderstair.domain.tables import calls, load_reports, registry, routed
from oleanderstair.domain.targets import sampling


def on_call(
    state: world.World,
    event: events.CallReceived,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Refuse a request, or begin to choose a target for it."""
    in_force = state.routes.in_force
    if in_force is None or not state.registry.revision:
        return [_not_run(event.call_id, outcomes.Reason.UNCONFIRMED)]
    route = routing.match(in_force, event.host, event.path)
    if route is None:
        return [_not_run(event.call_id, outcomes.Reason.NO_ROUTE)]
    if event.deadline_ms <= now_ms:
        return [_not_run(event.call_id, outcomes.Reason.DEADLINE)]
    call = routed.RoutedCall(
        received=event,
        route=route,
        service=routing.pick_service(state, route),
        received_at_ms=now_ms,
        due_at_ms=min(event.deadline_ms, now_ms + route.timeout_ms),
    )
    return [
        actions.Schedule(
            events.CallDue(call.call_id),
            call.due_at_ms - now_ms,
        ),
        *_sample(state, call, now_ms),
    ]


def on_load_read(
    state: world.World,
    event: events.LoadRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send the calls that waited for this report alone."""
    done: list[actions.Action] = []
    for call in tuple(state.routed.call_by_id.values()):
        if event.target_id not in call.awaited:
            continue
        call = call._replace(awaited=call.awaited - {event.target_id})
        state.routed.call_by_id[call.call_id] = call
        if not call.awaited and call.stage is routed.Stage.SAMPLING:
            done.extend(_send(state, call, now_ms))
    return done


def on_sample_due(
    state: world.World,
    event: events.SampleDue,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send a call by the reports that came in time."""
    call = state.routed.call_by_id.get(event.call_id)
    if call is None or call.stage is not routed.Stage.SAMPLING:
        return []
    if call.round != event.round:
        return []
    return _send(state, call, now_ms)


def on_call_due(
    state: world.World,
    event: events.CallDue,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """End a call whose time is over."""
    call = state.routed.call_by_id.get(event.call_id)
    if call is None:
        return []
    if call.may_have_run or call.attempts:
        return _end(state, call, outcomes.Reason.TIMEOUT)
    return _end(state, call, outcomes.Reason.OVERLOADED)


def on_caller_left(
    state: world.World,
    event: events.CallerLeft,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """End a call that nobody waits for; its targets stop working on it."""
    call = state.routed.call_by_id.get(event.call_id)
    if call is None:
        return []
    return _end(state, call, outcomes.Reason.TIMEOUT)


def on_attempt_ended(
    state: world.World,
    event: events.AttemptEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Relay the answer, try another target, or end the call."""
    call = state.routed.call_by_id.get(event.call_id)
    if call is None:
        return []
    ended = _find(call, event.attempt_id)
    if ended is None:
        return []
    _learn(state, ended, event, now_ms)
    if event.verdict is events.Verdict.ANSWERED:
        state.routed.call_by_id.pop(call.call_id)
        return [
            actions.Relay(call.call_id, event.attempt_id),
            *_cancel(state, call, but=event.attempt_id),
        ]
    ran = event.verdict not in events.PROVEN_NOT_RUN
    call = call._replace(
        attempts=tuple(other for other in call.attempts if other is not ended),
        may_have_run=call.may_have_run or ran,
    )
    state.routed.call_by_id[call.call_id] = call
    if call.attempts:
        return []
    if _may_go_on(call):
        return _sample(state, call, now_ms)
    return _end(state, call, outcomes.Reason.TARGET_LOST)


def _sample(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    drawn = sampling.draw(state, call.service, call.tried_target_ids, now_ms)
    call = call._replace(
        stage=routed.Stage.SAMPLING,
        sample=drawn.target_ids,
        awaited=drawn.awaited,
        round=call.round + 1,
    )
    state.routed.call_by_id[call.call_id] = call
    if not drawn.target_ids:
        return _end(state, call, outcomes.Reason.NO_TARGET)
    if not drawn.awaited:
        return _send(state, call, now_ms)
    due = events.SampleDue(call.call_id, call.round)
    return [*drawn.reads, actions.Schedule(due, sampling.BOUND_MS)]


def _send(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    known = state.registry.entry_by_id
    target_id = sampling.choose(
        state,
        (found for found in call.sample if found in known),
    )
    if target_id is None:
        return _end(state, call, outcomes.Reason.NO_TARGET)
    return [_dispatch(state, call, known[target_id], now_ms)]


def _dispatch(
    state: world.World,
    call: routed.RoutedCall,
    entry: registry.Entry,
    now_ms: clock.Millis,
) -> actions.Action:
    attempt_id = state.routed.next_attempt_id
    state.routed.next_attempt_id += 1
    attempt = calls.Attempt(attempt_id, entry.target_id, now_ms)
    state.routed.call_by_id[call.call_id] = call._replace(
        stage=routed.Stage.SENT,
        attempts=(*call.attempts, attempt),
        tried_target_ids=(*call.tried_target_ids, entry.target_id),
        sends=call.sends + 1,
    )
    known = load_reports.load_of(state.loads, entry.target_id)
    load_reports.put_load(
        state.loads,
        known._replace(
            sent_since=known.sent_since + 1,
            in_flight=known.in_flight + 1,
        ),
    )
    budget_ms = call.received.deadline_ms - now_ms
    return actions.Dispatch(
        call_id=call.call_id,
        attempt_id=attempt_id,
        target_id=entry.target_id,
        address=entry.address,
        fresh=not call.route.idempotent,
        silence_ms=budget_ms,
        budget_ms=budget_ms,
    )


def _learn(
    state: world.World,
    ended: calls.Attempt,
    event: events.AttemptEnded,
    now_ms: clock.Millis,
) -> None:
    _release(state, ended)
    if event.load is not None:
        sampling.keep(state, ended.target_id, event.load, now_ms)


def _release(state: world.World, ended: calls.Attempt) -> None:
    known = load_reports.load_of(state.loads, ended.target_id)
    load_reports.put_load(
        state.loads,
        known._replace(in_flight=max(known.in_flight - 1, 0)),
    )


def _may_go_on(call: routed.RoutedCall) -> bool:
    if call.sends >= call.route.max_attempts:
        return False
    return call.route.idempotent or not call.may_have_run


def _end(
    state: world.World,
    call: routed.RoutedCall,
    reason: outcomes.Reason,
) -> list[actions.Action]:
    """End a call without an answer; unknown where it may have run."""
    state.routed.call_by_id.pop(call.call_id, None)
    outcome = outcomes.Outcome.NOT_RUN
    if call.may_have_run or call.attempts:
        outcome = outcomes.Outcome.UNKNOWN
    elif reason is outcomes.Reason.TARGET_LOST:
        reason = outcomes.Reason.TARGET_REFUSED
    return [
        actions.Refuse(call.call_id, outcome, reason),
        *_cancel(state, call),
    ]


def _cancel(
    state: world.World,
    call: routed.RoutedCall,
    but: int = 0,
) -> list[actions.Action]:
    cancelled: list[actions.Action] = []
    for attempt in call.attempts:
        if attempt.attempt_id != but:
            _release(state, attempt)
            cancelled.append(
                actions.CancelAttempt(call.call_id, attempt.attempt_id),
            )
    return cancelled


def _find(
    call: routed.RoutedCall,
    attempt_id: int,
) -> calls.Attempt | None:
    for attempt in call.attempts:
        if attempt.attempt_id == attempt_id:
            return attempt
    return None


def _not_run(call_id: int, reason: outcomes.Reason) -> actions.Action:
    return actions.Refuse(call_id, outcomes.Outcome.NOT_RUN, reason)
