"""Guarantees of target choice, queue, retries, hedges and probes in faults."""

import collections
import functools

import hypothesis
import pytest
from hypothesis import strategies

from oleanderstair.domain import actions, outcomes, policy
from oleanderstair.emulator import harness
from test import helper

SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=15,
    suppress_health_check=list(hypothesis.HealthCheck),
)
BUDGET = 20
BEHAVIOURS = (
    harness.Behaviour.SERVE,
    harness.Behaviour.FAIL_FAST,
    harness.Behaviour.SILENT,
    harness.Behaviour.UNREACHABLE,
)


def fixed_service_ms(span_ms, received):
    return span_ms


def runs_by_path(fleet):
    return collections.Counter(run.path for run in fleet.runs)


def max_reads_in_a_second(fleet):
    times = sorted(
        at_ms
        for instance in fleet.instance_by_id.values()
        for at_ms, action in instance.action_log
        if isinstance(action, actions.Probe)
    )
    return 2 * max(
        (
            sum(start <= at_ms < start + 1000 for at_ms in times)
            for start in times
        ),
        default=0,
    )


@SETTINGS
@hypothesis.given(
    behaviours=strategies.lists(
        strategies.sampled_from(BEHAVIOURS), min_size=4, max_size=4
    ),
    queue_limit=strategies.sampled_from((0, 4)),
    service_ms=strategies.sampled_from((5, 60, 400)),
    count=strategies.integers(10, 120),
    seed=strategies.integers(0, 3),
)
def test_each_call_is_answered_once_and_runs_as_often_as_allowed(
    behaviours, queue_limit, service_ms, count, seed
):
    fleet = helper.make_harness(2, target_count=4, seed=seed)
    work = functools.partial(fixed_service_ms, service_ms)
    for target in fleet.target_by_id.values():
        target.queue_limit = queue_limit
        target.service_time = work
    for _ in range(60):
        fleet.call('entry-1')
        fleet.run_for(10)
    for target, behaviour in zip(
        fleet.target_by_id.values(), behaviours, strict=True
    ):
        target.behaviour = behaviour
    path_by_call = {}
    for number in range(count):
        method = 'POST' if number % 2 else 'GET'
        path = f'/{method}/{number}'
        call_id = fleet.call(
            f'entry-{1 + number % 2}', method=method, path=path
        )
        path_by_call[call_id] = path
        fleet.run_for(number % 5)
    fleet.run_for(3000)
    runs = runs_by_path(fleet)
    for call_id, path in path_by_call.items():
        answer = fleet.told_by_call[call_id]
        if path.startswith('/POST'):
            assert runs[path] <= 1
        if answer.outcome is outcomes.Outcome.NOT_RUN:
            assert not runs[path]
    for instance in fleet.instance_by_id.values():
        assert not instance.state.calls.call_by_id
        conditions = instance.state.targets.condition_by_id.values()
        assert all(not condition.in_flight for condition in conditions)
        queues = instance.state.calls.queue_by_service.values()
        assert all(not queue.length for queue in queues)


@pytest.mark.parametrize('behaviour', BEHAVIOURS[1:3])
def test_repeated_runs_stay_within_the_retry_budgets(behaviour):
    fleet = helper.make_harness(1, target_count=6)
    for target in list(fleet.target_by_id.values())[:4]:
        target.behaviour = behaviour
    for number in range(300):
        fleet.call('entry-1', path=f'/{number}')
        fleet.run_for(5)
    fleet.run_for(3000)
    repeats = sum(runs - 1 for runs in runs_by_path(fleet).values())
    assert repeats <= 300 * (0.1 + 0.02) + 4


def test_deferrable_calls_are_refused_first_and_refusals_are_prompt():
    fleet = helper.make_harness(1, target_count=2)
    fleet.publish(
        {
            'changed': {
                'services': [
                    {
                        'name': helper.SERVICE,
                        'region': 'west',
                        'rules': [
                            {
                                'path_prefix': '/later',
                                'call_class': 'deferrable',
                            },
                        ],
                    },
                ],
            },
        },
    )
    fleet.run_for(3000)
    for target in fleet.target_by_id.values():
        target.service_time = functools.partial(fixed_service_ms, 40)
    started_by_call = {}
    for _ in range(400):
        for path in ('/now', '/later'):
            call_id = fleet.call('entry-1', path=path)
            started_by_call[call_id] = (path, fleet.clock.now_ms())
            table = fleet.instance_by_id['entry-1'].state.calls
            limit = policy.Policy().queue_limit
            assert len(table.call_by_id) <= limit + 2 * 4
        fleet.run_for(5)
    fleet.run_for(2000)
    refused = collections.Counter()
    for call_id, (path, at_ms) in started_by_call.items():
        answer = fleet.told_by_call[call_id]
        if answer.outcome is outcomes.Outcome.NOT_RUN:
            refused[path] += 1
            assert answer.at_ms - at_ms < 500
    assert refused['/later'] > 390
    assert refused['/now'] < 250


@pytest.mark.parametrize('seed', range(3))
def test_probes_stay_within_the_budget_in_any_second(seed):
    fleet = helper.make_harness(20, target_count=15, seed=seed)
    fleet.run_for(6000)
    fleet.link_rule = lambda sender, receiver, message: (
        (harness.HOP_MS,) if sender[-1] == receiver[-1] else ()
    )
    listed = dict(fleet.listed)
    for number in (3, 8, 13):
        fleet.kill(f'entry-{number}')
        fleet.add_instance(f'entry-{number}', confirm_without_peers=True)
        fleet.run_for(700)
    for name in list(listed)[::2]:
        fleet.listed.pop(name)
    fleet.run_for(6000)
    fleet.listed.update(listed)
    fleet.run_for(6000)
    assert 0 < max_reads_in_a_second(fleet) <= BUDGET


def test_ejections_end_while_most_targets_fail():
    fleet = helper.make_harness(1, target_count=4)
    for target in fleet.target_by_id.values():
        target.behaviour = harness.Behaviour.FAIL_FAST
    for _ in range(100):
        fleet.call('entry-1')
        fleet.run_for(10)
    kinds = collections.Counter(
        change.why
        for change in helper.actions_of(fleet, 'entry-1', actions.Audit)
    )
    assert kinds['doubted'] >= 1
    known = fleet.instance_by_id['entry-1'].state.targets.condition_by_id
    now_ms = fleet.clock.now_ms()
    ejected = sum(now_ms < row.ejected_until_ms for row in known.values())
    assert ejected <= 2


def test_a_freed_slot_is_used_before_the_retry_after_time():
    fleet = helper.make_harness(count=2, target_count=1)
    target = fleet.target_by_id['burza-1']
    fleet.run_for(20_000)
    target.service_time = lambda received: 20
    for _ in range(target.slots):
        fleet.call('entry-1')
    fleet.run_for(2)
    late = fleet.call('entry-2')
    started_ms = fleet.clock.now_ms()
    fleet.run_for(harness.SHED_RETRY_AFTER_MS)
    assert target.shed
    answer = fleet.told_by_call[late]
    assert answer.outcome is outcomes.Outcome.RAN
    assert answer.at_ms - started_ms < harness.SHED_RETRY_AFTER_MS / 2


def test_a_refusal_relayed_by_a_target_is_not_retried():
    fleet = helper.make_harness(target_count=3)
    for target in fleet.target_by_id.values():
        target.slots = 0
        target.passes_on = True
    call_id = fleet.call('entry-1')
    fleet.run_for(1000)
    answer = fleet.told_by_call[call_id]
    assert answer.outcome is outcomes.Outcome.NOT_RUN
    assert answer.reason is outcomes.Reason.TARGET_REFUSED
    assert sum(target.shed for target in fleet.target_by_id.values()) == 1
