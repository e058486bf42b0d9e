"""What hedges with a limit cut from the slowest responses, and their cost.

Neighbours slow a quarter of the machines fivefold at any time, one run in 33
is a straggler that takes seven times as long, and for 8 s six of 16 targets
are slowed fivefold altogether. docs/design/hedges.md has the figures of
``measure`` with the seeds 1 to 8.
"""

import functools
import typing

import pytest

from oleanderstair.emulator import gateway_days, neighbours, plans

NOISE = neighbours.Noise(0.25, 5, 150)
LOOKUP = plans.Kind(
    'lookup',
    'burza',
    100,
    plans.Work(75),
    deadline_ms=1500,
    timeout_ms=1500,
)
ORDER = plans.Kind('order', 'burza', 20, plans.Work(100), idempotent=False)
SEEDS = (1, 2)
SLOWED_COUNT = 6


class Figures(typing.NamedTuple):
    """Latencies of lookups in ms, and attempts as a share of all calls."""

    p50_ms: float
    p99_ms: float
    p999_ms: float
    extra_share: float
    hedge_share: float


def run_day(seed: int, **limits: typing.Any) -> gateway_days.Day:
    targets = plans.ServicePlan('burza', {'trnava': 8, 'nitra': 8}, noise=NOISE)
    instances = {'trnava': 2, 'nitra': 2}
    plan = plans.Plan('west', instances, (targets,), (LOOKUP, ORDER))
    day = gateway_days.create(
        plan,
        seed,
        retry_slack=20,
        assumed_instances=4,
        **limits,
    )
    slowed = list(day.fleet.target_by_id.values())[:SLOWED_COUNT]
    day.fleet.run_for(gateway_days.SETTLE_MS)
    for slowness, span_ms in ((1, 11_000), (5, 8000), (1, 6000)):
        for target in slowed:
            target.machine.slowed = slowness
        day.demand.run_for(span_ms)
    day.fleet.run_for(2000)
    return day


@functools.cache
def measure(share: float, adaptive: bool) -> Figures:
    latencies_ms: list[float] = []
    calls = 0
    runs = 0
    hedged = 0
    for seed in SEEDS:
        day = run_day(seed, hedge_limit_share=share, adaptive_hedges=adaptive)
        latencies_ms += [
            request.latency_ms
            for request in day.demand.requests
            if request.kind is LOOKUP
        ]
        calls += len(day.demand.requests)
        runs += len(day.fleet.runs)
        hedged += day.fleet.counts.get(('hedges', 'burza'), 0)
    latencies_ms.sort()
    quantiles = [
        latencies_ms[int(quantile * (len(latencies_ms) - 1))]
        for quantile in (0.5, 0.99, 0.999)
    ]
    return Figures(*quantiles, runs / calls - 1, hedged / calls)


@pytest.mark.parametrize(('share', 'p99_factor'), [(0.02, 0.95), (0.05, 0.7)])
def test_slow_responses_are_cut_within_the_limit(share, p99_factor):
    # Hedges that only add work, or more of it than the operators allow.
    without = measure(0, adaptive=False)
    limited = measure(share, adaptive=True)
    assert limited.p50_ms < 1.1 * without.p50_ms
    assert limited.p99_ms < p99_factor * without.p99_ms
    assert limited.p999_ms < without.p999_ms
    assert limited.hedge_share <= share
    assert limited.extra_share <= without.extra_share + 1.1 * share


def test_learned_delays_cut_more_than_fixed_ones_at_the_same_limit():
    # Fixed delays spend the limit on calls that are only a little late.
    assert measure(0.05, adaptive=True).p99_ms < (
        measure(0.05, adaptive=False).p99_ms
    )
