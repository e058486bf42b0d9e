"""Admits calls on routes, and handles their timeouts and ended attempts."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.admission import decide, pressure
from oleanderstair.domain.calls import (
    adaptive_hedges,
    attempt_feedback,
    caller_wait,
    crashing_requests,
    retry_budget,
    routed_answering,
    routed_forwarding,
    routed_queueing,
    routed_retries,
)
from oleanderstair.domain.configuration import routing
from oleanderstair.domain.fleet import grace_period_stop, readiness
from oleanderstair.domain.tables import calls, routed, routes
from oleanderstair.domain.targets import (
    availability,
    evacuations,
    locality,
    rate_limits,
    reachability,
    sampling,
    slow_start_limits,
)


def on_call(
    state: world.World,
    event: events.CallReceived,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Refuse a request, or admit it and start to choose a target for it."""
    in_force = state.routes.in_force
    if in_force is None or not readiness.has_store_state(state):
        reason = _unready_reason(state)
        return [routed_answering.refuse_unadmitted(event.call_id, reason)]
    peer_refusal = routed_forwarding.refusal_of_peer_call(state, event)
    if peer_refusal is not None:
        return [routed_answering.refuse_unadmitted(event.call_id, peer_refusal)]
    route = routing.find_route(in_force, event.host, event.path)
    if route is None:
        return [
            routed_answering.refuse_unadmitted(
                event.call_id, outcomes.Reason.NO_ROUTE
            )
        ]
    if event.deadline_ms <= now_ms:
        return [
            routed_answering.refuse_unadmitted(
                event.call_id, outcomes.Reason.DEADLINE
            )
        ]
    if crashing_requests.is_refused(state, event.fingerprint, now_ms):
        return [
            routed_answering.refuse_unadmitted(
                event.call_id, outcomes.Reason.SUSPECTED
            )
        ]
    due_at_ms = min(event.deadline_ms, now_ms + route.timeout_ms)
    if grace_period_stop.is_call_refused(state, due_at_ms, now_ms):
        return [
            actions.Refuse(
                event.call_id,
                outcomes.Outcome.NOT_RUN,
                outcomes.Reason.STOPPING,
                grace_period_stop.RETRY_AFTER_MS,
            ),
        ]
    return _admit_or_reject(state, event, route, now_ms)


def _admit_or_reject(
    state: world.World,
    event: events.CallReceived,
    route: routes.Route,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Reject a call while its rank is not admitted, or start it."""
    left_ms = event.deadline_ms - now_ms
    arrival = decide.Arrival(
        event,
        route,
        _service_of(state, route, event),
        caller_wait.min_waited_ms(state, route.name, left_ms),
    )
    if not event.from_peer:
        caller_wait.record_time_left(
            state, route.name, arrival.service, left_ms, now_ms
        )
    rejection = decide.reject_or_admit(state, arrival, now_ms)
    if rejection:
        return rejection
    call = routed.RoutedCall(
        received=event,
        route=_limit_attempts(route, event),
        service=arrival.service,
        received_at_ms=now_ms,
        due_at_ms=min(event.deadline_ms, now_ms + route.timeout_ms),
        caller_waited_ms=arrival.caller_waited_ms,
    )
    pressure.record_call(state, call.service, now_ms)
    if not event.from_peer:
        # The peer counts the calls that it forwards.
        retry_budget.count_call(state, call.service, now_ms)
        adaptive_hedges.count_call(state, call, now_ms)
    due = events.CallDue(call.call_id)
    return [
        actions.Schedule(due, call.due_at_ms - now_ms),
        *_start_call(state, call, now_ms),
    ]


def _unready_reason(state: world.World) -> outcomes.Reason:
    """Return why an instance without routes or targets refuses calls."""
    if state.routes.in_force is None and state.routes.refused is not None:
        return outcomes.Reason.CONFIGURATION_REFUSED
    return outcomes.Reason.UNCONFIRMED


def _limit_attempts(
    route: routes.Route, event: events.CallReceived
) -> routes.Route:
    """Return the route with the attempts that a forwarding peer has left."""
    if not event.max_attempts:
        return route
    return route._replace(
        max_attempts=min(route.max_attempts, event.max_attempts)
    )


def _service_of(
    state: world.World, route: routes.Route, event: events.CallReceived
) -> str:
    """Return the service that a forwarding peer has picked, or pick one."""
    if any(part.service == event.service for part in route.parts):
        return event.service
    return routing.pick_service(state, route)


def _start_call(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Forward a call if no target is reached, or choose a target for it.

    It is refused if all targets of its service are evacuated, as no instance
    may send it to them.
    """
    if locality.is_service_closed(state, call.service):
        return [
            actions.Count('evacuation-refusals', f'service={call.service}'),
            *routed_answering.relay_failure_or_refuse(
                state,
                call,
                outcomes.Reason.NO_TARGET,
                evacuations.retry_after_ms(
                    state, call.received.deadline_ms - now_ms
                ),
            ),
        ]
    if routed_forwarding.should_forward(state, call):
        forwards = routed_forwarding.forward_call(state, call, now_ms)
        if forwards:
            return forwards
    return routed_queueing.dispatch_or_queue(state, call, now_ms)


def on_call_due(
    state: world.World,
    event: events.CallDue,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """End a call whose deadline or route timeout has passed."""
    call = state.routed.call_by_id.get(event.call_id)
    if call is None:
        return []
    if call.may_run:
        slow_start_limits.record_overdue(state, call.attempts, now_ms)
        adaptive_hedges.record_unanswered(state, call, now_ms)
        return [
            *reachability.record_overdue(state, call, now_ms),
            *routed_answering.relay_failure_or_refuse(
                state, call, outcomes.Reason.TIMEOUT
            ),
        ]
    return routed_answering.refuse_call(state, call, outcomes.Reason.OVERLOADED)


def on_caller_left(
    state: world.World,
    event: events.CallerLeft,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """End a call whose caller closed its connection; cancel its attempts."""
    call = state.routed.call_by_id.get(event.call_id)
    if call is None:
        return []
    return routed_answering.refuse_call(state, call, outcomes.Reason.TIMEOUT)


def on_attempt_ended(
    state: world.World,
    event: events.AttemptEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Relay the answer, try another target, or refuse the call.

    The load report and the result of the attempt are recorded first. Queued
    calls are then dispatched to the target if it has a free slot.
    """
    call = state.routed.call_by_id.get(event.call_id)
    if call is None:
        return []
    ended = calls.find_attempt(call.attempts, event.attempt_id)
    if ended is None:
        return []
    routed_answering.decrement_in_flight(state, ended)
    if event.load is not None:
        sampling.store_report(state, ended.target_id, event.load, now_ms)
    if attempt_feedback.is_refusal_by_reset(state, ended, event, now_ms):
        # A full target refuses by a reset, which is no sign of a crash.
        event = event._replace(crashed=False)
    attempt_feedback.record_attempt(state, call, ended, event, now_ms)
    return [
        *reachability.record_attempt(state, ended, event, now_ms),
        *crashing_requests.record_attempt(state, call, ended, event, now_ms),
        *rate_limits.record_answer(state, ended, event, now_ms),
        *slow_start_limits.record_attempt(state, ended, event, now_ms),
        *_relay_retry_or_refuse(state, call, ended, event, now_ms),
        *routed_queueing.dispatch_queued(state, ended.target_id, now_ms),
    ]


def _relay_retry_or_refuse(
    state: world.World,
    call: routed.RoutedCall,
    ended: calls.Attempt,
    event: events.AttemptEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    if routed_retries.is_final_answer(call, event):
        return [
            *adaptive_hedges.count_result(state, call, ended),
            *routed_answering.relay_answer(state, call, event.attempt_id),
        ]
    call = routed_retries.remove_attempt(call, ended, event)
    state.routed.call_by_id[call.call_id] = call
    if call.attempts:
        return []
    if now_ms >= call.due_at_ms:
        # The timers of an attempt and of its call are due together.
        return on_call_due(state, events.CallDue(call.call_id), now_ms)
    if _may_retry(state, call, now_ms):
        return _start_call(state, call, now_ms)
    return routed_answering.relay_failure_or_refuse(
        state,
        call,
        outcomes.Reason.TARGET_LOST,
        availability.retry_after_ms(state, call.service, now_ms)
        or routed_retries.retry_after_ms(state, event),
    )


def _may_retry(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> bool:
    if crashing_requests.is_refused(state, call.received.fingerprint, now_ms):
        return False
    return routed_retries.may_retry(state, call, now_ms)
