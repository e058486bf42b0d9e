"""Admission by urgency while the capacity of a service is short."""

import itertools
import random
import statistics

import pytest

from oleanderstair.domain import events, outcomes
from oleanderstair.domain.admission import (
    decide,
    pressure,
    reserved_slots,
    threshold,
    urgency,
)
from oleanderstair.domain.tables import (
    admission,
    concurrency,
    routed,
    routes,
)
from oleanderstair.domain.targets import slot_estimates
from oleanderstair.emulator import gateway_fleet, plans
from oleanderstair.explaining import gauges

URGENT = plans.Kind('urgent', 'burza', 0, plans.Work(40), rank=0)
MIDDLE = plans.Kind('middle', 'burza', 0, plans.Work(40), rank=1, aim_ms=400)
LEAST = plans.Kind('least', 'burza', 0, plans.Work(40), rank=2, aim_ms=2000)


def make_fleet(**limits):
    """Return a fleet of one instance and one target with four slots."""
    fleet = gateway_fleet.create(1)
    target = fleet.add_target('burza-0', 'burza')
    target.work = lambda received, rng: 60
    fleet.publish(URGENT, MIDDLE, LEAST)
    state = fleet.add_instance('entry-0', **limits)
    # The instance has learned that these targets don't slow down when full.
    state.concurrency.latency_ratio_by_level['burza', 4] = concurrency.LogMean(
        0, 20
    )
    fleet.run_for(3000)
    return fleet, state


def limit_to(state, level):
    """Let the least urgent rank carry half of the load at some level."""
    row = admission.admission_for(state.admission, 'burza')
    row.level = level
    row.adjusted_at_ms = 1_000_000
    for rank, slot_ms in ((0, 100_000), (1, 100_000), (2, 200_000)):
        threshold.record_offered(row, rank, slot_ms, 3000)
    return row


def count_rejected(fleet, kind, count):
    call_ids = []
    for _ in range(count):
        call_ids.append(fleet.call('entry-0', kind, deadline_ms=1000))
        fleet.run_for(100)
    return sum(
        fleet.told_by_call[call_id].reason is outcomes.Reason.NOT_ADMITTED
        for call_id in call_ids
    )


# The control loop


def test_a_level_does_not_move_between_ample_and_short_capacity():
    # Guards against levels that swing between two windows.
    level = 0.8
    assert threshold.next_level(level, 0.9, 0.3) == level
    assert threshold.next_level(level, 1.1, 0.3) < level
    assert threshold.next_level(level, 0.5, 0.3) > level


def test_a_level_stays_within_its_bounds():
    level = 1
    min_level = 0.6
    for _ in range(50):
        level = threshold.next_level(level, 5, min_level)
    assert level == min_level
    for _ in range(50):
        level = threshold.next_level(level, 0, min_level)
    assert level == 1


def test_many_instances_that_each_see_a_part_settle_without_oscillation():
    # Guards against a fleet whose levels all swing together: the pressure
    # follows the mean level of 169 instances, each with an error of its own.
    rng = random.Random(1)
    levels = list(itertools.repeat(1, 169))
    means = []
    for _ in range(60):
        load = 1.25 * statistics.fmean(levels)
        levels = [
            threshold.next_level(level, load * rng.uniform(0.8, 1.2), 0.5)
            for level in levels
        ]
        means.append(statistics.fmean(levels))
    settled = means[20:]
    assert max(settled) - min(settled) < threshold.INCREASE_STEP
    assert statistics.fmean(settled) == pytest.approx(0.75, abs=0.15)


def test_the_least_urgent_rank_is_cut_first_and_never_wholly():
    # Guards against a kind that is served under a quarter as often as all.
    mix = {0: 100, 1: 100, 2: 200}
    minimum = {0: 1, 1: 1, 2: 0.35}
    shares = threshold.rank_shares(0.8, mix, minimum)
    assert shares == {0: 1, 1: 1, 2: pytest.approx(0.6)}
    assert threshold.rank_shares(0.1, mix, minimum) == minimum


def test_one_rank_alone_is_not_cut_by_rank():
    fleet, state = make_fleet(admission_by_rank=True)
    assert urgency.urgency_of(state, 'other', 1) == urgency.NEUTRAL
    assert threshold.min_rank_share(state, 'other', 1) == 1


def test_ranks_of_a_split_count_at_each_of_its_services():
    # Guards against calls of a split that are judged by its first service.
    fleet, state = make_fleet(admission_by_rank=True)
    route = plans.route_of(URGENT)
    parts = (routes.SplitPart('burza', 1), routes.SplitPart('sklad', 1))
    least = plans.route_of(LEAST)._replace(
        parts=(routes.SplitPart('sklad', 1),)
    )
    state.routes.in_force = state.routes.in_force._replace(
        routes_by_host={plans.HOST: (route._replace(parts=parts), least)}
    )
    assert urgency.ranks_of(state, 'burza') == (0,)
    assert urgency.ranks_of(state, 'sklad') == (0, 2)


def test_sheds_by_targets_with_free_slots_are_no_shortage():
    # Guards against rejections where a retry elsewhere is served.
    fleet, state = make_fleet(admission_by_rank=True)
    fleet.target_by_id['burza-0'].shed_share = 1
    for _ in range(40):
        fleet.call('entry-0', 'least')
        fleet.run_for(50)
    row = admission.admission_for(state.admission, 'burza')
    assert fleet.target_by_id['burza-0'].sheds >= 40
    measured = pressure.pressure_of(row, fleet.times.now_ms())
    assert measured < threshold.AMPLE_PRESSURE
    assert row.level == 1


# Arrivals


def test_a_rejected_call_is_told_at_once_that_it_has_not_run():
    fleet, state = make_fleet(admission_by_rank=True)
    limit_to(state, 0.3)
    refused = count_rejected(fleet, 'least', 20)
    assert 20 * (1 - threshold.LEAST_URGENT_SHARE) - 1 <= refused <= 14
    assert not count_rejected(fleet, 'urgent', 20)
    assert not count_rejected(fleet, 'middle', 20)
    told = [
        answer
        for answer in fleet.told_by_call.values()
        if answer.reason is outcomes.Reason.NOT_ADMITTED
    ]
    assert {answer.outcome for answer in told} == {outcomes.Outcome.NOT_RUN}
    assert {answer.status for answer in told} == {503}
    assert fleet.counts['admission-rejected', 'service=burza rank=2'] == refused
    assert len(fleet.runs) == 60 - refused
    figures = {
        gauge.name: gauge.figure
        for gauge in gauges.read(state, fleet.times.now_ms())
    }
    assert figures['admission_level'] == pytest.approx(0.3)
    assert 'admission_pressure' in figures


def test_retry_after_fits_the_deadline_and_is_spread():
    # Guards against callers that return together, or too late for an answer.
    fleet, state = make_fleet(admission_by_rank=True)
    limit_to(state, 0.3)
    count_rejected(fleet, 'least', 40)
    waits = [
        answer.retry_after_ms
        for answer in fleet.told_by_call.values()
        if answer.reason is outcomes.Reason.NOT_ADMITTED
    ]
    assert 0 < min(waits)
    assert max(waits) <= 1000 * decide.MAX_CALLER_WAIT_SHARE
    assert max(waits) > 2 * min(waits)
    assert len(set(waits)) == len(waits)


def test_returned_calls_are_rejected_less_often():
    # Guards against callers that use up their retries on rejections.
    fleet, state = make_fleet(admission_by_rank=True)
    row = limit_to(state, 0.3)
    arrival = decide.Arrival(
        received=events.CallReceived(1, '', 'GET', '/least/', 10_000),
        route=plans.route_of(LEAST),
        service='burza',
        caller_waited_ms=0,
    )
    rejected = {}
    for waited_ms in (0, 300):
        row.credit_by_route.clear()
        returned = arrival._replace(caller_waited_ms=waited_ms)
        rejected[waited_ms] = sum(
            bool(decide.reject_or_admit(state, returned, 4000))
            for _ in range(100)
        )
    assert rejected[300] <= rejected[0] / 2 + 1


def test_a_call_forwarded_by_a_peer_is_not_rejected_again():
    # The previous build doesn't know the reason of the rejection either.
    fleet, state = make_fleet(admission_by_rank=True)
    limit_to(state, 0.3)
    received = events.CallReceived(
        1, '', 'GET', '/least/', 10_000, from_peer='entry-1'
    )
    arrival = decide.Arrival(received, plans.route_of(LEAST), 'burza', 0)
    for _ in range(10):
        assert not decide.reject_or_admit(state, arrival, 4000)


def test_an_urgent_call_is_queued_until_it_would_be_late():
    # Guards against refusing an urgent call after a quarter of its short
    # latency target while less urgent calls remain queued.
    after_ms = {}
    for is_on in (False, True):
        fleet, _ = make_fleet(admission_by_rank=is_on)
        fleet.target_by_id['burza-0'].work = lambda received, rng: 900
        for _ in range(4):
            fleet.call('entry-0', 'least', deadline_ms=4000)
            fleet.run_for(2)
        call_id = fleet.call('entry-0', 'urgent')
        sent_at_ms = fleet.times.now_ms()
        fleet.run_for(500)
        told = fleet.told_by_call[call_id]
        assert told.outcome is outcomes.Outcome.NOT_RUN
        after_ms[is_on] = told.at_ms - sent_at_ms
    assert after_ms[True] > 2 * after_ms[False]
    assert after_ms[True] < URGENT.aim_ms


def test_the_last_free_slot_is_left_to_urgent_calls_while_slots_are_short():
    # Guards against long calls that occupy the slots of many urgent ones.
    fleet, state = make_fleet(admission_by_rank=True)
    for _ in range(3):
        fleet.call('entry-0', 'urgent')
        fleet.run_for(1)
    now_ms = fleet.times.now_ms()
    state.routed.slots_short_at_ms_by_service['burza'] = now_ms
    assert slot_estimates.free_slots(state, 'burza-0', now_ms) == 1
    received = events.CallReceived(9, '', 'GET', '/', now_ms + 1000)
    reserved = {
        (kind.name, waited_ms): reserved_slots.is_reserved(
            state,
            routed.RoutedCall(
                received, plans.route_of(kind), 'burza', now_ms, 0, waited_ms
            ),
            'burza-0',
            now_ms,
        )
        for kind in (URGENT, MIDDLE, LEAST)
        for waited_ms in (0, 100)
    }
    kept = [key for key, is_reserved in reserved.items() if is_reserved]
    # A call that has returned may use it, and one in four of the others, so
    # that no kind is starved.
    assert kept == [('least', 0)]


def test_changes_of_level_are_audited_once_a_second_at_most():
    # Guards against a log line of each instance in each window.
    _, state = make_fleet(admission_by_rank=True)
    row = limit_to(state, 1)
    audited_at_ms = []
    for number in range(400):
        now_ms = 4000 + 50 * number
        for _ in range(2):
            pressure.record_call(state, 'burza', now_ms)
            if number < 200:
                pressure.record_short(state, 'burza', now_ms)
        row.adjusted_at_ms = min(row.adjusted_at_ms, now_ms - 1)
        done = threshold.on_tick(state, events.Tick(), now_ms)
        audited_at_ms.extend(now_ms for _ in done)
    assert row.level == 1
    assert 2 <= len(audited_at_ms) <= 8
    gaps = [
        later - earlier for earlier, later in itertools.pairwise(audited_at_ms)
    ]
    assert min(gaps) >= threshold.MIN_AUDIT_INTERVAL_MS


def test_nothing_is_recorded_without_the_setting():
    # Guards against drawn numbers and decisions that differ with it off.
    fleet, state = make_fleet()
    fleet.call('entry-0', 'urgent')
    fleet.run_for(1000)
    assert not state.admission.admission_by_service
