"""Keeps the retries and hedges of routed calls within one fleet-wide budget.

Extra attempts are retries and hedges. Within any window of ``retry_window_s``
all instances together may send as many as ``retry_ratio`` of the calls plus
``retry_slack``. Each instance applies the ratio to its own calls and divides
the slack by the largest recent number of instances. The parts then add up to no
more than the budget, and instances exchange no messages for it.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import retry_budget

NON_IDEMPOTENT_RETRY_SHARE: typing.Final = 1.0
"""The share of the budget that retries of non-idempotent calls may use."""

IDEMPOTENT_RETRY_SHARE: typing.Final = 0.9
"""The share of the budget that retries of idempotent calls may use."""

HEDGE_SHARE: typing.Final = 0.8
"""The share of the budget that hedges may use while no call is shed."""

_USED_SHARE: typing.Final = 0.9
"""The share of the budget that is used; the rest is a margin.

The budget applies to arrivals at targets, but dispatches are counted here. The
delay between them varies, so more may arrive in a window than were dispatched.
"""

_ARRIVAL_DELAY_MS: typing.Final = 500
"""How much longer than the window an extra attempt counts, as it arrives later
than it is dispatched."""

_SHED_SHARE_WEIGHT: typing.Final = 0.1
"""The weight of one attempt in the moving average of the shed share."""

_MS_PER_S: typing.Final = 1000


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Record the start of this incarnation, from which its slack grows."""
    if state.retry_budget.counting_since_ms == clock.NEVER_MS:
        state.retry_budget.counting_since_ms = now_ms
    return []


def count_call(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> None:
    """Count a call of a service, which adds to the budget."""
    tally = retry_budget.tally_for(state.retry_budget, service)
    tally.calls_at_ms.append(now_ms)
    _drop_older(tally.calls_at_ms, now_ms - _window_ms(state))


def may_send_extra_attempt(
    state: world.World,
    service: str,
    share: float,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a share of the budget allows one more extra attempt."""
    return remaining_attempts(state, service, share, now_ms) >= 1


def remaining_attempts(
    state: world.World,
    service: str,
    share: float,
    now_ms: clock.Millis,
) -> float:
    """Return how many extra attempts a share of the budget still allows.

    The number is negative if other kinds of attempts have used more.
    """
    limits = state.policy
    tally = retry_budget.tally_for(state.retry_budget, service)
    since_ms = now_ms - _window_ms(state)
    _drop_older(tally.calls_at_ms, since_ms)
    _drop_older(tally.extra_attempts_at_ms, since_ms - _ARRIVAL_DELAY_MS)
    earned = limits.retry_ratio * len(tally.calls_at_ms)
    allowed = _USED_SHARE * share * (earned + _own_slack(state, now_ms))
    return allowed - len(tally.extra_attempts_at_ms)


def count_extra_attempt(
    state: world.World, service: str, now_ms: clock.Millis
) -> None:
    """Count a retry or hedge when it is dispatched."""
    tally = retry_budget.tally_for(state.retry_budget, service)
    tally.extra_attempts_at_ms.append(now_ms)


def may_hedge(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether the budget allows one more hedge.

    The more attempts are shed, the smaller the share of hedges, so that
    retries of shed calls have priority.
    """
    return remaining_hedges(state, service, now_ms) >= 1


def remaining_hedges(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> float:
    """Return how many hedges the budget still allows; it may be negative."""
    tally = retry_budget.tally_for(state.retry_budget, service)
    share = HEDGE_SHARE * (1 - tally.shed_share)
    return remaining_attempts(state, service, share, now_ms)


def recent_call_count(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> int:
    """Return the number of calls of a service within the last window."""
    tally = retry_budget.tally_for(state.retry_budget, service)
    _drop_older(tally.calls_at_ms, now_ms - _window_ms(state))
    return len(tally.calls_at_ms)


def record_shed(state: world.World, service: str, shed: bool) -> None:
    """Update the moving average of attempts shed by targets with free slots."""
    tally = retry_budget.tally_for(state.retry_budget, service)
    tally.shed_share += _SHED_SHARE_WEIGHT * (int(shed) - tally.shed_share)


def _own_slack(state: world.World, now_ms: clock.Millis) -> float:
    """Return this instance's part of the slack.

    The slack is divided by the largest recent number of instances, but at
    least by ``assumed_instances``. The part grows from 0 to its full size over
    one window after the start, as the previous incarnation may have used the
    whole part just before.
    """
    limits = state.policy
    largest_count = state.instances.largest_count
    count = max(largest_count, limits.assumed_instances, 1)
    if state.retry_budget.counting_since_ms == clock.NEVER_MS:
        return 0
    age_ms = now_ms - state.retry_budget.counting_since_ms
    grown_share = min(age_ms / max(_window_ms(state), 1), 1)
    return limits.retry_slack / count * grown_share


def _window_ms(state: world.World) -> clock.Millis:
    return state.policy.retry_window_s * _MS_PER_S


def _drop_older(
    timestamps: retry_budget.Timestamps, oldest_ms: clock.Millis
) -> None:
    while timestamps and timestamps[0] <= oldest_ms:
        timestamps.popleft()
