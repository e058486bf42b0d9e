"""Use of the slots of targets that slow down when nearly full.

With more than four of six slots in use a call takes 1.7 times as long, so that
six concurrent calls give a lower throughput than four.
"""

import functools

import pytest

from oleanderstair.domain.fleet import host_assignment
from oleanderstair.domain.tables import concurrency as levels
from oleanderstair.domain.targets import concurrency
from oleanderstair.emulator import (
    gateway_days,
    gateway_fleet,
    neighbours,
    plans,
)

SLOTS = 6
LOOKUP = plans.Kind(
    'lookup',
    'stock',
    250,
    plans.Work(160, tail_share=0, most_ms=1200),
    aim_ms=400,
    deadline_ms=3000,
    timeout_ms=1500,
    retries=2,
)


@functools.cache
def run_day(crowded_factor, strength=1.0):
    service = plans.ServicePlan(
        'stock',
        {'oulu': 5, 'kemi': 5},
        slots=SLOTS,
        noise=neighbours.NONE,
        crowded_factor=crowded_factor,
    )
    plan = plans.Plan('north', {'oulu': 3, 'kemi': 3}, (service,), (LOOKUP,))
    day = gateway_days.create(plan, 3, retry_slack=40, tick_ms=100)
    for target in day.fleet.target_by_id.values():
        target.hangs_when_full = False
    day.fleet.run_for(gateway_days.SETTLE_MS)
    day.demand.strength = strength
    day.demand.run_for(6000)
    day.fleet.run_for(3000)
    return day


def usable_slots(day):
    """Return the usable slots as estimated by each assigned instance."""
    return [
        concurrency.usable_slots(member.state, 'stock', SLOTS)
        for member in day.fleet.member_by_id.values()
        if member.instance_id
        in host_assignment.instance_ids_for_service(
            member.state,
            'stock',
            member.state.identity.data_centre,
        )
    ]


def percent_in_aim(day):
    requests = day.demand.requests
    return 100 * sum(request.in_aim for request in requests) // len(requests)


def test_slots_that_lower_throughput_are_not_used():
    assert set(usable_slots(run_day(1.7))) == {4}


def test_all_slots_are_used_if_that_raises_throughput():
    assert set(usable_slots(run_day(1.0, 1.4))) == {SLOTS}


def test_calls_meet_the_latency_target_at_90_percent_of_capacity():
    # Ten targets with four calls each answer 250 calls per second.
    assert percent_in_aim(run_day(1.7, 0.9)) > 90


def test_targets_without_slowdown_meet_the_latency_target_at_higher_load():
    assert percent_in_aim(run_day(1.0, 1.25)) > 90


@pytest.mark.parametrize(
    ('slots', 'known', 'expected'),
    [
        (6, {}, 4),
        (4, {}, 3),
        (1, {}, 1),
        (2, {}, 2),
        (16, {}, 12),
        (6, {5: 0}, 5),
        (6, {5: 0, 6: 0}, 6),
        (6, {5: 0, 6: 0.3}, 5),
        (6, {5: 0.5, 6: 0}, 4),
        (6, {4: 0.4}, 3),
    ],
)
def test_usable_slots_follow_the_learned_slowdown(slots, known, expected):
    fleet = gateway_fleet.create(1)
    state = fleet.add_instance('entry-0')
    for running, mean in known.items():
        state.concurrency.latency_ratio_by_level['stock', running] = (
            levels.LogMean(mean, 20)
        )
    assert concurrency.usable_slots(state, 'stock', slots) == expected
