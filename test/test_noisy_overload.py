"""Overload while other load slows some machines (noisy neighbours).

Neighbours slow a third of the machines fivefold at any time, for about 150 ms
each. A call that starts on a slowed machine holds its slot five times as long.
The tests compare goodput with and without ``spare_slow_slots``, by which calls
that would be late there leave such slots free.
"""

import functools

from oleanderstair.emulator import gateway_days, neighbours, plans

NOISE = neighbours.Noise(0.35, 5, 150)
LOOKUP = plans.Kind('lookup', 'burza', 180, plans.Work(75), late_worth=0.1)
ORDER = plans.Kind(
    'order',
    'burza',
    60,
    plans.Work(100),
    aim_ms=300,
    idempotent=False,
)
SEEDS = (3, 4)


@functools.cache
def simulate(strength, seed, spare):
    targets = plans.ServicePlan('burza', {'trnava': 5, 'nitra': 5}, noise=NOISE)
    instances = {'trnava': 4, 'nitra': 4}
    plan = plans.Plan('west', instances, (targets,), (LOOKUP, ORDER))
    day = gateway_days.create(
        plan,
        seed,
        retry_slack=75,
        spare_slow_slots=spare,
    )
    day.fleet.run_for(gateway_days.SETTLE_MS)
    day.demand.strength = strength
    day.demand.run_for(8000)
    day.fleet.run_for(2000)
    return day.demand.requests


def share(strength, spare, field):
    requests = [
        request for seed in SEEDS for request in simulate(strength, seed, spare)
    ]
    return sum(getattr(request, field) for request in requests) / len(requests)


def test_more_calls_meet_their_latency_target_under_overload():
    spared = share(1.3, spare=True, field='in_aim')
    without = share(1.3, spare=False, field='in_aim')
    assert spared > without + 0.05


def test_more_calls_are_served_under_overload():
    spared = share(1.3, spare=True, field='served')
    assert spared > share(1.3, spare=False, field='served')


def test_demand_below_capacity_is_served_as_well():
    for field in ('in_aim', 'served'):
        without = share(0.5, spare=False, field=field)
        assert share(0.5, spare=True, field=field) > without - 0.01
