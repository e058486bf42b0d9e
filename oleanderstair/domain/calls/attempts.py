"""Handles the end of an attempt: relays, retries or refuses the call."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.calls import (
    answering,
    dispatching,
    quarantine,
    queueing,
    retries,
    suspects,
)
from oleanderstair.domain.configuration import pause_recovery
from oleanderstair.domain.targets import (
    conditions,
    draining,
    ejection,
    occupancy,
    ramps,
    service_loads,
)
from oleanderstair.domain.tables import calls

_ATTEMPT_OBSERVERS: typing.Final = (
    draining.on_attempt_ended,
    pause_recovery.on_attempt_ended,
    ramps.on_attempt_ended,
    ejection.on_attempt_ended,
    occupancy.on_attempt_ended,
)


def on_attempt_ended(
    state: world.World,
    event: events.AttemptEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Update the target's tables, then relay, retry or refuse the call."""
    call = state.calls.call_by_id.get(event.call_id)
    if call is None:
        return []
    attempt = calls.find_attempt(call.attempts, event.attempt_id)
    if attempt is None:
        return []
    elapsed_ms = now_ms - attempt.started_at_ms
    done = conditions.on_attempt_ended(
        state,
        attempt.target_id,
        event,
        elapsed_ms,
        now_ms,
    )
    service_loads.on_attempt_ended(state, call, attempt, event, elapsed_ms)
    for observe in _ATTEMPT_OBSERVERS:
        done.extend(observe(state, event, attempt.target_id, now_ms))
    call = _record_attempt_end(state, call, attempt, event)
    done.extend(_update_suspects(state, call, attempt.target_id, event, now_ms))
    if event.verdict is events.Verdict.SILENT:
        done.append(actions.CloseIdle(attempt.target_id))
    return [
        *done,
        *_relay_retry_or_refuse(state, call, event, now_ms),
        *quarantine.dispatch_quarantined(state, now_ms),
        *dispatching.dispatch_queued(state, call.received.service, now_ms),
    ]


def _update_suspects(
    state: world.World,
    call: calls.Call,
    target_id: str,
    event: events.AttemptEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Suspect a request whose target crashed; clear one that was answered.

    A leaving target ends its connections when it exits, which is no crash.
    """
    done: list[actions.Action] = []
    is_crash = event.crashed and event.verdict is events.Verdict.BROKEN
    if is_crash and not conditions.is_leaving(state, target_id):
        done = suspects.record_crash(state, call, target_id, now_ms)
    elif event.verdict is events.Verdict.ANSWERED:
        suspects.clear_suspect(state, call.received.fingerprint, now_ms)
    quarantine.on_attempt_ended(state, call, target_id)
    return done


def _record_attempt_end(
    state: world.World,
    call: calls.Call,
    ended: calls.Attempt,
    event: events.AttemptEnded,
) -> calls.Call:
    """Store the call without the ended attempt; return it."""
    may_have_run = event.verdict not in events.PROVEN_NOT_RUN
    call = call._replace(
        attempts=tuple(
            attempt
            for attempt in call.attempts
            if attempt.attempt_id != ended.attempt_id
        ),
        last_verdict=event.verdict,
        may_have_run=call.may_have_run or may_have_run,
        not_run_count=call.not_run_count + (not may_have_run),
        possible_run_count=call.possible_run_count + may_have_run,
    )
    state.calls.call_by_id[call.call_id] = call
    return call


def _relay_retry_or_refuse(
    state: world.World,
    call: calls.Call,
    event: events.AttemptEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    if event.verdict is events.Verdict.ANSWERED:
        _record_cancelled_attempts(state, call, now_ms)
        return answering.relay_answer(
            state,
            call,
            event.attempt_id,
            event.answer_bytes,
        )
    if call.attempts:
        return []
    # Only the instance next to a failure retries. Retries at each level of
    # nested calls would multiply.
    if not event.passed_on and retries.may_retry(state, call, now_ms):
        call = retries.prepare_retry(state, call, now_ms)
        if suspects.is_suspect(state, call.received.fingerprint):
            return quarantine.quarantine_call(state, call, now_ms)
        state.calls.call_by_id[call.call_id] = call
        queueing.put_back_call(state, call, now_ms)
        return []
    reason = outcomes.Reason.TARGET_REFUSED
    if suspects.is_refused(state, call.received.fingerprint, now_ms):
        reason = outcomes.Reason.CRASHES_TARGETS
    elif call.may_have_run:
        reason = outcomes.Reason.TARGET_LOST
    return answering.refuse_call(state, call, reason, event.retry_after_ms)


def _record_cancelled_attempts(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> None:
    """Record whether the first attempt or the hedge was answered first.

    If it was the hedge, the age of the first attempt is recorded as a lower
    bound of its target's latency.
    """
    for cancelled in call.attempts:
        service_loads.on_hedge_ended(
            state,
            call.received.service,
            won=not cancelled.is_hedge,
        )
        if not cancelled.is_hedge:
            age_ms = now_ms - cancelled.started_at_ms
            conditions.on_attempt_overtaken(
                state, cancelled.target_id, age_ms, now_ms
            )
