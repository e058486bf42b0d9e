"""What is known of the load of each target, aged and shared."""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import sharing
from oleanderstair.domain.tables import services, targets

_HALF_LIFE_MS: typing.Final = 500
_LATENCY_HALF_LIFE_MS: typing.Final = 3000
_LATENCY_LIFE_MS: typing.Final = 10000
_SLOW_RATIO: typing.Final = 2.2
_TELL_RATIO: typing.Final = 3.5
_RECOVERED_RATIO: typing.Final = 1.5
_TELL_MS: typing.Final = 1000
_FAILING_RATIO: typing.Final = 10
_MISS_SLACK: typing.Final = 1
_DOUBTED_MISSES: typing.Final = 2
_MOST_MISSES: typing.Final = 4
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
    own = _own_slowness(state, condition, now_ms) + condition.overdue
    age_ms = now_ms - condition.others_latency_at_ms
    if age_ms > _LATENCY_LIFE_MS:
        return own
    others = _ratio(state, target_id, condition.others_latency_ms)
    return max(own, 1 + (others - 1) * _fade(age_ms, _LATENCY_HALF_LIFE_MS))


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


def on_attempt_ended(
    state: world.World,
    event: events.AttemptEnded,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Tell the peers when a target turns slow, and when it is so no more."""
    condition = targets.condition_of(state.targets, target_id)
    ratio = _own_slowness(state, condition, now_ms)
    told = condition.slow_told_at_ms > clock.NEVER_MS
    if ratio >= _TELL_RATIO:
        if now_ms - condition.slow_told_at_ms < _TELL_MS:
            return []
        condition = condition._replace(slow_told_at_ms=now_ms)
    elif told and ratio < _RECOVERED_RATIO:
        condition = condition._replace(slow_told_at_ms=clock.NEVER_MS)
    else:
        return []
    targets.put_condition(state.targets, condition)
    _publish(state, condition, now_ms, int(condition.latency_ms) + 1)
    return []


def tell_failing(
    state: world.World,
    condition: targets.Condition,
    now_ms: clock.Millis,
) -> None:
    """Let the peers use a target that fails here as if it were slow."""
    target = state.catalogue.in_force.target_by_id[condition.target_id]
    load = services.load_of(state.services, target.service)
    latency_ms = int(load.median_ms * _FAILING_RATIO) + 1
    _publish(state, condition, now_ms, latency_ms)


def on_probe_ended(
    state: world.World,
    event: events.ProbeEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Learn from a target's health and load report, and pass it on.

    A report below the calls that this instance itself has there is a miss;
    a target that misses twice is doubted until its reports fit again.
    """
    if event.report is None:
        return []
    condition = targets.condition_of(state.targets, event.target_id)
    reported = event.report.in_flight + event.report.queued
    missed = reported + _MISS_SLACK < condition.in_flight
    step = 1 if missed else -1
    misses = max(condition.report_misses + step, 0)
    condition = _take_report(state, condition, reported, now_ms)._replace(
        report_misses=min(misses, _MOST_MISSES),
        report_doubted=misses >= _DOUBTED_MISSES,
    )
    targets.put_condition(state.targets, condition)
    if not condition.report_doubted:
        _publish(state, condition, now_ms)
    return []


def on_fact(
    state: world.World,
    event: events.FactAdopted,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a peer's word on the load and the latency of a target."""
    body = event.fact.body
    if not isinstance(body, messages.TargetLoad):
        return []
    if body.target_id not in state.catalogue.in_force.target_by_id:
        return []
    condition = targets.condition_of(state.targets, body.target_id)
    stated_at_ms = now_ms - event.fact.age_ms
    reported_at_ms = stated_at_ms - body.report_age_ms
    if body.reported_in_flight >= 0:
        if reported_at_ms > condition.reported_at_ms:
            condition = _take_report(
                state,
                condition,
                body.reported_in_flight,
                reported_at_ms,
            )
    if body.latency_ms and stated_at_ms > condition.others_latency_at_ms:
        condition = condition._replace(
            others_latency_ms=body.latency_ms,
            others_latency_at_ms=stated_at_ms,
        )
    targets.put_condition(state.targets, condition)
    return []


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Do nothing; loads are told when they are learnt."""
    return []


def _own_slowness(
    state: world.World,
    condition: targets.Condition,
    now_ms: clock.Millis,
) -> float:
    if condition.served < _EVIDENCE:
        return 1
    ratio = _ratio(state, condition.target_id, condition.latency_ms)
    age_ms = now_ms - condition.latency_at_ms
    return 1 + (ratio - 1) * _fade(age_ms, _LATENCY_HALF_LIFE_MS)


def _ratio(
    state: world.World,
    target_id: str,
    latency_ms: clock.Millis,
) -> float:
    target = state.catalogue.in_force.target_by_id.get(target_id)
    if target is None:
        return 1
    load = services.load_of(state.services, target.service)
    if not load.median_ms:
        return 1
    return max(latency_ms / load.median_ms, _FASTEST_RATIO)


def _take_report(
    state: world.World,
    condition: targets.Condition,
    reported: int,
    reported_at_ms: clock.Millis,
) -> targets.Condition:
    target = state.catalogue.in_force.target_by_id.get(condition.target_id)
    slots = target.slots if target else 0
    others = max(reported - condition.in_flight, 0)
    return condition._replace(
        reported_in_flight=reported,
        reported_at_ms=reported_at_ms,
        others_in_flight=min(others, slots),
        others_at_ms=reported_at_ms,
    )


def _publish(
    state: world.World,
    condition: targets.Condition,
    now_ms: clock.Millis,
    latency_ms: int = 0,
) -> None:
    body = messages.TargetLoad(
        target_id=condition.target_id,
        in_flight=condition.in_flight,
        latency_ms=latency_ms,
    )
    if condition.reported_at_ms > clock.NEVER_MS:
        body = body._replace(
            reported_in_flight=condition.reported_in_flight,
            report_age_ms=now_ms - condition.reported_at_ms,
        )
    sharing.publish(state, f'load/{condition.target_id}', body, now_ms)


def _fade(age_ms: clock.Millis, half_life_ms: clock.Millis) -> float:
    return math.exp2(-max(age_ms, 0) / half_life_ms)
