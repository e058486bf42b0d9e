"""Leaving targets receive no new calls; outdated reports have no effect."""

import hypothesis
from hypothesis import strategies

from oleanderstair.domain import balancer, events, messages, outcomes
from oleanderstair.domain.tables import catalogue, targets
from test import helper

TARGET = catalogue.Target('burza-1', 'burza', 'a:1', 'trnava', 4)
NOW_MS = 10000
STOP_BOUND_MS = 2000


def world_with_target():
    state = helper.make_world()
    service = catalogue.Service('burza', 'west')
    state.catalogue.in_force = catalogue.Catalogue(
        1,
        'digest',
        {'burza': service},
        {'burza-1': TARGET},
        {'burza': ('burza-1',)},
    )
    return state


def make_fact(at_ms, incarnation, leaving):
    origin = f'entry-{at_ms}~1'
    body = messages.TargetLeaving('burza-1', incarnation, leaving)
    return messages.Fact('leaving/burza-1', origin, 1, NOW_MS - at_ms, body)


LEFT = make_fact(1000, 'old', leaving=True)
RETURNED = make_fact(2000, 'new', leaving=False)
LEFT_AGAIN = make_fact(3000, 'new', leaving=True)


def is_leaving_after(facts):
    state = world_with_target()
    for fact in facts:
        balancer.step(state, events.FactAdopted(fact), NOW_MS)
    return targets.condition_of(state.targets, 'burza-1').leaving


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(strategies.data())
def test_newest_fact_wins_in_any_order_of_arrival(drawn):
    left_and_returned = strategies.permutations(
        [LEFT, RETURNED, LEFT, RETURNED]
    )
    assert not is_leaving_after(drawn.draw(left_and_returned))
    left_again = strategies.permutations([LEFT, RETURNED, LEFT_AGAIN, LEFT])
    assert is_leaving_after(drawn.draw(left_again))


def probe(state, incarnation, now_ms, leaving=False):
    report = events.TargetReport(
        healthy=True,
        leaving=leaving,
        incarnation=incarnation,
    )
    balancer.step(state, events.ProbeEnded('burza-1', report, 1), now_ms)
    return targets.condition_of(state.targets, 'burza-1').leaving


def test_late_health_report_does_not_resume_a_target():
    state = world_with_target()
    assert probe(state, 'old', 1000, leaving=True)
    assert probe(state, 'old', 1500)
    assert not probe(state, 'new', 2000)
    late_fact = make_fact(1900, 'old', leaving=True)
    balancer.step(state, events.FactAdopted(late_fact), 2100)
    assert not targets.condition_of(state.targets, 'burza-1').leaving
    assert 'burza-1' in state.targets.ramp_by_id


def test_one_answer_drains_a_target_at_all_instances_without_lost_calls():
    fleet = helper.make_harness(6, target_count=3)
    target = fleet.target_by_id['burza-1']
    target.service_time = lambda received: 300
    call_ids = []

    def send():
        call_ids.append(fleet.call(f'entry-{fleet.rng.randint(1, 6)}'))
        fleet.after(10, send)

    send()
    fleet.run_for(1000)
    target.leaving = True
    left_at_ms = fleet.clock.now_ms()
    fleet.run_for(8000)
    late_runs = [
        run
        for run in fleet.runs
        if run.target_id == 'burza-1' and run.at_ms > left_at_ms + STOP_BOUND_MS
    ]
    assert not late_runs
    assert all(
        fleet.told_by_call[call_id].outcome is outcomes.Outcome.RAN
        for call_id in call_ids[:-200]
    )


def test_withdrawn_service_refuses_queued_calls_and_finishes_running_ones():
    fleet = helper.make_harness(1, target_count=1)
    target = fleet.target_by_id['burza-1']
    target.service_time = lambda received: 3000
    running = [
        fleet.call('entry-1', budget_ms=9000) for _ in range(target.slots)
    ]
    queued = fleet.call('entry-1', budget_ms=9000)
    fleet.publish(
        {'withdrawn': {'services': ['burza'], 'targets': ['burza-1']}},
    )
    fleet.run_for(2500)
    assert fleet.told_by_call[queued].outcome is outcomes.Outcome.NOT_RUN
    state = fleet.instance_by_id['entry-1'].state
    assert state.targets.condition_by_id['burza-1'].in_flight == target.slots
    fleet.run_for(2000)
    assert all(
        fleet.told_by_call[call_id].outcome is outcomes.Outcome.RAN
        for call_id in running
    )
    assert not state.targets.condition_by_id
    assert not state.calls.queue_by_service
