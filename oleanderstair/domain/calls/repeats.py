"""Keeps what is sent more than once within the fleet's retry budget.

The budget is one for all instances over any window: a ratio of the calls
and a fixed slack. Each instance earns the ratio on its own calls and holds
an equal part of the slack by the largest recent count of instances, so the
parts add up to no more than the budget without a word between instances.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import repeats

NON_IDEMPOTENT_RETRY_SHARE: typing.Final = 1.0
"""The part of the allowance for retries of non-idempotent calls."""

FOR_RETRIES: typing.Final = 0.9
"""The part of the allowance for retries of idempotent calls."""

HEDGE_SHARE: typing.Final = 0.8
"""The part of the allowance for hedges, while nothing is shed."""

_USED_SHARE: typing.Final = 0.9
"""What is used of the budget, as arrivals lie behind dispatches."""

_ARRIVAL_DELAY_MS: typing.Final = 500
"""How much longer than the window a repeat counts."""

_SHED_SHARE_WEIGHT: typing.Final = 0.1
_MS_PER_S: typing.Final = 1000


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Let this incarnation earn its part of the slack from its start on."""
    if state.repeats.since_ms == clock.NEVER_MS:
        state.repeats.since_ms = now_ms
    return []


def count_call(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> None:
    """Count a call for a service, which earns a part of a repeat."""
    tally = repeats.tally_of(state.repeats, service)
    tally.calls_at_ms.append(now_ms)
    _drop_older(tally.calls_at_ms, now_ms - _window_ms(state))


def may_retry(
    state: world.World,
    service: str,
    part: float,
    now_ms: clock.Millis,
) -> bool:
    """Return whether one more repeat fits into a part of the allowance."""
    return left(state, service, part, now_ms) >= 1


def left(
    state: world.World,
    service: str,
    part: float,
    now_ms: clock.Millis,
) -> float:
    """Return how many repeats still fit into a part of the allowance."""
    limits = state.policy
    tally = repeats.tally_of(state.repeats, service)
    since_ms = now_ms - _window_ms(state)
    _drop_older(tally.calls_at_ms, since_ms)
    _drop_older(tally.repeats_at_ms, since_ms - _ARRIVAL_DELAY_MS)
    earned = limits.retry_ratio * len(tally.calls_at_ms)
    allowed = _USED_SHARE * part * (earned + _own_slack(state, now_ms))
    return allowed - len(tally.repeats_at_ms)


def count_extra_attempt(
    state: world.World, service: str, now_ms: clock.Millis
) -> None:
    """Count a repeat at the moment of its dispatch."""
    tally = repeats.tally_of(state.repeats, service)
    tally.repeats_at_ms.append(now_ms)


def may_hedge(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a hedge fits in; retries of what is shed go first."""
    tally = repeats.tally_of(state.repeats, service)
    part = HEDGE_SHARE * (1 - tally.shed_share)
    return may_retry(state, service, part, now_ms)


def record_shed(state: world.World, service: str, shed: bool) -> None:
    """Follow which share of the attempts is shed beside free slots."""
    tally = repeats.tally_of(state.repeats, service)
    tally.shed_share += _SHED_SHARE_WEIGHT * (int(shed) - tally.shed_share)


def _own_slack(state: world.World, now_ms: clock.Millis) -> float:
    """Return this instance's part of the slack.

    A started instance earns it over one window, as the incarnation before
    it may have spent the part just now.
    """
    limits = state.policy
    known = state.instances.largest_count
    count = max(known, limits.assumed_instances, 1)
    if state.repeats.since_ms == clock.NEVER_MS:
        return 0
    age_ms = now_ms - state.repeats.since_ms
    grown = min(age_ms / max(_window_ms(state), 1), 1)
    return limits.retry_slack / count * grown


def _window_ms(state: world.World) -> clock.Millis:
    return state.policy.retry_window_s * _MS_PER_S


def _drop_older(moments: repeats.Moments, oldest_ms: clock.Millis) -> None:
    while moments and moments[0] <= oldest_ms:
        moments.popleft()
