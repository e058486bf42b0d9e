"""Ends routed calls: relays an answer, or says what is known instead."""

from oleanderstair import clock
from oleanderstair.domain import actions, outcomes, world
from oleanderstair.domain.tables import calls, load_reports, routed


def relay_answer(
    state: world.World,
    call: routed.RoutedCall,
    attempt_id: int,
) -> list[actions.Action]:
    """Relay the answer of an attempt and cancel the call's others."""
    state.routed.call_by_id.pop(call.call_id, None)
    return [
        actions.Relay(call.call_id, attempt_id),
        *_cancel_attempts(state, call, but=attempt_id),
    ]


def relay_failure_or_refuse(
    state: world.World,
    call: routed.RoutedCall,
    reason: outcomes.Reason,
    retry_after_ms: clock.Millis = 0,
) -> list[actions.Action]:
    """Relay the failure that a target has answered with, else refuse."""
    if call.held_attempt_id:
        return relay_answer(state, call, call.held_attempt_id)
    return refuse_call(state, call, reason, retry_after_ms)


def refuse_call(
    state: world.World,
    call: routed.RoutedCall,
    reason: outcomes.Reason,
    retry_after_ms: clock.Millis = 0,
) -> list[actions.Action]:
    """End a call without an answer; unknown where it may have run."""
    state.routed.call_by_id.pop(call.call_id, None)
    outcome = outcomes.Outcome.NOT_RUN
    if call.may_have_run or call.attempts:
        outcome = outcomes.Outcome.UNKNOWN
    elif reason is outcomes.Reason.TARGET_LOST:
        reason = outcomes.Reason.TARGET_REFUSED
    return [
        actions.Refuse(call.call_id, outcome, reason, retry_after_ms),
        *_cancel_attempts(state, call),
    ]


def refuse_unadmitted(call_id: int, reason: outcomes.Reason) -> actions.Action:
    """Refuse what never became a call."""
    return actions.Refuse(call_id, outcomes.Outcome.NOT_RUN, reason)


def decrement_in_flight(state: world.World, ended: calls.Attempt) -> None:
    """Count an attempt that is no longer in flight at its target."""
    known = load_reports.load_of(state.loads, ended.target_id)
    load_reports.put_load(
        state.loads,
        known._replace(in_flight=max(known.in_flight - 1, 0)),
    )


def _cancel_attempts(
    state: world.World,
    call: routed.RoutedCall,
    but: int = 0,
) -> list[actions.Action]:
    cancelled: list[actions.Action] = []
    for attempt in call.attempts:
        if attempt.attempt_id != but:
            decrement_in_flight(state, attempt)
            cancelled.append(
                actions.CancelAttempt(call.call_id, attempt.attempt_id),
            )
    return cancelled
