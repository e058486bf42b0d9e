"""Instances that reach no target forward their calls to peers."""

import math

import pytest

from oleanderstair.domain import actions, events, messages, outcomes
from oleanderstair.domain.tables import load_reports
from oleanderstair.emulator import gateway_fleet, gateway_targets, plans
from test import fleets

LOOKUP = plans.Kind('lookup', 'burza', 0, plans.Work(40))
ORDER = plans.Kind('order', 'burza', 0, plans.Work(40), idempotent=False)
CENTRES = ('trnava', 'nitra', 'senec', 'pezinok')
WINDOW_MS = 3000


def make_fleet(instance_count, target_count=24, seed=1):
    fleet = gateway_fleet.create(seed)
    for number in range(target_count):
        centre = CENTRES[number % len(CENTRES)]
        fleet.add_target(f'burza-{number}', 'burza', centre)
    fleet.publish(LOOKUP, ORDER)
    for number in range(instance_count):
        fleet.add_instance(
            f'entry-{number}',
            CENTRES[number % len(CENTRES)],
            assumed_instances=1,
        )
    fleet.run_for(1000)
    states = [member.state for member in fleet.member_by_id.values()]
    fleets.introduce(states, fleet.times.now_ms())
    fleet.run_for(1500)
    return fleet


def call_each(fleet, instance_ids, kind, span_ms):
    """Send a call to each instance in turn, one every 5 ms; return the ids."""
    call_ids = []
    for step in range(int(span_ms / 5)):
        instance_id = instance_ids[step % len(instance_ids)]
        call_ids.append(fleet.call(instance_id, kind, deadline_ms=1000))
        fleet.run_for(5)
    fleet.run_for(1500)
    return call_ids


def unserved(fleet, call_ids):
    return [
        call_id
        for call_id in call_ids
        if fleet.told_by_call[call_id].outcome is not outcomes.Outcome.RAN
    ]


def assert_nearly_all_ran(fleet, call_ids):
    assert len(unserved(fleet, call_ids)) * 20 < len(call_ids)


def arrival_count(fleet):
    return sum(target.arrivals for target in fleet.target_by_id.values())


def running_count(fleet):
    return sum(len(target.running) for target in fleet.target_by_id.values())


def isolate(fleet, numbers):
    isolated = [f'entry-{number}' for number in numbers]
    for instance_id in isolated:
        fleet.cut_from_targets(instance_id)
    call_each(fleet, isolated, 'lookup', WINDOW_MS - 1500)
    return isolated


def assert_each_ran_once_at_most(fleet):
    runs = [run.request_id for run in fleet.runs if run.path == '/order/']
    assert len(runs) == len(set(runs))
    assert not fleet.told_twice


# Guards against callers of instances without targets that are not served.
@pytest.mark.parametrize('kind', ['lookup', 'order'])
@pytest.mark.parametrize('isolated_count', [5, 12, 17])
def test_calls_at_isolated_instances_are_served(kind, isolated_count):
    fleet = make_fleet(20)
    isolated = isolate(fleet, range(isolated_count))
    call_ids = call_each(fleet, isolated, kind, 2000)
    assert_nearly_all_ran(fleet, call_ids)
    assert_each_ran_once_at_most(fleet)


def test_most_of_311_instances_are_served_while_isolated():
    fleet = make_fleet(311, target_count=60)
    isolated = isolate(fleet, range(187))
    call_ids = call_each(fleet, isolated, 'order', 1000)
    assert_nearly_all_ran(fleet, call_ids)
    assert_each_ran_once_at_most(fleet)


def test_calls_of_an_isolated_data_centre_are_served():
    fleet = make_fleet(20)
    isolated = isolate(fleet, range(0, 20, len(CENTRES)))
    call_ids = call_each(fleet, isolated, 'order', 2000)
    assert_nearly_all_ran(fleet, call_ids)
    assert_each_ran_once_at_most(fleet)


def test_an_instance_serves_by_itself_once_its_links_are_back():
    fleet = make_fleet(8)
    isolated = isolate(fleet, range(4))
    fleet.links.mend()
    fleet.run_for(1500)
    hops = fleet.hops.count
    call_ids = call_each(fleet, isolated, 'lookup', 500)
    assert not unserved(fleet, call_ids)
    assert fleet.hops.count == hops


# Guards against calls that go round among instances without targets.
def test_calls_are_refused_at_once_if_all_instances_are_isolated():
    fleet = make_fleet(8)
    isolated = isolate(fleet, range(8))
    hops = fleet.hops.count
    call_ids = call_each(fleet, isolated, 'order', 500)
    assert fleet.hops.count == hops
    assert unserved(fleet, call_ids) == call_ids


# Guards against a call that runs again as its caller hears of the hop's loss.
def test_an_order_whose_answer_is_lost_on_the_hop_is_unknown():
    fleet = make_fleet(8)
    isolated = isolate(fleet, range(4))
    for other in range(4, 8):
        fleet.links.cut(f'entry-{other}', isolated[0])
    call_ids = call_each(fleet, isolated[:1], 'order', 300)
    told = {fleet.told_by_call[call_id].outcome for call_id in call_ids}
    assert outcomes.Outcome.NOT_RUN not in told
    assert_each_ran_once_at_most(fleet)


def is_report(action):
    return isinstance(action, actions.SendPeer) and isinstance(
        action.message, messages.PeerIsolated
    )


def isolate_at_once(fleet, instance_id):
    state = fleet.member_by_id[instance_id].state
    state.reachability.reached_at_ms = -math.inf
    for number in range(3):
        failed = events.LoadRead(f'burza-{number}', None, 500)
        fleet.step(instance_id, failed)


def reach_at_once(fleet, instance_id):
    report = load_reports.Report(0, 0, 4)
    fleet.step(instance_id, events.LoadRead('burza-1', report, 1))


def test_an_instance_that_is_isolated_often_reports_it_seldom():
    fleet = make_fleet(8)
    reports = []

    def observe(state, event, done):
        if state.identity.instance_id == 'entry-1':
            told = [action for action in done if is_report(action)]
            reports.extend(told[:1])

    fleet.on_step.append(observe)
    for _ in range(10):
        isolate_at_once(fleet, 'entry-1')
        fleet.run_for(30)
        reach_at_once(fleet, 'entry-1')
        fleet.run_for(30)
    state = fleet.member_by_id['entry-2'].state
    assert fleet.counts['isolations', ''] == 10
    assert len(reports) <= 2
    fleet.run_for(2000)
    assert not state.reachability.isolated_until_ms_by_peer


# Guards against work for a caller that has left, at the other end of the hop.
def test_a_caller_that_leaves_ends_its_call_at_the_peer():
    fleet = make_fleet(8)
    isolated = isolate(fleet, range(4))
    for target in fleet.target_by_id.values():
        target.behaviour = gateway_targets.Behaviour.HANG
    call_id = fleet.call(isolated[0], 'lookup', deadline_ms=5000)
    fleet.run_for(300)
    assert running_count(fleet) == 1
    fleet.leave_call(isolated[0], call_id)
    fleet.run_for(300)
    assert running_count(fleet) == 0


def test_retries_of_forwarded_calls_stay_within_the_budget():
    fleet = make_fleet(20)
    isolated = isolate(fleet, range(12))
    for target in fleet.target_by_id.values():
        target.fail_share = 0.7
    before = arrival_count(fleet)
    call_ids = call_each(fleet, isolated, 'lookup', 4000)
    arrived = arrival_count(fleet) - before
    policy = next(iter(fleet.member_by_id.values())).state.policy
    allowed = policy.retry_ratio * len(call_ids) + policy.retry_slack
    assert arrived - len(call_ids) <= allowed
