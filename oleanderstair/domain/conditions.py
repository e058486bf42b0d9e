"""Which targets may receive new work, and the evidence of our own calls."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import targets

_LATENCY_WEIGHT: typing.Final = 0.2


def of(state: world.World, target_id: str) -> targets.Condition:
    """Return what is known of a target."""
    known = state.targets.condition_by_id.get(target_id)
    return known or targets.Condition(target_id)


def put(state: world.World, condition: targets.Condition) -> None:
    """Store the new condition of a target."""
    state.targets.condition_by_id[condition.target_id] = condition


def may_receive(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a target may receive one more call from here."""
    target = state.catalogue.in_force.target_by_id.get(target_id)
    if target is None:
        return False
    condition = of(state, target_id)
    if condition.leaving or now_ms < condition.ejected_until_ms:
        return False
    return (
        now_ms >= condition.full_until_ms and condition.in_flight < target.slots
    )


def mark_leaving(
    state: world.World,
    target_id: str,
    why: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Stop new work to a target from now on."""
    condition = of(state, target_id)
    if condition.leaving:
        return []
    put(
        state,
        condition._replace(
            leaving=True,
            leaving_why=why,
            leaving_since_ms=now_ms,
        ),
    )
    return [actions.Audit('target', target_id, why, 'leaving')]


def on_dispatch(state: world.World, target_id: str) -> None:
    """Count an attempt in flight."""
    condition = of(state, target_id)
    put(state, condition._replace(in_flight=condition.in_flight + 1))


def on_attempt_ended(
    state: world.World,
    target_id: str,
    event: events.AttemptEnded,
    took_ms: clock.Millis,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Learn from how an attempt at a target ended."""
    condition = of(state, target_id)
    condition = condition._replace(in_flight=max(condition.in_flight - 1, 0))
    if event.verdict is events.Verdict.ANSWERED:
        condition = _served(condition, took_ms, now_ms)
    elif event.verdict is events.Verdict.SHED:
        condition = condition._replace(
            full_until_ms=now_ms + max(event.retry_after_ms, 1),
        )
    elif event.verdict is not events.Verdict.CANCELLED:
        condition = condition._replace(
            failures_in_row=condition.failures_in_row + 1,
        )
    put(state, condition)
    if event.leaving:
        return mark_leaving(state, target_id, 'answer', now_ms)
    return []


def _served(
    condition: targets.Condition,
    took_ms: clock.Millis,
    now_ms: clock.Millis,
) -> targets.Condition:
    smoothed_ms = took_ms
    if condition.served:
        smoothed_ms = condition.latency_ms + _LATENCY_WEIGHT * (
            took_ms - condition.latency_ms
        )
    return condition._replace(
        served=condition.served + 1,
        failures_in_row=0,
        latency_ms=smoothed_ms,
        latency_at_ms=now_ms,
    )
