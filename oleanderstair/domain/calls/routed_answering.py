"""Ends routed calls: relays an answer or refuses, and cancels attempts."""

from oleanderstair import clock
from oleanderstair.domain import actions, messages, outcomes, world
from oleanderstair.domain.tables import calls, load_reports, routed


def relay_answer(
    state: world.World,
    call: routed.RoutedCall,
    attempt_id: int,
) -> list[actions.Action]:
    """Relay the answer of an attempt and cancel the call's other attempts."""
    state.routed.call_by_id.pop(call.call_id, None)
    return [
        actions.Relay(call.call_id, attempt_id),
        *_cancel_attempts(state, call, kept_attempt_id=attempt_id),
    ]


def relay_failure_or_refuse(
    state: world.World,
    call: routed.RoutedCall,
    reason: outcomes.Reason,
    retry_after_ms: clock.Millis = 0,
) -> list[actions.Action]:
    """Relay the last error response of a target, or refuse if there is none."""
    if call.fallback_attempt_id:
        return relay_answer(state, call, call.fallback_attempt_id)
    return refuse_call(state, call, reason, retry_after_ms)


def refuse_call(
    state: world.World,
    call: routed.RoutedCall,
    reason: outcomes.Reason,
    retry_after_ms: clock.Millis = 0,
) -> list[actions.Action]:
    """End a call without an answer of a target.

    The outcome is UNKNOWN if the call may have run or may still run, else
    NOT_RUN. With NOT_RUN, the reason TARGET_REFUSED replaces TARGET_LOST.
    """
    state.routed.call_by_id.pop(call.call_id, None)
    outcome = outcomes.Outcome.NOT_RUN
    if call.may_run:
        outcome = outcomes.Outcome.UNKNOWN
    elif reason is outcomes.Reason.TARGET_LOST:
        reason = outcomes.Reason.TARGET_REFUSED
    return [
        actions.Refuse(call.call_id, outcome, reason, retry_after_ms),
        *_cancel_attempts(state, call),
        *_cancel_forward(state, call),
    ]


def refuse_unadmitted(call_id: int, reason: outcomes.Reason) -> actions.Action:
    """Refuse a request that was not admitted to the table of calls."""
    return actions.Refuse(call_id, outcomes.Outcome.NOT_RUN, reason)


def decrement_in_flight(state: world.World, ended: calls.Attempt) -> None:
    """Subtract an ended attempt from the attempts in flight at its target."""
    load = load_reports.load_of(state.loads, ended.target_id)
    load_reports.put_load(
        state.loads,
        load._replace(in_flight=max(load.in_flight - 1, 0)),
    )


def _cancel_forward(
    state: world.World, call: routed.RoutedCall
) -> list[actions.Action]:
    """Tell the peer that holds a forwarded call that it has ended here."""
    row = state.members.member_by_incarnation.get(call.forwarded_to)
    if row is None:
        return []
    cancelled = messages.CallCancelled(call.call_id)
    return [actions.SendPeer(row.incarnation, row.peer_address, cancelled)]


def _cancel_attempts(
    state: world.World,
    call: routed.RoutedCall,
    kept_attempt_id: int = 0,
) -> list[actions.Action]:
    cancelled: list[actions.Action] = []
    for attempt in call.attempts:
        if attempt.attempt_id != kept_attempt_id:
            decrement_in_flight(state, attempt)
            cancelled.append(
                actions.CancelAttempt(call.call_id, attempt.attempt_id),
            )
    return cancelled
