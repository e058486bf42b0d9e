"""Serves urgency in the queue and the retry budget (``admission_by_rank``).

Without it, a call is queued for a share of its latency target, so that the
urgent calls, whose latency targets are short, are refused first.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.admission import urgency
from oleanderstair.domain.calls import slot_use
from oleanderstair.domain.tables import retry_budget, routed
from oleanderstair.domain.targets import expected_latencies

MIN_SHED_SHARE: typing.Final = 0.2
"""The share of attempts shed by targets with free slots from which on the
retry budget is kept for urgent calls."""

LEAST_URGENT_RETRY_SHARE: typing.Final = 0.6
"""The share of the retry budget that the least urgent calls may then use."""


def extra_wait_ms(
    state: world.World,
    call: routed.RoutedCall,
    usual_ms: clock.Millis,
    now_ms: clock.Millis,
) -> clock.Millis:
    """Return how much longer than usual a call may be queued.

    The most urgent calls may be queued until they would be late.
    """
    if not state.policy.admission_by_rank or slot_use.is_expected_late(
        state, call, now_ms
    ):
        return 0
    if urgency.urgency_of(state, call.service, call.route.rank) < 1:
        return 0
    median_ms = expected_latencies.route_latency(state, call.route).median_ms
    in_time_ms = call.latency_target_at_ms - median_ms - call.received_at_ms
    return max(in_time_ms - usual_ms, 0)


def returned_order(state: world.World, call: routed.RoutedCall) -> int:
    """Return a part of the sort key of queued calls: returned calls first.

    A call that returns after a refusal is not refused again if another one
    of its rank can be. Return 0 for all calls without ``admission_by_rank``.
    """
    if not state.policy.admission_by_rank:
        return 0
    return 0 if call.caller_waited_ms else 1


def retry_share(
    state: world.World, call: routed.RoutedCall, usual_share: float
) -> float:
    """Return the share of the retry budget that a call may use.

    While targets shed calls though they have free slots, retries are what is
    scarce; the less urgent a call, the smaller its share of the budget. A call
    that is not idempotent keeps its share: its caller can repeat it less often.
    """
    if not state.policy.admission_by_rank or not call.route.idempotent:
        return usual_share
    tally = retry_budget.tally_for(state.retry_budget, call.service)
    if tally.shed_share < MIN_SHED_SHARE:
        return usual_share
    if len(urgency.ranks_of(state, call.service)) < 2:
        return usual_share
    share = urgency.urgency_of(state, call.service, call.route.rank)
    if call.caller_waited_ms:
        share = (1 + share) / 2
    return usual_share * (
        LEAST_URGENT_RETRY_SHARE + (1 - LEAST_URGENT_RETRY_SHARE) * share
    )
