"""Updates the statistics of routes and targets after each attempt."""

from oleanderstair import clock
from oleanderstair.domain import events, world
from oleanderstair.domain.admission import pressure
from oleanderstair.domain.calls import (
    adaptive_hedges,
    retry_budget,
    routed_retries,
)
from oleanderstair.domain.tables import calls, latencies, routed
from oleanderstair.domain.targets import (
    concurrency,
    expected_latencies,
    outlier_detection,
    slot_estimates,
)


def record_attempt(
    state: world.World,
    call: routed.RoutedCall,
    ended: calls.Attempt,
    event: events.AttemptEnded,
    now_ms: clock.Millis,
) -> None:
    """Update outlier detection, latencies and slowdowns after an attempt.

    Nothing is recorded if the attempt was sent on a connection that the
    target had likely closed, if a full target refused it by a reset, or if
    this instance had no memory for it.
    """
    target_id = ended.target_id
    if event.memory_short:
        return
    if event.stale or is_refusal_by_reset(state, ended, event, now_ms):
        return
    adaptive_hedges.record_attempt(state, call, ended, event, now_ms)
    shed_with_free_slots = routed_retries.is_shed_with_free_slots(event)
    retry_budget.record_shed(state, call.service, shed_with_free_slots)
    if event.misdirected:
        outlier_detection.record_misdirected(state, target_id, now_ms)
    elif event.verdict is events.Verdict.SHED:
        if shed_with_free_slots:
            penalty = outlier_detection.SHED_WITH_FREE_SLOTS_PENALTY
            outlier_detection.record_failure(state, target_id, penalty, now_ms)
        elif event.load is not None:
            pressure.record_short(state, call.service, now_ms)
    elif events.is_success(event):
        outlier_detection.record_success(state, target_id, now_ms)
        _record_slowdown(state, call, ended, event, now_ms)
        _record_latency(state, call, ended, now_ms)
        _record_overtaken(state, call, ended, now_ms)
    else:
        outlier_detection.record_failure(
            state, target_id, outlier_detection.FAILURE_PENALTY, now_ms
        )


def is_refusal_by_reset(
    state: world.World,
    ended: calls.Attempt,
    event: events.AttemptEnded,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a full target refused an attempt by a reset."""
    elapsed_ms = now_ms - ended.started_at_ms
    return slot_estimates.is_refusal_by_reset(
        state,
        ended.target_id,
        event,
        elapsed_ms,
        now_ms,
    )


def _record_latency(
    state: world.World,
    call: routed.RoutedCall,
    attempt: calls.Attempt,
    now_ms: clock.Millis,
) -> None:
    latency_ms = now_ms - attempt.started_at_ms
    median_ms = expected_latencies.route_latency(state, call.route).median_ms
    latency_ratio = latency_ms / max(median_ms, 1)
    outlier_detection.record_latency_ratio(
        state, attempt.target_id, latency_ratio, now_ms
    )
    latencies.add_latency(state.latencies, call.route.name, latency_ms)


def _record_slowdown(
    state: world.World,
    call: routed.RoutedCall,
    attempt: calls.Attempt,
    event: events.AttemptEnded,
    now_ms: clock.Millis,
) -> None:
    """Record the latency of an answer by how many calls its target ran.

    The latency is divided by the slowness of the target's machine. An answer
    is left out if the slowness exceeded ``MAX_LEARNING_SLOWNESS``, or if the
    attempt started at a target that had no free slot.
    """
    load_at_start = attempt.load_at_start
    if event.load is None or load_at_start is None:
        return
    if (
        load_at_start.slowness > concurrency.MAX_LEARNING_SLOWNESS
        or load_at_start.running > event.load.slots
    ):
        return
    latency_ms = (now_ms - attempt.started_at_ms) / max(
        load_at_start.slowness, 1
    )
    level = (call.service, load_at_start.running)
    slots = event.load.slots
    concurrency.learn_slowdown(state, call.route.name, level, slots, latency_ms)


def _record_overtaken(
    state: world.World,
    call: routed.RoutedCall,
    answered: calls.Attempt,
    now_ms: clock.Millis,
) -> None:
    """Record a failure of each target that a later attempt has overtaken.

    The time that its attempt has taken so far is recorded as a latency.
    """
    for attempt in call.attempts:
        if attempt.attempt_id >= answered.attempt_id:
            continue
        outlier_detection.record_failure(
            state,
            attempt.target_id,
            outlier_detection.OVERTAKEN_PENALTY,
            now_ms,
        )
        _record_latency(state, call, attempt, now_ms)
