"""Many instances before the same targets: what each thinks the others sent.

With thirty instances a target that got one call from here was taken to have
got thirty, and counted as full until it was read again.
"""

import functools

from oleanderstair.emulator import gateway_days, neighbours, plans

TARGETS = 10
SEEDS = (3, 4, 5)
LOOKUP = plans.Kind(
    'lookup',
    'burza',
    120,
    plans.Work(282),
    aim_ms=817,
    deadline_ms=2536,
    timeout_ms=2500,
)
ORDER = plans.Kind(
    'order',
    'burza',
    40,
    plans.Work(372),
    idempotent=False,
    aim_ms=1040,
    deadline_ms=3096,
    timeout_ms=2500,
)


def play(instances, strength, seed):
    places = ('trnava', 'nitra')
    targets = plans.ServicePlan(
        'burza',
        dict.fromkeys(places, TARGETS),
        noise=neighbours.Noise(0.35, 5, 150),
    )
    plan = plans.Plan(
        'west',
        dict.fromkeys(places, instances),
        (targets,),
        (LOOKUP, ORDER),
    )
    day = gateway_days.create(plan, seed, retry_slack=75)
    day.fleet.run_for(gateway_days.SETTLE_MS)
    day.demand.strength = strength
    day.demand.run_for(4000)
    day.fleet.run_for(2500)
    return day.demand.requests


@functools.cache
def in_aim(instances, strength):
    """Return the share in aim with so many instances in a data centre."""
    asked = [one for seed in SEEDS for one in play(instances, strength, seed)]
    return sum(one.in_aim for one in asked) / len(asked)


def test_thirty_instances_serve_a_full_service_as_well_as_four():
    assert in_aim(30, 1) > in_aim(4, 1) - 0.05


def test_thirty_instances_serve_calm_demand_as_well_as_four():
    assert in_aim(30, 0.5) > in_aim(4, 0.5) - 0.05
