"""Which targets may receive new work, by the evidence of our own calls."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.configuration import pauses
from oleanderstair.domain.targets import latencies, ramps
from oleanderstair.domain.tables import targets

_FULL_MS: typing.Final = 2
_RATE_WEIGHT: typing.Final = 0.2
_FAILURES: typing.Final = frozenset(
    (events.Verdict.BROKEN, events.Verdict.NOT_SENT, events.Verdict.SILENT),
)


def may_receive(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a target may receive one more call from here."""
    target = state.catalogue.in_force.target_by_id.get(target_id)
    if target is None:
        return False
    condition = targets.condition_of(state.targets, target_id)
    if condition.leaving or now_ms < condition.ejected_until_ms:
        return False
    if now_ms < condition.full_until_ms:
        return False
    if target_id in state.suspects.call_id_by_target:
        return False
    allowed = ramps.allowance(state, target, now_ms)
    on_trial = condition.ejections and condition.failures_in_row
    if on_trial or pauses.is_unchecked(state, target_id):
        allowed = min(allowed, 1)
    return condition.in_flight < allowed


def on_dispatch(state: world.World, target_id: str) -> None:
    """Count an attempt in flight."""
    condition = targets.condition_of(state.targets, target_id)
    targets.put_condition(
        state.targets, condition._replace(in_flight=condition.in_flight + 1)
    )


def on_released(state: world.World, target_id: str) -> None:
    """Count an attempt that is no longer in flight."""
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
    """Learn from how an attempt at a target ended."""
    on_released(state, target_id)
    condition = targets.condition_of(state.targets, target_id)
    if is_failure(event):
        rate = condition.failure_rate
        condition = condition._replace(
            failures_in_row=condition.failures_in_row + 1,
            failure_rate=rate + _RATE_WEIGHT * (1 - rate),
        )
    elif event.verdict is events.Verdict.ANSWERED:
        condition = _served(condition, took_ms, now_ms)
    elif event.verdict is events.Verdict.SHED:
        # Retry-After counts seconds, but slots come free within ms.
        condition = condition._replace(full_until_ms=now_ms + _FULL_MS)
    targets.put_condition(state.targets, condition)
    return []


def on_outrun(
    state: world.World,
    target_id: str,
    age_ms: clock.Millis,
    now_ms: clock.Millis,
) -> None:
    """Learn that an attempt was overtaken at its age by its hedge."""
    condition = targets.condition_of(state.targets, target_id)
    known_ms = condition.latency_ms
    latency_ms = latencies.follow(known_ms, max(age_ms, known_ms))
    targets.put_condition(
        state.targets,
        condition._replace(latency_ms=latency_ms, latency_at_ms=now_ms),
    )


def is_failure(event: events.AttemptEnded) -> bool:
    """Return whether an attempt speaks against its target.

    A server error counts however fast it came.
    """
    if event.verdict is events.Verdict.ANSWERED:
        return event.status >= outcomes.FIRST_FAILURE
    return event.verdict in _FAILURES


def _served(
    condition: targets.Condition,
    took_ms: clock.Millis,
    now_ms: clock.Millis,
) -> targets.Condition:
    return condition._replace(
        served=condition.served + 1,
        failures_in_row=0,
        failure_rate=condition.failure_rate * (1 - _RATE_WEIGHT),
        ejections=max(condition.ejections - 1, 0),
        latency_ms=latencies.follow(condition.latency_ms, took_ms),
        latency_at_ms=now_ms,
    )
