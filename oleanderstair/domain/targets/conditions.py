"""Tracks the state of each target by the outcome of this instance's attempts.

Decides from that state whether a target may receive another call.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.configuration import pause_recovery
from oleanderstair.domain.targets import latency_quantiles, ramps
from oleanderstair.domain.tables import targets

_FULL_PAUSE_MS: typing.Final = 2
"""How long a target that shed a call gets no other call."""

_FAILURE_RATE_WEIGHT: typing.Final = 0.2
"""The weight of the newest attempt in the failure rate."""

_FAILURE_VERDICTS: typing.Final = frozenset(
    (events.Verdict.BROKEN, events.Verdict.NOT_SENT, events.Verdict.SILENT),
)


def may_receive(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether this instance may send a target one more call.

    False if the target is not in the catalogue, is leaving, ejected, full or
    reserved for a suspect call, or if this instance already has as many
    attempts in flight there as it may have. Only one is allowed at a target
    that has failed since its last served call and whose count of ejections is
    not 0; each served call lowers that count. Only one is also allowed at a
    target that has not answered since this process was paused.
    """
    target = state.catalogue.in_force.target_by_id.get(target_id)
    if target is None:
        return False
    condition = targets.condition_of(state.targets, target_id)
    if condition.leaving or now_ms < condition.ejected_until_ms:
        return False
    if now_ms < condition.full_until_ms:
        return False
    if target_id in state.suspects.call_id_by_reserved_target:
        return False
    allowed = ramps.max_in_flight(state, target, now_ms)
    on_trial = condition.ejections and condition.failures_in_row
    if on_trial or pause_recovery.is_target_unchecked(state, target_id):
        allowed = min(allowed, 1)
    return condition.in_flight < allowed


def is_leaving(state: world.World, target_id: str) -> bool:
    """Return whether a target is leaving or is not in the catalogue."""
    if target_id not in state.catalogue.in_force.target_by_id:
        return True
    return targets.condition_of(state.targets, target_id).leaving


def on_dispatch(state: world.World, target_id: str) -> None:
    """Increment the count of attempts in flight at a target."""
    condition = targets.condition_of(state.targets, target_id)
    targets.put_condition(
        state.targets, condition._replace(in_flight=condition.in_flight + 1)
    )


def decrement_in_flight(state: world.World, target_id: str) -> None:
    """Decrement the count of attempts in flight at a target."""
    condition = targets.condition_of(state.targets, target_id)
    targets.put_condition(
        state.targets,
        condition._replace(in_flight=max(condition.in_flight - 1, 0)),
    )


def on_attempt_ended(
    state: world.World,
    target_id: str,
    event: events.AttemptEnded,
    took_ms: clock.Millis,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Update a target's state by the outcome of an attempt."""
    decrement_in_flight(state, target_id)
    condition = targets.condition_of(state.targets, target_id)
    if is_failure(event):
        rate = condition.failure_rate
        condition = condition._replace(
            failures_in_row=condition.failures_in_row + 1,
            failure_rate=rate + _FAILURE_RATE_WEIGHT * (1 - rate),
        )
    elif event.verdict is events.Verdict.ANSWERED:
        condition = _apply_success(condition, took_ms, now_ms)
    elif event.verdict is events.Verdict.SHED:
        # Retry-After has a resolution of seconds; slots free up within ms.
        condition = condition._replace(full_until_ms=now_ms + _FULL_PAUSE_MS)
    targets.put_condition(state.targets, condition)
    return []


def on_attempt_overtaken(
    state: world.World,
    target_id: str,
    age_ms: clock.Millis,
    now_ms: clock.Millis,
) -> None:
    """Raise a target's latency after its attempt lost to a hedge.

    The attempt's age is a lower bound of the latency it would have had.
    """
    condition = targets.condition_of(state.targets, target_id)
    previous_ms = condition.latency_ms
    latency_ms = latency_quantiles.update_average(
        previous_ms, max(age_ms, previous_ms)
    )
    targets.put_condition(
        state.targets,
        condition._replace(latency_ms=latency_ms, latency_at_ms=now_ms),
    )


def is_failure(event: events.AttemptEnded) -> bool:
    """Return whether an attempt counts as a failure of its target.

    True for an answer with a server error status, however fast it came, and
    for an attempt that was broken, not sent or not answered.
    """
    if event.verdict is events.Verdict.ANSWERED:
        return event.status >= outcomes.MIN_ERROR_STATUS
    return event.verdict in _FAILURE_VERDICTS


def _apply_success(
    condition: targets.Condition,
    took_ms: clock.Millis,
    now_ms: clock.Millis,
) -> targets.Condition:
    """Return the state of a target updated with a served call."""
    return condition._replace(
        served=condition.served + 1,
        failures_in_row=0,
        failure_rate=condition.failure_rate * (1 - _FAILURE_RATE_WEIGHT),
        ejections=max(condition.ejections - 1, 0),
        latency_ms=latency_quantiles.update_average(
            condition.latency_ms, took_ms
        ),
        latency_at_ms=now_ms,
    )
