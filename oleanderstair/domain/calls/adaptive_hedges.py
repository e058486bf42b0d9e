"""Learns when a routed call is hedged, and limits the hedges of a service.

With ``adaptive_hedges`` a call is hedged once it is slower than all but the
share of calls that the limits allow to hedge, so that hedges go to the slowest
calls. ``hedge_limit_share`` bounds the hedges of a service as a share of its
calls. Each instance applies it to its own calls, so the parts of all instances
add up to the limit without messages.
"""

import enum
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, policy, world
from oleanderstair.domain.calls import retry_budget, slot_use
from oleanderstair.domain.tables import calls, hedges, routed, routes
from oleanderstair.domain.targets import (
    expected_latencies,
    slot_estimates,
    slot_shortage,
)

MIN_DELAY_MS: typing.Final[clock.Millis] = 20
"""The shortest time after which a call is hedged."""

LEARNING_MS: typing.Final[clock.Millis] = 3000
"""The age up to which latencies count, so that a shift shows in seconds."""

MIN_SAMPLES: typing.Final = 64
"""How many of the newest latencies count whatever their age."""

MIN_EXCESS_PER_MEDIAN: typing.Final = 0.5
"""The mean time beyond the delay that makes a hedge useful, in medians."""

MAX_SHED_SHARE: typing.Final = 0.05
"""The share of shed attempts above which no call is hedged."""

MAX_REMOTE_ANSWER_BYTES: typing.Final = 8192
"""The usual answer size of a route up to which a hedge may go to another data
centre; it takes 13 ms on a link of 5 Mbit/s."""

_RELEARN_INTERVAL_MS: typing.Final[clock.Millis] = 500
_RESCHEDULE_DELAY_MS: typing.Final[clock.Millis] = 60
_MIN_RESCHEDULE_DELAY_MS: typing.Final[clock.Millis] = 5
_UNUSED_GAIN: typing.Final = 4.0
"""How the share of calls to hedge depends on the unused allowance: it begins
to fall when a quarter is left, so about a fifth stays in reserve."""

_SHED_WEIGHT: typing.Final = 0.1
_ANSWER_BYTES_WEIGHT: typing.Final = 0.1
_MS_PER_S: typing.Final = 1000


class Limit(enum.Enum):
    """What holds a hedge back."""

    NOT_SLOW_ENOUGH = 'not-slow-enough'
    SHORTAGE = 'room-short'
    SHED = 'shed'
    TOO_LATE = 'too-late'
    HEDGE_LIMIT = 'hedge-limit'
    RETRY_BUDGET = 'no-budget'
    NO_TARGET = 'no-quiet-target'


def is_active(limits: policy.Policy) -> bool:
    """Return whether hedges are adaptive or have a limit of their own."""
    return limits.adaptive_hedges or limits.hedge_limit_share < 1


# Counting


def count_call(
    state: world.World, call: routed.RoutedCall, now_ms: clock.Millis
) -> None:
    """Count an idempotent call, one of those that the limit is divided among.

    Calls from peers are left out, as the retry budget doesn't count them.
    """
    if not is_active(state.policy) or not call.route.idempotent:
        return
    row = hedges.hedges_of(state.hedges, call.service)
    row.idempotent_calls_at_ms.append(now_ms)
    _drop_older(row.idempotent_calls_at_ms, now_ms - _window_ms(state))


def count_hedge(state: world.World, service: str, now_ms: clock.Millis) -> None:
    """Count a hedge when it is dispatched."""
    if is_active(state.policy):
        row = hedges.hedges_of(state.hedges, service)
        row.hedges_at_ms.append(now_ms)


def count_result(
    state: world.World, call: routed.RoutedCall, ended: calls.Attempt
) -> list[actions.Action]:
    """Count whether the hedge of an answered call won or lost."""
    if not is_active(state.policy):
        return []
    if ended.is_hedge:
        return [actions.Count('hedges-won', call.service)]
    if any(attempt.is_hedge for attempt in call.attempts):
        return [actions.Count('hedges-lost', call.service)]
    return []


# Learning


def record_attempt(
    state: world.World,
    call: routed.RoutedCall,
    ended: calls.Attempt,
    event: events.AttemptEnded,
    now_ms: clock.Millis,
) -> None:
    """Learn from an ended attempt, and from the one that it overtook.

    Latencies of hedges are left out: they would make the route seem faster
    than its first attempts are.
    """
    if not state.policy.adaptive_hedges:
        return
    row = hedges.hedges_of(state.hedges, call.service)
    shed = event.verdict is events.Verdict.SHED
    row.shed_share += _SHED_WEIGHT * (int(shed) - row.shed_share)
    if not events.is_success(event):
        return
    learned = hedges.latencies_of(state.hedges, call.route.name)
    known_bytes = learned.answer_bytes
    if known_bytes is None:
        known_bytes = event.answer_bytes
    learned.answer_bytes = known_bytes + _ANSWER_BYTES_WEIGHT * (
        event.answer_bytes - known_bytes
    )
    record_unanswered(state, call, now_ms)


def record_unanswered(
    state: world.World, call: routed.RoutedCall, now_ms: clock.Millis
) -> None:
    """Record how long the attempts of a call have run, hedges excepted.

    If the call was answered by a hedge or ends without an answer, this is a
    lower bound of the latency. It exceeds the hedge delay, so the share of
    calls that are slower than the delay stays exact.
    """
    if not state.policy.adaptive_hedges:
        return
    learned = hedges.latencies_of(state.hedges, call.route.name)
    learned.samples.extend(
        hedges.Sample(now_ms, now_ms - attempt.started_at_ms)
        for attempt in call.attempts
        if not attempt.is_hedge
    )


def hedge_delay_ms(
    state: world.World,
    route: routes.Route,
    service: str,
    now_ms: clock.Millis,
) -> clock.Millis:
    """Return the age at which an attempt is slow enough to be hedged.

    It is the earliest quantile of the latencies of the route at which no more
    calls are hedged than the limits allow, but at least the median.
    """
    learned = hedges.latencies_of(state.hedges, route.name)
    if now_ms - learned.learned_at_ms >= _RELEARN_INTERVAL_MS:
        learned.learned_at_ms = now_ms
        share = _allowed_share(state, service, now_ms)
        learned.delay_ms = _learn_delay(state, route, share, now_ms)
    return learned.delay_ms


def _learn_delay(
    state: world.World,
    route: routes.Route,
    share: float,
    now_ms: clock.Millis,
) -> clock.Millis:
    samples = hedges.latencies_of(state.hedges, route.name).samples
    newest_ms: list[clock.Millis] = []
    for sample in reversed(samples):
        is_old = now_ms - sample.at_ms > LEARNING_MS
        if is_old and len(newest_ms) >= MIN_SAMPLES:
            break
        newest_ms.append(sample.latency_ms)
    if len(newest_ms) < MIN_SAMPLES:
        expected = expected_latencies.route_latency(state, route)
        return max(expected.p95_ms, MIN_DELAY_MS)
    newest_ms.sort()
    slower_count = int(share * len(newest_ms))
    place = max(len(newest_ms) - 1 - slower_count, len(newest_ms) // 2)
    return max(_latest_useful_delay(newest_ms, place), MIN_DELAY_MS)


def _latest_useful_delay(
    sorted_ms: list[clock.Millis], from_place: int
) -> clock.Millis:
    """Return the latest delay up to a quantile at which a hedge is useful.

    It is useful where calls that are slower than the delay take, on average,
    at least ``MIN_EXCESS_PER_MEDIAN`` medians beyond it. If more calls are
    slow than the limit allows, the quantile alone may lie where they are about
    to end. If no delay is useful, it is that of the quantile.
    """
    median_place = len(sorted_ms) // 2
    min_excess_ms = sorted_ms[median_place] * MIN_EXCESS_PER_MEDIAN
    slower_ms = sum(sorted_ms[from_place + 1 :])
    for place in range(from_place, median_place, -1):
        slower_count = len(sorted_ms) - 1 - place
        excess_ms = slower_ms - slower_count * sorted_ms[place]
        if slower_count and excess_ms >= slower_count * min_excess_ms:
            return sorted_ms[place]
        slower_ms += sorted_ms[place]
    return sorted_ms[from_place]


def _allowed_share(
    state: world.World, service: str, now_ms: clock.Millis
) -> float:
    """Return the share of a service's idempotent calls to hedge now.

    Both limits are shares of all calls, but only idempotent ones are hedged.
    The share falls as the allowance of the window is used up. What is left
    then goes to the slowest calls, also right after latencies have shifted.
    """
    row = hedges.hedges_of(state.hedges, service)
    oldest_ms = now_ms - _window_ms(state)
    _drop_older(row.hedges_at_ms, oldest_ms)
    _drop_older(row.idempotent_calls_at_ms, oldest_ms)
    call_count = retry_budget.recent_call_count(state, service, now_ms)
    budget = retry_budget.remaining_hedges(state, service, now_ms)
    allowed = min(
        state.policy.hedge_limit_share * call_count,
        max(budget, 0) + len(row.hedges_at_ms),
    )
    if allowed <= 0:
        return 0
    unused_share = max(1 - len(row.hedges_at_ms) / allowed, 0)
    share = allowed / max(len(row.idempotent_calls_at_ms), 1)
    return min(share * min(_UNUSED_GAIN * unused_share, 1), 1)


# Deciding


def schedule_hedge(
    state: world.World, call: routed.RoutedCall
) -> list[actions.Action]:
    """Schedule the hedge of a call that was just dispatched."""
    sent_at_ms = call.attempts[-1].started_at_ms
    delay_ms = hedge_delay_ms(state, call.route, call.service, sent_at_ms)
    due = events.HedgeDue(call.call_id, call.send_count)
    return [actions.Schedule(due, delay_ms)]


def find_limit(
    state: world.World, call: routed.RoutedCall, now_ms: clock.Millis
) -> Limit | None:
    """Return what holds the hedge of a call back, None if nothing does."""
    if slot_shortage.has_shortage(state, call.service, now_ms):
        return Limit.SHORTAGE
    expected = expected_latencies.route_latency(state, call.route)
    if now_ms + expected.median_ms >= call.due_at_ms:
        return Limit.TOO_LATE
    if state.policy.adaptive_hedges:
        row = hedges.hedges_of(state.hedges, call.service)
        if row.shed_share > MAX_SHED_SHARE:
            return Limit.SHED
        if _remaining_delay_ms(state, call, now_ms) > 0:
            return Limit.NOT_SLOW_ENOUGH
    if not _fits_limit(state, call.service, now_ms):
        return Limit.HEDGE_LIMIT
    if not retry_budget.may_hedge(state, call.service, now_ms):
        return Limit.RETRY_BUDGET
    return None


def hold_back(
    state: world.World,
    call: routed.RoutedCall,
    limit: Limit,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Schedule the next try of a hedge unless it would come too late.

    A call is counted once, by the first limit that held its hedge back.
    """
    counted: list[actions.Action] = []
    delay_ms = _RESCHEDULE_DELAY_MS
    if limit is Limit.NOT_SLOW_ENOUGH:
        left_ms = _remaining_delay_ms(state, call, now_ms)
        delay_ms = max(left_ms, _MIN_RESCHEDULE_DELAY_MS)
    elif not call.hedge_held_back_by:
        call = call._replace(hedge_held_back_by=limit.value)
        state.routed.call_by_id[call.call_id] = call
        label = f'service={call.service} limit={limit.value}'
        counted = [actions.Count('hedges-held-back', label)]
    if limit is Limit.TOO_LATE:
        return counted
    due = events.HedgeDue(call.call_id, call.send_count)
    return [*counted, actions.Schedule(due, delay_ms)]


def select_unrelated(
    state: world.World, call: routed.RoutedCall, target_ids: list[str]
) -> list[str]:
    """Return the targets that are unlikely to be slow for the same reason.

    Targets on slowed machines, and those at the host of an attempt in flight,
    are left out. Those of other data centres are left out if the answer is
    large or of unknown size and another target of the own one is left.
    """
    entry_by_id = state.registry.entry_by_id
    used_hosts = {
        _host_of(entry_by_id[attempt.target_id].address)
        for attempt in call.attempts
        if attempt.target_id in entry_by_id
    }
    unrelated = [
        target_id
        for target_id in target_ids
        if target_id in entry_by_id
        and _host_of(entry_by_id[target_id].address) not in used_hosts
        and slot_estimates.reported_slowness(state, target_id)
        <= slot_use.MAX_NORMAL_SLOWNESS
    ]
    known_bytes = hedges.latencies_of(
        state.hedges, call.route.name
    ).answer_bytes
    if known_bytes is not None and known_bytes <= MAX_REMOTE_ANSWER_BYTES:
        return unrelated
    local = [
        target_id
        for target_id in unrelated
        if entry_by_id[target_id].data_centre == state.identity.data_centre
    ]
    return local or unrelated


def _fits_limit(state: world.World, service: str, now_ms: clock.Millis) -> bool:
    """Return whether one more hedge is within the share of the calls.

    Calls and hedges of the last window count, so that the first call of an
    idle service is never hedged on credit.
    """
    limit_share = state.policy.hedge_limit_share
    if limit_share >= 1:
        return True
    row = hedges.hedges_of(state.hedges, service)
    _drop_older(row.hedges_at_ms, now_ms - _window_ms(state))
    call_count = retry_budget.recent_call_count(state, service, now_ms)
    return len(row.hedges_at_ms) + 1 <= limit_share * call_count


def _remaining_delay_ms(
    state: world.World, call: routed.RoutedCall, now_ms: clock.Millis
) -> clock.Millis:
    """Return how long the newest attempt is not yet slow enough."""
    age_ms = now_ms - call.attempts[-1].started_at_ms
    return hedge_delay_ms(state, call.route, call.service, now_ms) - age_ms


def _host_of(address: str) -> str:
    return address.rpartition(':')[0]


def _window_ms(state: world.World) -> clock.Millis:
    return state.policy.retry_window_s * _MS_PER_S


def _drop_older(timestamps: hedges.Timestamps, oldest_ms: clock.Millis) -> None:
    while timestamps and timestamps[0] <= oldest_ms:
        timestamps.popleft()
