"""A target gets no more calls than its rate limit from all instances together.

The limit is 1.5 times what the target names, plus 5 requests, in any 4 s.
"""

import collections
import functools

import pytest

from bench import deployments
from oleanderstair.domain import actions, outcomes
from oleanderstair.domain.targets import rate_limits
from oleanderstair.emulator import gateway_days, plans

WINDOW_MS = 4000
ADAPT_MS = 3000
LIMITS = {
    'retry_ratio': 0.2,
    'retry_slack': 75,
    'retry_window_s': 10,
    'probes_per_s': 60,
    'tick_ms': 100,
}
LARGE = plans.Plan(
    region='zapad',
    instances_by_data_centre={
        **{f'place-{number}': 52 for number in range(5)},
        'place-5': 51,
    },
    services=(
        plans.ServicePlan(
            'burza', {f'place-{number}': 8 for number in range(6)}
        ),
    ),
    kinds=(
        plans.Kind('lookup', 'burza', 400, plans.Work(76, most_ms=810)),
        plans.Kind('order', 'burza', 100, plans.Work(100, most_ms=1100), False),
    ),
)


def note_sends(fleet):
    """Return the times at which each target is sent a call."""
    sent_at_ms_by_id = collections.defaultdict(list)

    def observe(state, event, done):
        for action in done:
            if isinstance(action, actions.Dispatch):
                now_ms = fleet.times.now_ms()
                sent_at_ms_by_id[action.target_id].append(now_ms)

    fleet.on_step.append(observe)
    return sent_at_ms_by_id


def most_in_window(sent_at_ms, from_ms):
    """Return the most sends in any 4 s that end after ``from_ms``."""
    late = [at_ms for at_ms in sent_at_ms if at_ms >= from_ms]
    return max(
        (
            sum(end_ms - WINDOW_MS < at_ms <= end_ms for at_ms in late)
            for end_ms in late
        ),
        default=0,
    )


def is_within(per_s, count):
    return count <= 1.5 * per_s * WINDOW_MS / 1000 + 5


def start_limited(plan, seed, per_s_by_id):
    """Start a busy fleet whose limited targets have been known for 3 s."""
    day = gateway_days.create(plan, seed, **LIMITS)
    sent_at_ms_by_id = note_sends(day.fleet)
    day.fleet.run_for(gateway_days.SETTLE_MS)
    day.demand.run_for(3000)
    for target_id, per_s in per_s_by_id.items():
        day.fleet.target_by_id[target_id].limit_per_s = per_s
    day.demand.run_for(ADAPT_MS)
    return day, sent_at_ms_by_id


def play_limited(plan, seed, per_s_by_id, for_ms):
    """Limit some targets of a busy fleet; return the most sends in 4 s."""
    day, sent_at_ms_by_id = start_limited(plan, seed, per_s_by_id)
    from_ms = day.fleet.times.now_ms()
    day.demand.run_for(for_ms)
    most = functools.partial(most_in_window, from_ms=from_ms)
    return {limited: most(sent_at_ms_by_id[limited]) for limited in per_s_by_id}


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_limited_targets_of_a_busy_fleet_are_not_sent_more_than_allowed(seed):
    per_s_by_id = {'catalogo-latacunga-0': 1.7, 'catalogo-latacunga-1': 2.2}
    most_by_id = play_limited(deployments.COTOPAXI, seed, per_s_by_id, 10_000)
    for target_id, per_s in per_s_by_id.items():
        assert is_within(per_s, most_by_id[target_id]), most_by_id


def test_limited_targets_of_311_instances_are_not_sent_more_than_allowed():
    per_s_by_id = {
        f'burza-place-{place}-{number}': 1.7
        for place in range(6)
        for number in range(3)
    }
    most_by_id = play_limited(LARGE, 1, per_s_by_id, 6000)
    over = {
        target_id: most
        for target_id, most in most_by_id.items()
        if not is_within(1.7, most)
    }
    assert not over


def limit_whole_service(seed=1):
    """Start the catalogue with all of its targets limited."""
    targets = deployments.COTOPAXI.services[0].targets_by_data_centre
    per_s_by_id = {
        f'catalogo-{place}-{number}': 1.7
        for place, count in targets.items()
        for number in range(count)
    }
    return *start_limited(deployments.COTOPAXI, seed, per_s_by_id), per_s_by_id


def test_a_service_of_limited_targets_is_used_up_to_their_limits():
    day, sent_at_ms_by_id, per_s_by_id = limit_whole_service()
    from_ms = day.fleet.times.now_ms()
    day.demand.run_for(10_000)
    sent_count = 0
    for target_id, per_s in per_s_by_id.items():
        sent_at_ms = sent_at_ms_by_id[target_id]
        assert is_within(per_s, most_in_window(sent_at_ms, from_ms)), target_id
        sent_count += sum(at_ms >= from_ms for at_ms in sent_at_ms)
    assert sent_count > 0.7 * 10 * sum(per_s_by_id.values())


def test_calls_without_a_permit_are_refused_early_with_a_time_to_retry():
    day, _, _ = limit_whole_service()
    from_ms = day.fleet.times.now_ms()
    told = []
    day.fleet.on_told.append(lambda call_id, answer: told.append(answer))
    day.demand.run_for(5000)
    refused = [one for one in told if one.outcome is outcomes.Outcome.NOT_RUN]
    assert len(refused) > 100
    assert sum(one.retry_after_ms > 0 for one in refused) > 0.9 * len(refused)
    for request in day.demand.requests:
        is_late = request.started_ms > from_ms and request.ended_ms
        if is_late and request.refused and request.attempts == 1:
            assert request.latency_ms < 0.3 * request.kind.aim_ms


def test_the_end_of_a_limit_is_known_to_all_instances():
    per_s_by_id = {'catalogo-latacunga-0': 1.7, 'catalogo-ambato-0': 2.2}
    day, sent_at_ms_by_id = start_limited(deployments.COTOPAXI, 1, per_s_by_id)
    members = day.fleet.member_by_id.values()
    for target_id in per_s_by_id:
        assert all(
            rate_limits.limit_of(made.state, target_id) for made in members
        )
        day.fleet.target_by_id[target_id].limit_per_s = None
    day.demand.run_for(4000)
    for limited in per_s_by_id:
        assert not any(
            rate_limits.limit_of(made.state, limited) for made in members
        )
    from_ms = day.fleet.times.now_ms()
    day.demand.run_for(8000)
    for target_id, per_s in per_s_by_id.items():
        most = most_in_window(sent_at_ms_by_id[target_id], from_ms)
        # A single sender of a limited target stays below this.
        assert most > per_s * WINDOW_MS / 1000 + 1, target_id


def test_another_instance_takes_over_when_the_sender_ends():
    per_s_by_id = {'catalogo-latacunga-0': 1.7}
    day, sent_at_ms_by_id = start_limited(deployments.COTOPAXI, 1, per_s_by_id)
    sent_by = []

    def observe(state, event, done):
        for action in done:
            if isinstance(action, actions.Dispatch):
                if action.target_id in per_s_by_id:
                    sent_by.append(state.identity.instance_id)

    day.fleet.on_step.append(observe)
    day.demand.run_for(4000)
    first = set(sent_by)
    assert len(first) == 1
    day.fleet.kill(*first)
    from_ms = day.fleet.times.now_ms()
    sent_by.clear()
    day.demand.run_for(8000)
    assert set(sent_by) - first
    sent_at_ms = sent_at_ms_by_id['catalogo-latacunga-0']
    assert is_within(1.7, most_in_window(sent_at_ms, from_ms - WINDOW_MS))


def test_a_restarted_instance_learns_the_limits_from_its_peers():
    per_s_by_id = {'catalogo-latacunga-0': 1.7}
    day, _ = start_limited(deployments.COTOPAXI, 1, per_s_by_id)
    day.fleet.kill('entry-ambato-3')
    state = day.fleet.add_instance(
        'entry-ambato-3', 'ambato', ('entry-latacunga-0',), **LIMITS
    )
    day.demand.run_for(8000)
    assert rate_limits.limit_of(state, 'catalogo-latacunga-0')
