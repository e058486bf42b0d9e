"""Estimates how long the caller of a routed call has already waited.

A caller that retries has less time left than at its first attempt. The latency
target counts from the first attempt, so a retry may have missed it already,
however quickly it is answered now. A call is taken for a first attempt if its
time left is at least a learned share of the longest time left that was seen
recently on its route.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import admission, caller_timeouts
from oleanderstair.domain.targets import slot_shortage

INITIAL_FIRST_ATTEMPT_SHARE: typing.Final = 0.75
"""The time left of first attempts is assumed to be at least this share of the
longest, until it is learned: timeouts of a route's callers differ by less."""

MAX_FIRST_ATTEMPT_SHARE: typing.Final = 0.95
"""The maximum of the learned share, as timeouts of callers always differ."""

LEARNING_DELAY_MS: typing.Final[clock.Millis] = 10_000
"""The time from an instance's start until it learns the share: callers that
arrive earlier may have retried until the instance was up."""

LONGEST_KEPT_MS: typing.Final[clock.Millis] = 60_000
"""How long the longest time left of a route is kept, as callers change."""

_BELOW_SHARE: typing.Final = 0.05
"""The share of first attempts that may have less time left than the learned
share of the longest."""

_SHARE_STEP: typing.Final = 0.01
"""The step by which a call changes the learned share.

A call with less time left than the learned share lowers it by the step times
1 - ``_BELOW_SHARE``; any other call raises it by the step times
``_BELOW_SHARE``. It converges after some hundred calls.
"""


def record_time_left(
    state: world.World,
    route: str,
    service: str,
    left_ms: clock.Millis,
    now_ms: clock.Millis,
) -> None:
    """Update the longest time left of a route and the learned share.

    The share is learned only while no call of the service lacks a free slot or
    is rejected by rank, since nearly all calls are first attempts then.
    """
    timeouts = state.caller_timeouts.timeouts_by_route.get(route)
    if (
        timeouts is None
        or now_ms - timeouts.longest_seen_at_ms > LONGEST_KEPT_MS
    ):
        share = (
            timeouts.first_attempt_share
            if timeouts
            else INITIAL_FIRST_ATTEMPT_SHARE
        )
        timeouts = caller_timeouts.CallerTimeouts(left_ms, now_ms, share)
    elif left_ms > timeouts.longest_timeout_ms:
        timeouts = timeouts._replace(
            longest_timeout_ms=left_ms, longest_seen_at_ms=now_ms
        )
    if _is_learning(state, service, now_ms):
        is_below_bound = (
            left_ms < timeouts.first_attempt_share * timeouts.longest_timeout_ms
        )
        share = timeouts.first_attempt_share + _SHARE_STEP * (
            _BELOW_SHARE - is_below_bound
        )
        timeouts = timeouts._replace(
            first_attempt_share=min(max(share, 0), MAX_FIRST_ATTEMPT_SHARE)
        )
    state.caller_timeouts.timeouts_by_route[route] = timeouts


def min_waited_ms(
    state: world.World,
    route: str,
    left_ms: clock.Millis,
) -> clock.Millis:
    """Return how long a caller has at least waited before its call arrived.

    ``left_ms`` is the time from the arrival to the deadline. Return 0 if the
    call may be a first attempt, or if no call of the route was seen yet.
    """
    timeouts = state.caller_timeouts.timeouts_by_route.get(route)
    if timeouts is None:
        return 0
    return max(
        timeouts.first_attempt_share * timeouts.longest_timeout_ms - left_ms, 0
    )


def _is_learning(
    state: world.World, service: str, now_ms: clock.Millis
) -> bool:
    started_at_ms = state.members.first_tick_at_ms
    if started_at_ms is None or now_ms - started_at_ms < LEARNING_DELAY_MS:
        return False
    if state.policy.admission_by_rank and admission.is_limited(
        state.admission, service
    ):
        return False
    return not slot_shortage.has_shortage(state, service, now_ms)
