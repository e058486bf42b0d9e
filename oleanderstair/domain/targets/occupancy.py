"""Estimates the load and latency of each target and shares them with peers.

The weight of reported values falls with their age.
"""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import shared_facts
from oleanderstair.domain.tables import services, targets

_LOAD_HALF_LIFE_MS: typing.Final = 500
"""The half-life of the reported calls of other instances."""

_LATENCY_HALF_LIFE_MS: typing.Final = 3000
"""The half-life of the deviation of a latency ratio from 1."""

_LATENCY_MAX_AGE_MS: typing.Final = 10000
"""The age up to which a latency published by a peer is used."""

_SLOW_RATIO: typing.Final = 2.2
"""The latency ratio from which on a target counts as slow."""

_PUBLISH_SLOW_RATIO: typing.Final = 3.5
"""The latency ratio from which on the latency is published to peers."""

_RECOVERED_RATIO: typing.Final = 1.5
"""The latency ratio below which a published target has recovered."""

_PUBLISH_PERIOD_MS: typing.Final = 1000
"""The minimum time between two publications while a target is slow."""

_FAILING_LATENCY_RATIO: typing.Final = 10
"""The latency ratio that is published for a failing target."""

_REPORT_TOLERANCE: typing.Final = 1
"""How many of this instance's own calls a correct report may lack."""

_MIN_UNTRUSTED_MISSES: typing.Final = 2
"""The count of misses from which on reports are not used."""

_MAX_MISSES: typing.Final = 4
"""The upper bound of the count of misses."""

_MIN_LATENCY_RATIO: typing.Final = 0.5
"""The lower bound of a latency ratio."""

_MIN_SERVED: typing.Final = 3
"""The minimum number of answers for a latency ratio."""


def estimated_in_flight(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> float:
    """Return the estimated number of calls in flight at a target.

    These are this instance's own calls, and those of other instances by the
    newest report, reduced by its age. Reports that contradict this
    instance's own calls are not used.
    """
    condition = targets.condition_of(state.targets, target_id)
    if condition.report_doubted:
        return condition.in_flight
    age_ms = now_ms - condition.others_at_ms
    return condition.in_flight + condition.others_in_flight * _decay(
        age_ms,
        _LOAD_HALF_LIFE_MS,
    )


def latency_ratio(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> float:
    """Return the latency of a target relative to the median of its service.

    This is the ratio of this instance's own samples or that of its peers,
    whichever is higher. Both decay towards 1 with the age of the samples, so
    that a slow target is used again. Each overdue attempt of this instance
    adds 1 to the former.
    """
    condition = targets.condition_of(state.targets, target_id)
    own = _own_latency_ratio(state, condition, now_ms) + condition.overdue
    age_ms = now_ms - condition.others_latency_at_ms
    if age_ms > _LATENCY_MAX_AGE_MS:
        return own
    others = _ratio_to_median(state, target_id, condition.others_latency_ms)
    return max(own, 1 + (others - 1) * _decay(age_ms, _LATENCY_HALF_LIFE_MS))


def is_slow(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether the latency ratio of a target is at least 2.2."""
    return latency_ratio(state, target_id, now_ms) >= _SLOW_RATIO


def load_score(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> float:
    """Return the load of a target: calls per slot times latency ratio.

    The calls include the one to be sent.
    """
    slots = state.catalogue.in_force.target_by_id[target_id].slots
    call_count = estimated_in_flight(state, target_id, now_ms) + 1
    return call_count / slots * latency_ratio(state, target_id, now_ms)


def on_attempt_ended(
    state: world.World,
    event: events.AttemptEnded,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Publish a target's latency when it turns slow and when it recovers.

    While it stays slow, its latency is published at most once a second.
    """
    condition = targets.condition_of(state.targets, target_id)
    ratio = _own_latency_ratio(state, condition, now_ms)
    was_published = condition.slow_told_at_ms > clock.NEVER_MS
    if ratio >= _PUBLISH_SLOW_RATIO:
        if now_ms - condition.slow_told_at_ms < _PUBLISH_PERIOD_MS:
            return []
        condition = condition._replace(slow_told_at_ms=now_ms)
    elif was_published and ratio < _RECOVERED_RATIO:
        condition = condition._replace(slow_told_at_ms=clock.NEVER_MS)
    else:
        return []
    targets.put_condition(state.targets, condition)
    _publish_load(state, condition, now_ms, int(condition.latency_ms) + 1)
    return []


def publish_failing(
    state: world.World,
    condition: targets.Condition,
    now_ms: clock.Millis,
) -> None:
    """Publish a high latency for a target that fails here.

    Peers then use it less, as they would use a slow one.
    """
    target = state.catalogue.in_force.target_by_id[condition.target_id]
    load = services.load_of(state.services, target.service)
    latency_ms = int(load.median_latency_ms * _FAILING_LATENCY_RATIO) + 1
    _publish_load(state, condition, now_ms, latency_ms)


def on_probe_ended(
    state: world.World,
    event: events.ProbeEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Store a target's load report and publish it to the peers.

    A report is wrong if it counts fewer calls than this instance alone has in
    flight there, with a tolerance of one. A wrong report raises the target's
    count of misses and a correct one lowers it. From two misses on, the
    reports are neither used nor published.
    """
    if event.report is None:
        return []
    condition = targets.condition_of(state.targets, event.target_id)
    reported = event.report.in_flight + event.report.queued
    is_wrong = reported + _REPORT_TOLERANCE < condition.in_flight
    step = 1 if is_wrong else -1
    misses = max(condition.report_misses + step, 0)
    condition = _apply_report(state, condition, reported, now_ms)._replace(
        report_misses=min(misses, _MAX_MISSES),
        report_doubted=misses >= _MIN_UNTRUSTED_MISSES,
    )
    targets.put_condition(state.targets, condition)
    if not condition.report_doubted:
        _publish_load(state, condition, now_ms)
    return []


def on_fact(
    state: world.World,
    event: events.FactAdopted,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Store the load and latency of a target that a peer has published."""
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
            condition = _apply_report(
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
    """Do nothing: loads are published by the events that change them."""
    return []


def _own_latency_ratio(
    state: world.World,
    condition: targets.Condition,
    now_ms: clock.Millis,
) -> float:
    """Return the latency ratio by this instance's samples, decayed by age.

    Return 1 if there are too few samples.
    """
    if condition.served < _MIN_SERVED:
        return 1
    ratio = _ratio_to_median(state, condition.target_id, condition.latency_ms)
    age_ms = now_ms - condition.latency_at_ms
    return 1 + (ratio - 1) * _decay(age_ms, _LATENCY_HALF_LIFE_MS)


def _ratio_to_median(
    state: world.World,
    target_id: str,
    latency_ms: clock.Millis,
) -> float:
    target = state.catalogue.in_force.target_by_id.get(target_id)
    if target is None:
        return 1
    load = services.load_of(state.services, target.service)
    if not load.median_latency_ms:
        return 1
    return max(latency_ms / load.median_latency_ms, _MIN_LATENCY_RATIO)


def _apply_report(
    state: world.World,
    condition: targets.Condition,
    reported: int,
    reported_at_ms: clock.Millis,
) -> targets.Condition:
    """Return the state of a target updated with a load report.

    The calls of other instances are the reported ones without this
    instance's own, at most the target's slots.
    """
    target = state.catalogue.in_force.target_by_id.get(condition.target_id)
    slots = target.slots if target else 0
    other_count = max(reported - condition.in_flight, 0)
    return condition._replace(
        reported_in_flight=reported,
        reported_at_ms=reported_at_ms,
        others_in_flight=min(other_count, slots),
        others_at_ms=reported_at_ms,
    )


def _publish_load(
    state: world.World,
    condition: targets.Condition,
    now_ms: clock.Millis,
    latency_ms: int = 0,
) -> None:
    """Publish the load of a target; a latency of 0 means that none is given."""
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
    shared_facts.publish_fact(
        state, f'load/{condition.target_id}', body, now_ms
    )


def _decay(age_ms: clock.Millis, half_life_ms: clock.Millis) -> float:
    return math.exp2(-max(age_ms, 0) / half_life_ms)
