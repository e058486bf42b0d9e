"""Plays a day of a deployment, on which all instances may end for a while."""

import typing

from oleanderstair.emulator import gateway_callers, gateway_days, plans

LIMITS: typing.Final[dict[str, typing.Any]] = {
    'retry_ratio': 0.2,
    'retry_slack': 80,
    'retry_window_s': 10,
    'probes_per_s': 60,
    'tick_ms': 100,
}
SPAN_MS: typing.Final = 9000
DARK_AT_MS: typing.Final = 4000
DARK_MS: typing.Final = 1850
"""Power is away for 1.4 s, and a program starts in 0.45 s."""

_DRAIN_MS: typing.Final = 4000


class Result(typing.NamedTuple):
    """Shares of all worth: what was earned, and what was served at all."""

    worth: float
    served: float


def play(
    plan: plans.Plan,
    strength: float,
    seed: int,
    *,
    dark: bool,
) -> Result:
    """Play one day and return what it was worth."""
    day = gateway_days.create(plan, seed, **LIMITS)
    fleet = day.fleet
    for target in fleet.target_by_id.values():
        target.hangs_when_full = False
    fleet.run_for(gateway_days.SETTLE_MS)
    day.demand.strength = strength
    if dark:
        fleet.times.after(DARK_AT_MS, lambda: _kill_all(day))
        until_ms = DARK_AT_MS + DARK_MS
        fleet.times.after(
            until_ms,
            lambda: gateway_days.start_all(fleet, plan, **LIMITS),
        )
    day.demand.run_for(SPAN_MS)
    fleet.run_for(_DRAIN_MS)
    return _result_of(day.demand.requests)


def _kill_all(day: gateway_days.Day) -> None:
    for name in tuple(day.fleet.member_by_id):
        day.fleet.kill(name)


def _result_of(requests: list[gateway_callers.Request]) -> Result:
    owed = sum(one.kind.worth for one in requests)
    earned = sum(map(_earned, requests))
    served = sum(one.kind.worth for one in requests if one.served)
    return Result(earned / owed, served / owed)


def _earned(request: gateway_callers.Request) -> float:
    if request.in_aim:
        return request.kind.worth
    return request.kind.late_worth if request.served else 0
