"""Promises of choice, queue, retries, hedges and measuring under faults."""

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


def work_ms(span_ms, received):
    return span_ms


def runs_by_path(made):
    return collections.Counter(run.path for run in made.runs)


def most_reads_in_a_second(made):
    times = sorted(
        at_ms
        for instance in made.instance_by_id.values()
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
def test_each_call_is_told_once_and_run_as_often_as_it_may(
    behaviours, queue_limit, service_ms, count, seed
):
    made = helper.make_harness(2, target_count=4, seed=seed)
    work = functools.partial(work_ms, service_ms)
    for target in made.target_by_id.values():
        target.queue_limit = queue_limit
        target.service_time = work
    for _ in range(60):
        made.call('entry-1')
        made.run_for(10)
    for target, behaviour in zip(
        made.target_by_id.values(), behaviours, strict=True
    ):
        target.behaviour = behaviour
    path_by_call = {}
    for number in range(count):
        method = 'POST' if number % 2 else 'GET'
        path = f'/{method}/{number}'
        call_id = made.call(f'entry-{1 + number % 2}', method=method, path=path)
        path_by_call[call_id] = path
        made.run_for(number % 5)
    made.run_for(3000)
    runs = runs_by_path(made)
    for call_id, path in path_by_call.items():
        told = made.told_by_call[call_id]
        if path.startswith('/POST'):
            assert runs[path] <= 1
        if told.outcome is outcomes.Outcome.NOT_RUN:
            assert not runs[path]
    for instance in made.instance_by_id.values():
        assert not instance.state.calls.call_by_id
        conditions = instance.state.targets.condition_by_id.values()
        assert all(not condition.in_flight for condition in conditions)
        queues = instance.state.calls.queue_by_service.values()
        assert all(not queue.length for queue in queues)


@pytest.mark.parametrize('behaviour', BEHAVIOURS[1:3])
def test_repeated_runs_stay_within_the_budgets(behaviour):
    made = helper.make_harness(1, target_count=6)
    for target in list(made.target_by_id.values())[:4]:
        target.behaviour = behaviour
    for number in range(300):
        made.call('entry-1', path=f'/{number}')
        made.run_for(5)
    made.run_for(3000)
    repeats = sum(runs - 1 for runs in runs_by_path(made).values())
    assert repeats <= 300 * (0.1 + 0.02) + 4


def test_deferrable_calls_are_refused_first_and_all_at_once_or_in_time():
    made = helper.make_harness(1, target_count=2)
    made.publish(
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
    made.run_for(3000)
    for target in made.target_by_id.values():
        target.service_time = functools.partial(work_ms, 40)
    started_by_call = {}
    for _ in range(400):
        for path in ('/now', '/later'):
            call_id = made.call('entry-1', path=path)
            started_by_call[call_id] = (path, made.clock.now_ms())
            table = made.instance_by_id['entry-1'].state.calls
            limit = policy.Policy().queue_limit
            assert len(table.call_by_id) <= limit + 2 * 4
        made.run_for(5)
    made.run_for(2000)
    refused = collections.Counter()
    for call_id, (path, at_ms) in started_by_call.items():
        told = made.told_by_call[call_id]
        if told.outcome is outcomes.Outcome.NOT_RUN:
            refused[path] += 1
            assert told.at_ms - at_ms < 500
    assert refused['/later'] > 390
    assert refused['/now'] < 250


@pytest.mark.parametrize('seed', range(3))
def test_measuring_stays_within_the_budget_in_any_second(seed):
    made = helper.make_harness(20, target_count=15, seed=seed)
    made.run_for(6000)
    made.link_rule = lambda sender, receiver, message: (
        (harness.HOP_MS,) if sender[-1] == receiver[-1] else ()
    )
    listed = dict(made.listed)
    for number in (3, 8, 13):
        made.kill(f'entry-{number}')
        made.add_instance(f'entry-{number}', confirm_without_peers=True)
        made.run_for(700)
    for name in list(listed)[::2]:
        made.listed.pop(name)
    made.run_for(6000)
    made.listed.update(listed)
    made.run_for(6000)
    assert 0 < most_reads_in_a_second(made) <= BUDGET


def test_most_targets_failing_are_doubted_and_used_again():
    made = helper.make_harness(1, target_count=4)
    for target in made.target_by_id.values():
        target.behaviour = harness.Behaviour.FAIL_FAST
    for _ in range(100):
        made.call('entry-1')
        made.run_for(10)
    kinds = collections.Counter(
        change.why
        for change in helper.actions_of(made, 'entry-1', actions.Audit)
    )
    assert kinds['doubted'] >= 1
    known = made.instance_by_id['entry-1'].state.targets.condition_by_id
    now_ms = made.clock.now_ms()
    ejected = sum(now_ms < row.ejected_until_ms for row in known.values())
    assert ejected <= 2


def test_slot_that_comes_free_is_used_before_the_seconds_of_retry_after():
    made = helper.make_harness(count=2, target_count=1)
    target = made.target_by_id['burza-1']
    made.run_for(20_000)
    target.service_time = lambda received: 20
    for _ in range(target.slots):
        made.call('entry-1')
    made.run_for(2)
    late = made.call('entry-2')
    started_ms = made.clock.now_ms()
    made.run_for(harness.SHED_RETRY_AFTER_MS)
    assert target.shed
    told = made.told_by_call[late]
    assert told.outcome is outcomes.Outcome.RAN
    assert told.at_ms - started_ms < harness.SHED_RETRY_AFTER_MS / 2


def test_refusal_passed_on_from_below_is_not_retried():
    made = helper.make_harness(target_count=3)
    for target in made.target_by_id.values():
        target.slots = 0
        target.passes_on = True
    call_id = made.call('entry-1')
    made.run_for(1000)
    told = made.told_by_call[call_id]
    assert told.outcome is outcomes.Outcome.NOT_RUN
    assert told.reason is outcomes.Reason.TARGET_REFUSED
    assert sum(target.shed for target in made.target_by_id.values()) == 1
