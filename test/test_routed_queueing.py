"""Routed calls that are queued at an instance or refused by it."""

import collections
import itertools

from oleanderstair.domain import outcomes
from oleanderstair.domain.tables import concurrency, routes
from oleanderstair.emulator import (
    gateway_days,
    gateway_fleet,
    neighbours,
    plans,
)

LOOKUP = plans.Kind('lookup', 'burza', 0, plans.Work(40), rank=2)
ORDER = plans.Kind(
    'order',
    'burza',
    0,
    plans.Work(40),
    idempotent=False,
    rank=1,
)
PATIENT = plans.Kind('patient', 'burza', 0, plans.Work(40), aim_ms=4000)
NOISE = neighbours.Noise(0.25, 5, 150)


def make_fleet(
    targets: int = 1,
    work_ms: float = 100,
) -> gateway_fleet.GatewayFleet:
    """Return a fleet of one instance; calls take ``work_ms`` at a target."""
    fleet = gateway_fleet.create(1)

    def constant_work(received: object, rng: object) -> float:
        return work_ms

    for number in range(targets):
        target = fleet.add_target(f'burza-{number}', 'burza')
        target.work = constant_work
    fleet.publish(LOOKUP, ORDER, PATIENT)
    state = fleet.add_instance('entry-0')
    # The instance has learned that these targets don't slow down when full.
    state.concurrency.latency_ratio_by_level['burza', 4] = concurrency.LogMean(
        0, 20
    )
    fleet.run_for(3000)
    return fleet


def fill(fleet: gateway_fleet.GatewayFleet, *kinds: str) -> list[int]:
    """Send calls of some kinds, 2 ms apart, and return their ids."""
    call_ids = []
    for kind in kinds:
        call_ids.append(fleet.call('entry-0', kind, path=f'/{kind}/'))
        fleet.run_for(2)
    return call_ids


def run_queued(*kinds: str) -> tuple[list[int], list[int]]:
    """Return the ids of queued calls, and all ids in the order of execution."""
    fleet = make_fleet(work_ms=60)
    fill(fleet, *itertools.repeat('patient', 4))
    fleet.run_for(44)
    call_ids = fill(fleet, *kinds)
    fleet.run_for(300)
    return call_ids, [run.call_id for run in fleet.runs]


def test_no_call_is_queued_at_a_target() -> None:
    fleet = make_fleet()
    target = fleet.target_by_id['burza-0']
    call_ids = fill(fleet, *itertools.repeat('patient', 7))
    lengths = []
    for _ in range(60):
        fleet.run_for(5)
        lengths.append(len(target.waiting))
    assert max(lengths) == 0
    answers = [fleet.told_by_call[call_id] for call_id in call_ids]
    assert {answer.outcome for answer in answers} == {outcomes.Outcome.RAN}


def test_the_queued_call_of_the_lower_rank_goes_first() -> None:
    (lookup, order), started = run_queued('lookup', 'order')
    assert started.index(order) < started.index(lookup)


def test_a_call_without_a_free_slot_is_refused_early() -> None:
    fleet = make_fleet(work_ms=800)
    fill(fleet, *itertools.repeat('patient', 4))
    lookup = fill(fleet, 'lookup')[0]
    started_ms = fleet.times.now_ms()
    fleet.run_for(100)
    answer = fleet.told_by_call[lookup]
    assert answer.outcome is outcomes.Outcome.NOT_RUN
    assert answer.at_ms - started_ms <= LOOKUP.aim_ms / 4
    assert 0 < answer.retry_after_ms < 500
    fleet.run_for(3000)
    assert lookup not in [run.call_id for run in fleet.runs]


def test_under_overload_the_newest_of_equal_calls_goes_first() -> None:
    (older, newer), started = run_queued('patient', 'patient')
    assert started.index(newer) < started.index(older)


def test_a_refused_call_can_be_retried_early_in_its_latency_target() -> None:
    fleet = make_fleet(work_ms=800)
    fill(fleet, *itertools.repeat('patient', 4))
    lookup = fill(fleet, 'lookup')[0]
    started_ms = fleet.times.now_ms()
    fleet.run_for(100)
    answer = fleet.told_by_call[lookup]
    retry_at_ms = answer.at_ms - started_ms + answer.retry_after_ms
    assert retry_at_ms < LOOKUP.aim_ms / 3


def test_a_queued_call_whose_caller_left_never_runs() -> None:
    fleet = make_fleet()
    fill(fleet, *itertools.repeat('patient', 4))
    queued = fill(fleet, 'patient')[0]
    fleet.step('entry-0', gateway_fleet.events.CallerLeft(queued))
    fleet.run_for(1000)
    assert queued not in [run.call_id for run in fleet.runs]


def half_close(fleet: gateway_fleet.GatewayFleet, call_id: int) -> None:
    half_closed = gateway_fleet.events.CallerHalfClosed(call_id)
    fleet.step('entry-0', half_closed)


def test_an_order_that_runs_is_answered_after_a_half_close() -> None:
    # Its work was given up, and its caller, which still waited, got nothing.
    fleet = make_fleet()
    order = fill(fleet, 'order')[0]
    fleet.run_for(20)
    half_close(fleet, order)
    fleet.run_for(1000)
    assert fleet.told_by_call[order].outcome is outcomes.Outcome.RAN


def test_work_that_can_be_repeated_ends_at_a_half_close() -> None:
    fleet = make_fleet()
    lookup = fill(fleet, 'lookup')[0]
    fleet.run_for(20)
    half_close(fleet, lookup)
    assert fleet.told_by_call[lookup].outcome is outcomes.Outcome.UNKNOWN


def test_an_order_that_waits_at_a_half_close_never_runs() -> None:
    # Nothing may be passed on half a second after its caller has left.
    fleet = make_fleet()
    fill(fleet, *itertools.repeat('patient', 4))
    queued = fill(fleet, 'order')[0]
    half_close(fleet, queued)
    fleet.run_for(1000)
    assert queued not in [run.call_id for run in fleet.runs]


def test_an_order_that_is_shed_after_a_half_close_is_not_sent_again() -> None:
    # As above, where the first target proves that it hasn't run.
    fleet = make_fleet(targets=2)
    for target in fleet.target_by_id.values():
        target.shed_share = 1
    order = fleet.call('entry-0', 'order', path='/order/')
    state = fleet.member_by_id['entry-0'].state
    routed_calls = state.routed.call_by_id
    while not routed_calls[order].attempts:
        fleet.run_for(0.1)
    half_close(fleet, order)
    fleet.run_for(1000)
    assert sum(each.arrivals for each in fleet.target_by_id.values()) == 1
    assert fleet.told_by_call[order].outcome is outcomes.Outcome.NOT_RUN


def test_a_full_service_of_a_split_refuses_its_share() -> None:
    fleet = make_fleet(work_ms=5000)
    fleet.add_target('sklad-0', 'sklad', slots=200)
    route = plans.route_of(LOOKUP)._replace(
        parts=(routes.SplitPart('burza', 1), routes.SplitPart('sklad', 1)),
    )
    plan = plans.Plan(
        'west',
        {},
        (plans.ServicePlan('burza', {}), plans.ServicePlan('sklad', {})),
        (LOOKUP,),
    )
    fleet.store.publish(
        plans.routing_of(plan, 9)._replace(
            routes_by_host={plans.HOST: (route,)},
        ),
    )
    fleet.run_for(2000)
    call_ids = fill(fleet, *itertools.repeat('lookup', 200))
    fleet.run_for(200)
    ran = collections.Counter(run.target_id for run in fleet.runs)
    refused = [
        call_id
        for call_id in call_ids
        if call_id in fleet.told_by_call
        and fleet.told_by_call[call_id].outcome is outcomes.Outcome.NOT_RUN
    ]
    assert ran['burza-0'] == 4
    assert 80 <= ran['sklad-0'] <= 120
    assert len(refused) == 200 - ran.total()


def simulate_demand(
    strength: float,
    crowded_factor: float = 1,
    seed: int = 3,
) -> gateway_days.Day:
    """Simulate 8 s of demand on targets with a capacity of about 300/s.

    The demand is ``strength`` times 240/s.
    """
    service = plans.ServicePlan(
        'burza',
        {'trnava': 5, 'nitra': 5},
        noise=NOISE,
        crowded_factor=crowded_factor,
    )
    kinds = (
        LOOKUP._replace(per_s=180, work=plans.Work(75), late_worth=0.1),
        ORDER._replace(per_s=60, work=plans.Work(100), aim_ms=300),
    )
    instances = {'trnava': 4, 'nitra': 4}
    plan = plans.Plan('west', instances, (service,), kinds)
    day = gateway_days.create(plan, seed, retry_slack=75)
    day.fleet.run_for(gateway_days.SETTLE_MS)
    day.demand.strength = strength
    day.demand.run_for(8000)
    day.fleet.run_for(2000)
    return day


def goodput(day: gateway_days.Day, kind: str = '') -> float:
    """Return how many requests met their latency target."""
    return sum(
        request.in_aim
        for request in day.demand.requests
        if kind in {'', request.kind.name}
    )


def test_goodput_does_not_fall_when_demand_doubles() -> None:
    assert goodput(simulate_demand(2)) >= goodput(simulate_demand(1))


def test_goodput_if_nearly_full_targets_slow_down() -> None:
    seeds = range(3, 7)
    below = sum(goodput(simulate_demand(0.7, 1.7, seed)) for seed in seeds)
    above = sum(goodput(simulate_demand(1.1, 1.7, seed)) for seed in seeds)
    assert above >= 0.75 * below


def test_under_overload_urgent_calls_are_served_as_often_as_others() -> None:
    day = simulate_demand(1.6)
    shares = {}
    for kind in ('lookup', 'order'):
        served = [
            request.served
            for request in day.demand.requests
            if request.kind.name == kind
        ]
        shares[kind] = sum(served) / len(served)
    assert shares['order'] >= shares['lookup'] - 0.05
