"""Ends calls: relays an answer or refuses, and records the outcome of a key."""

from oleanderstair import clock
from oleanderstair.domain import actions, outcomes, world
from oleanderstair.domain.calls import keys
from oleanderstair.domain.targets import conditions, service_loads
from oleanderstair.domain.tables import calls


def relay_answer(
    state: world.World,
    call: calls.Call,
    attempt_id: int,
    answer_bytes: int = 0,
) -> list[actions.Action]:
    """Relay the answer of an attempt and cancel the call's other attempts."""
    cancelled = [
        _cancel_attempt(state, call, attempt)
        for attempt in call.attempts
        if attempt.attempt_id != attempt_id
    ]
    state.calls.call_by_id.pop(call.call_id, None)
    recorded = call.call_id in state.keys.key_by_call_id
    return [
        actions.Relay(call.call_id, attempt_id, record=recorded),
        *cancelled,
        *keys.settle_key(
            state,
            call.call_id,
            outcomes.Outcome.RAN,
            None,
            answer_bytes,
        ),
    ]


def refuse_call(
    state: world.World,
    call: calls.Call,
    reason: outcomes.Reason,
    retry_after_ms: clock.Millis = 0,
) -> list[actions.Action]:
    """End a call without an answer of a target.

    The outcome is UNKNOWN if an attempt may have run, else NOT_RUN.
    """
    outcome = outcomes.Outcome.NOT_RUN
    if call.may_have_run:
        outcome = outcomes.Outcome.UNKNOWN
    state.calls.call_by_id.pop(call.call_id, None)
    return [
        actions.Refuse(call.call_id, outcome, reason, retry_after_ms),
        *keys.settle_key(state, call.call_id, outcome, reason),
    ]


def _cancel_attempt(
    state: world.World,
    call: calls.Call,
    attempt: calls.Attempt,
) -> actions.Action:
    """Cancel an attempt and subtract it from the attempts in flight.

    This is done here since the call is removed by the time of the attempt's
    AttemptEnded event, which is then ignored.
    """
    conditions.decrement_in_flight(state, attempt.target_id)
    service_loads.decrement_in_flight(state, call.received.service)
    return actions.CancelAttempt(call.call_id, attempt.attempt_id)
