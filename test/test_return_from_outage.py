"""All instances are down at once and restart while callers retry.

Retries of calls from the outage miss their latency target in any case. They
are to be served, but without delaying new calls that can still meet theirs.
"""

import functools

from oleanderstair.emulator import gateway_days, neighbours, plans

OUTAGE_START_MS = 4000
OUTAGE_MS = 1800
LOOKUP = plans.Kind(
    'lookup',
    'stock',
    85,
    plans.Work(160, tail_share=0, most_ms=1200),
    aim_ms=400,
    deadline_ms=3000,
    timeout_ms=1500,
    retries=2,
    deadline_spread=0.15,
)
PLAN = plans.Plan(
    'north',
    {'oulu': 4, 'kemi': 4},
    (
        plans.ServicePlan(
            'stock',
            {'oulu': 4, 'kemi': 4},
            slots=6,
            noise=neighbours.Noise(0.25, 5, 150),
            crowded_factor=1.7,
        ),
    ),
    (LOOKUP,),
)
LIMITS = {'retry_slack': 40, 'tick_ms': 100}
SEEDS = (1, 2, 3)


def start_all(fleet):
    for data_centre, count in PLAN.instances_by_data_centre.items():
        for number in range(count):
            seeds = tuple(
                f'entry-{other}-0' for other in PLAN.instances_by_data_centre
            )
            name = f'entry-{data_centre}-{number}'
            fleet.add_instance(name, data_centre, seeds, **LIMITS)


def kill_all(fleet):
    for name in tuple(fleet.member_by_id):
        fleet.kill(name)


@functools.cache
def simulate(seed):
    day = gateway_days.create(PLAN, seed, **LIMITS)
    fleet = day.fleet
    for target in fleet.target_by_id.values():
        target.hangs_when_full = False
    fleet.run_for(gateway_days.SETTLE_MS)
    fleet.times.after(OUTAGE_START_MS, lambda: kill_all(fleet))
    fleet.times.after(OUTAGE_START_MS + OUTAGE_MS, lambda: start_all(fleet))
    day.demand.run_for(OUTAGE_START_MS + OUTAGE_MS + 3000)
    fleet.run_for(4000)
    return day.demand.requests


def requests_between(from_ms, until_ms):
    offset_ms = gateway_days.SETTLE_MS + OUTAGE_START_MS
    return [
        request
        for seed in SEEDS
        for request in simulate(seed)
        if from_ms <= request.started_ms - offset_ms < until_ms
    ]


def percentage(requests, field):
    hits = sum(getattr(request, field) for request in requests)
    return 100 * hits // len(requests)


def test_calls_after_the_outage_meet_their_latency_target():
    before = requests_between(-3000, -500)
    after = requests_between(OUTAGE_MS + 300, OUTAGE_MS + 1800)
    assert percentage(after, 'in_aim') > 0.75 * percentage(before, 'in_aim')


def test_calls_from_the_outage_are_served():
    during_outage = requests_between(OUTAGE_MS - 1000, OUTAGE_MS)
    assert percentage(during_outage, 'served') > 75
