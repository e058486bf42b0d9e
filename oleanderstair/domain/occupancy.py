"""What is known of the load of each target, aged and shared."""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.tables import services, targets

_HALF_LIFE_MS: typing.Final = 500
_LATENCY_HALF_LIFE_MS: typing.Final = 3000
_SLOW_RATIO: typing.Final = 3
_FASTEST_RATIO: typing.Final = 0.5
_EVIDENCE: typing.Final = 3


def estimate(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> float:
    """Return the calls that a target is thought to have in flight."""
    condition = targets.condition_of(state.targets, target_id)
    if condition.report_doubted:
        return condition.in_flight
    age_ms = now_ms - condition.others_at_ms
    return condition.in_flight + condition.others_in_flight * _fade(
        age_ms,
        _HALF_LIFE_MS,
    )


def slowness(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> float:
    """Return the latency of a target as a multiple of its service's.

    Old evidence fades towards 1, so that a slow target is tried again.
    """
    condition = targets.condition_of(state.targets, target_id)
    target = state.catalogue.in_force.target_by_id[target_id]
    load = services.load_of(state.services, target.service)
    overdue = 1 + condition.overdue
    if not load.median_ms or condition.served < _EVIDENCE:
        return overdue
    ratio = max(condition.latency_ms / load.median_ms, _FASTEST_RATIO)
    age_ms = now_ms - condition.latency_at_ms
    faded = 1 + (ratio - 1) * _fade(age_ms, _LATENCY_HALF_LIFE_MS)
    return max(faded, overdue) if condition.overdue else faded


def is_slow(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether our own calls show a target far behind its peers."""
    return slowness(state, target_id, now_ms) >= _SLOW_RATIO


def score(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> float:
    """Return how long a call may take at a target; less is better."""
    slots = state.catalogue.in_force.target_by_id[target_id].slots
    waiting = estimate(state, target_id, now_ms) + 1
    return waiting / slots * slowness(state, target_id, now_ms)


def on_probe_ended(
    state: world.World,
    event: events.ProbeEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Learn from a target's health and load report."""
    if event.report is None:
        return []
    condition = targets.condition_of(state.targets, event.target_id)
    targets.put_condition(
        state.targets,
        condition._replace(
            reported_in_flight=event.report.in_flight,
            reported_at_ms=now_ms,
        ),
    )
    return []


def on_fact(
    state: world.World,
    event: events.FactAdopted,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a peer's word on the load of a target."""
    if not isinstance(event.fact.body, messages.TargetLoad):
        return []
    return []


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Tell the peers of the load that this instance sees."""
    return []


def _fade(age_ms: clock.Millis, half_life_ms: clock.Millis) -> float:
    return math.exp2(-max(age_ms, 0) / half_life_ms)
