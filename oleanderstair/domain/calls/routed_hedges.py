"""Decides when an idempotent routed call is hedged.

A call that takes longer than most calls of its route is likely to be at a slow
target, or to be slow by chance; a second target is then likely to answer first.
The hedge is sent while it can still be answered within the route's latency
target.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.calls import adaptive_hedges, retry_budget
from oleanderstair.domain.tables import routed
from oleanderstair.domain.targets import (
    expected_latencies,
    slot_shortage,
    target_scoring,
)

MAX_TARGET_SCORE: typing.Final = 2.0
"""The highest score at which a target may get a hedge.

The score is the target's expected latency as a multiple of the usual one.
"""

_RESCHEDULE_DELAY_MS: typing.Final = 60
_MIN_DELAY_MS: typing.Final = 20


def schedule_hedge(
    state: world.World,
    call: routed.RoutedCall,
) -> list[actions.Action]:
    """Schedule the hedge of a call that was dispatched, if it may have one."""
    if not _may_be_hedged(call):
        return []
    if state.policy.adaptive_hedges:
        return adaptive_hedges.schedule_hedge(state, call)
    due = events.HedgeDue(call.call_id, call.send_count)
    return [actions.Schedule(due, _hedge_delay_ms(state, call))]


def reschedule_hedge(call: routed.RoutedCall) -> list[actions.Action]:
    """Schedule the next try to hedge a call."""
    due = events.HedgeDue(call.call_id, call.send_count)
    return [actions.Schedule(due, _RESCHEDULE_DELAY_MS)]


def is_due(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a hedge is allowed and may still be answered in time.

    True if the call is idempotent with attempts left and one in
    flight, its service is not short of slots, and a call of median latency
    would end before this one's deadline.
    """
    if not _may_be_hedged(call) or not call.attempts:
        return False
    if slot_shortage.has_shortage(state, call.service, now_ms):
        return False
    expected = expected_latencies.route_latency(state, call.route)
    return now_ms + expected.median_ms < call.due_at_ms


def may_hedge_to(
    state: world.World,
    call: routed.RoutedCall,
    chosen: target_scoring.Choice,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a target and the retry budget allow a hedge.

    The target must have a free slot and a score up to ``MAX_TARGET_SCORE``.
    """
    if not chosen.has_free_slot or chosen.score > MAX_TARGET_SCORE:
        return False
    return retry_budget.may_hedge(state, call.service, now_ms)


def _may_be_hedged(call: routed.RoutedCall) -> bool:
    """Return whether a call is idempotent and has attempts left."""
    return call.route.idempotent and call.send_count < call.route.max_attempts


def _hedge_delay_ms(
    state: world.World, call: routed.RoutedCall
) -> clock.Millis:
    """Return the time from the last dispatch to the hedge.

    The hedge is sent when 95 % of the calls of the route would be answered,
    or earlier if it would otherwise miss the latency target, but not before
    80 % would be answered.
    """
    expected = expected_latencies.route_latency(state, call.route)
    sent_at_ms = call.attempts[-1].started_at_ms
    left_ms = call.latency_target_at_ms - sent_at_ms - expected.p95_ms
    wait_ms = max(min(expected.p95_ms, left_ms), expected.p80_ms)
    return max(wait_ms, _MIN_DELAY_MS)
