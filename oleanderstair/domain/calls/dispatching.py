"""Sends queued calls to targets with free slots."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, outcomes, world
from oleanderstair.domain.calls import answering, queueing
from oleanderstair.domain.configuration import pause_recovery
from oleanderstair.domain.targets import (
    choice_policies,
    conditions,
    service_loads,
    shares,
)
from oleanderstair.domain.tables import calls, services

_MIN_RETRY_AFTER_MS: typing.Final = 20

_SILENCE_LATENCY_RATIO: typing.Final = 2
"""The minimum timeout of an attempt, as a multiple of the high latency."""

_RETRY_RESERVE_RATIO: typing.Final = 3
"""The time reserved for a retry, as a multiple of the high latency."""

_MIN_ANSWERS_FOR_LONGEST: typing.Final = 1000
"""The minimum number of answers to rely on the longest latency of a service."""

_MIN_ANSWERS: typing.Final = 20
"""The minimum number of answers to rely on the high latency of a service.

The high latency is an upper percentile.
"""


def dispatch_or_queue(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Dispatch a call, queue it, or refuse it at once.

    A call is refused if it is not expected to be answered by its deadline,
    or if the queue is too long for its class. An interactive call may then
    evict another one, which is refused; see ``queueing``.
    """
    service = call.received.service
    load = services.load_of(state.services, service)
    if not queueing.queue_length(state, service):
        sent = _try_dispatch(state, call, now_ms)
        if sent is not None:
            return [sent]
    wait_ms = queueing.estimate_wait_ms(state, service)
    if now_ms + wait_ms + load.median_latency_ms > call.received.deadline_ms:
        return answering.refuse_call(
            state,
            call,
            outcomes.Reason.DEADLINE,
            wait_ms,
        )
    pushed = queueing.push_call(state, call, now_ms)
    if not pushed.queued:
        return _refuse_overloaded(state, call, wait_ms)
    done: list[actions.Action] = []
    if pushed.evicted_id is not None:
        evicted = state.calls.call_by_id[pushed.evicted_id]
        done.extend(_refuse_overloaded(state, evicted, wait_ms))
    done.extend(dispatch_queued(state, service, now_ms))
    return done


def dispatch_queued(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Dispatch queued calls of a service while targets have free slots.

    A call that can't be answered by its deadline any more is refused. While
    the state of this instance is stale, nothing is dispatched or refused.
    """
    done: list[actions.Action] = []
    if pause_recovery.is_state_stale(state, now_ms):
        return done
    call = queueing.take_next_call(state, service, now_ms)
    while call is not None:
        load = services.load_of(state.services, service)
        if now_ms + load.median_latency_ms > call.received.deadline_ms:
            done.extend(
                answering.refuse_call(state, call, outcomes.Reason.DEADLINE),
            )
        else:
            sent = _try_dispatch(state, call, now_ms)
            if sent is None:
                queueing.put_back_call(state, call, now_ms)
                return done
            done.append(sent)
        call = queueing.take_next_call(state, service, now_ms)
    return done


def dispatch_to_target(
    state: world.World,
    call: calls.Call,
    target_id: str,
    now_ms: clock.Millis,
) -> actions.Dispatch:
    """Record an attempt of a call at a target and return its dispatch."""
    attempt_id = state.calls.next_attempt_id
    state.calls.next_attempt_id += 1
    attempt = calls.Attempt(
        attempt_id,
        target_id,
        now_ms,
        is_hedge=bool(call.attempts),
        is_borrowed=shares.is_borrowed(state, call.received.service, target_id),
    )
    state.calls.call_by_id[call.call_id] = call._replace(
        state=calls.CallState.ATTEMPTED,
        attempts=(*call.attempts, attempt),
        tried_target_ids=(*call.tried_target_ids, target_id),
    )
    conditions.on_dispatch(state, target_id)
    service_loads.on_dispatch(state, call.received.service)
    target = state.catalogue.in_force.target_by_id[target_id]
    budget_ms = call.received.deadline_ms - now_ms
    return actions.Dispatch(
        call_id=call.call_id,
        attempt_id=attempt_id,
        target_id=target_id,
        address=target.address,
        fresh=not call.idempotent or bool(call.possible_run_count),
        silence_ms=_silence_timeout_ms(state, call, budget_ms),
        budget_ms=budget_ms,
    )


def _try_dispatch(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> actions.Action | None:
    """Dispatch a call; return None if no target may take it now."""
    if pause_recovery.is_state_stale(state, now_ms):
        return None
    target_id = choice_policies.choose_target(state, call, now_ms)
    if target_id is None:
        return None
    return dispatch_to_target(state, call, target_id, now_ms)


def _refuse_overloaded(
    state: world.World,
    call: calls.Call,
    wait_ms: clock.Millis,
) -> list[actions.Action]:
    return answering.refuse_call(
        state,
        call,
        outcomes.Reason.OVERLOADED,
        max(wait_ms, _MIN_RETRY_AFTER_MS),
    )


def _silence_timeout_ms(
    state: world.World,
    call: calls.Call,
    budget_ms: clock.Millis,
) -> clock.Millis:
    """Return the timeout after which an attempt ends as SILENT.

    It is the whole time budget, except for the first attempt of an idempotent
    call, where it leaves time for a retry if the budget is long enough. It is
    shorter once enough answers show how long the slowest calls of the service
    take.
    """
    load = services.load_of(state.services, call.received.service)
    if (
        not call.idempotent
        or call.possible_run_count
        or load.answered_count < _MIN_ANSWERS
    ):
        return budget_ms
    max_timeout_ms = budget_ms - load.high_latency_ms * _RETRY_RESERVE_RATIO
    if max_timeout_ms < load.high_latency_ms * _SILENCE_LATENCY_RATIO:
        return budget_ms
    if load.answered_count < _MIN_ANSWERS_FOR_LONGEST:
        return max_timeout_ms
    return min(
        max(load.longest_latency_ms, load.high_latency_ms)
        * _SILENCE_LATENCY_RATIO,
        max_timeout_ms,
    )
