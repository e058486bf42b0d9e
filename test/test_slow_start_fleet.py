"""Cold targets get no more calls in any second than they tolerate.

All instances together may send a cold target 1.5 times its rate and 8 calls in
any second: 18.8 at a rate of 7.2, whatever the instances know of each other.
"""

import bisect
import typing

import pytest

from oleanderstair.domain.tables import operator_state
from oleanderstair.emulator import gateway_days, gateway_fleet, plans

PER_S = 7.2
BOUND = 1.5 * PER_S + 8
COLD_MS = 3000
LIMITS: dict[str, typing.Any] = {
    'retry_ratio': 0.2,
    'retry_slack': 75,
    'retry_window_s': 10,
    'probes_per_s': 60,
    'tick_ms': 100,
    'slow_start_overage': 1.5,
    'slow_start_slack': 8,
}
LOOKUP = plans.Kind(
    'lookup', 'burza', 240, plans.Work(70, most_ms=810), aim_ms=400
)
ORDER = plans.Kind(
    'order', 'burza', 60, plans.Work(100, most_ms=1100), False, aim_ms=500
)


def make_plan(instances, targets, places=3, strength=1.0):
    names = tuple(f'place-{number}' for number in range(places))
    service = plans.ServicePlan('burza', {place: targets for place in names})
    return plans.Plan(
        region='zapad',
        instances_by_data_centre={place: instances for place in names},
        services=(service,),
        kinds=tuple(
            kind._replace(per_s=kind.per_s * strength)
            for kind in (LOOKUP, ORDER)
        ),
    )


def start(plan, seed=1, **limits):
    """Start a busy fleet whose store states the slow start limit."""
    day = gateway_days.create(plan, seed, **{**LIMITS, **limits})
    limit = operator_state.SlowStartLimit(COLD_MS, PER_S)
    day.fleet.store.limit_by_service = {'burza': limit}
    for target in day.fleet.target_by_id.values():
        target.max_cold_arrivals = 2 * BOUND
    day.fleet.run_for(gateway_days.SETTLE_MS)
    day.demand.run_for(3000)
    return day


def targets_of(fleet, place):
    return [
        target
        for target in fleet.target_by_id.values()
        if target.data_centre == place
    ]


def most_in_second(target):
    """Return the most calls that came to a cold target in any second."""
    times = target.cold_arrivals_at_ms
    return max(
        (
            index + 1 - bisect.bisect_right(times, at_ms - 1000)
            for index, at_ms in enumerate(times)
        ),
        default=0,
    )


def most_of(fleet):
    return max(map(most_in_second, fleet.target_by_id.values()))


def turn_cold(fleet, place):
    for target in targets_of(fleet, place):
        target.turn_cold(COLD_MS)


def crash_and_return(fleet, place, back_after_ms):
    for target in targets_of(fleet, place):
        fleet.crash(target.target_id, back_after_ms)


def assert_not_starved(targets):
    """Each gets a call a second, and all together a third of their rate."""
    counts = [len(target.cold_arrivals_at_ms) for target in targets]
    assert min(counts) >= COLD_MS / 1000
    assert sum(counts) >= len(counts) * PER_S * COLD_MS / 1000 / 3


def split(fleet):
    """Cut the even instances of each data centre off from the odd ones."""
    for near in fleet.member_by_id:
        for far in fleet.member_by_id:
            if int(near[-1]) % 2 != int(far[-1]) % 2:
                fleet.links.cut(near, far)


def test_cold_targets_without_a_limit_get_too_many_calls():
    # Guards the load: without limits it must break the bound.
    day = start(make_plan(10, 8), slow_start_overage=0, slow_start_slack=0)
    day.demand.strength = 2
    turn_cold(day.fleet, 'place-0')
    day.demand.run_for(3500)
    assert most_of(day.fleet) > 1.3 * BOUND


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_a_data_centre_that_turns_cold_beside_a_burst(seed):
    # Guards against calls to targets that turn cold without any sign but
    # their health responses, and against cold targets without calls.
    day = start(make_plan(10, 8), seed)
    day.demand.strength = 2
    turn_cold(day.fleet, 'place-0')
    day.demand.run_for(3500)
    assert most_of(day.fleet) <= BOUND
    assert_not_starved(targets_of(day.fleet, 'place-0'))


@pytest.mark.parametrize('expired', [False, True])
def test_a_data_centre_that_crashed_and_returns_cold(expired):
    # Guards against the number of senders that follows from the entries, which
    # may have expired, and against calls before the new entries are known.
    day = start(make_plan(10, 8))
    back_after_ms = gateway_fleet.EXPIRY_MS + 3000 if expired else 1000
    crash_and_return(day.fleet, 'place-0', back_after_ms)
    day.demand.run_for(back_after_ms - 200)
    day.demand.strength = 2
    day.demand.run_for(4000)
    assert most_of(day.fleet) <= BOUND
    assert_not_starved(targets_of(day.fleet, 'place-0'))


def test_a_partition_into_two_halves():
    # Guards against two groups of senders that use the whole limit each.
    day = start(make_plan(10, 8))
    split(day.fleet)
    day.demand.run_for(6000)
    day.demand.strength = 2
    for place in ('place-0', 'place-1', 'place-2'):
        turn_cold(day.fleet, place)
    day.demand.run_for(3500)
    assert most_of(day.fleet) <= BOUND


def test_instances_that_see_nobody():
    # Guards against instances that take themselves for the only ones.
    day = start(make_plan(10, 8))
    for instance_id in day.fleet.member_by_id:
        for other_id in day.fleet.member_by_id:
            day.fleet.links.cut(instance_id, other_id)
    day.demand.run_for(6000)
    day.demand.strength = 2
    turn_cold(day.fleet, 'place-0')
    day.demand.run_for(3500)
    assert most_of(day.fleet) <= BOUND


def test_instances_that_restart_and_know_nobody():
    # Guards against started instances, which know neither the others nor that
    # targets are cold, and against full buckets at the start.
    day = start(make_plan(10, 8))
    fleet = day.fleet
    fleet.links.loss_share = 0.3
    day.demand.strength = 2
    turn_cold(fleet, 'place-0')
    for instance_id, member in tuple(fleet.member_by_id.items()):
        if instance_id.endswith(('1', '3', '5', '7', '9')):
            fleet.kill(instance_id)
            place = member.state.identity.data_centre
            fleet.add_instance(
                instance_id, place, ('entry-place-0-0',), **LIMITS
            )
    day.demand.run_for(3000)
    turn_cold(fleet, 'place-0')
    day.demand.run_for(3500)
    assert most_of(fleet) <= BOUND


def test_instances_that_learn_late():
    # Guards against instances that were frozen, or cut off from the store,
    # while a data centre crashed and came back.
    day = start(make_plan(10, 8))
    fleet = day.fleet
    crash_and_return(fleet, 'place-0', 1500)
    for instance_id in fleet.member_by_id:
        if instance_id.endswith(('1', '4', '7')):
            fleet.freeze(instance_id, 1700)
        if instance_id.endswith(('2', '5', '8')):
            fleet.links.isolate(instance_id)
            for target_id in fleet.target_by_id:
                fleet.links.cut(target_id, instance_id)
    day.demand.strength = 2
    day.demand.run_for(1600)
    fleet.links.mend()
    day.demand.run_for(4000)
    assert most_of(fleet) <= BOUND


def test_targets_that_turn_cold_again_and_again_at_311_instances():
    # Guards the bound at the largest number of instances.
    day = start(make_plan(104, 16))
    for place in ('place-0', 'place-1'):
        turn_cold(day.fleet, place)
        day.demand.run_for(1200)
    assert most_of(day.fleet) <= BOUND
