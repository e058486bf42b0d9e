"""The trace replay gives the same figures for the same seed."""

from bench import (
    figures,
    gateway_capacity,
    gateway_peers,
    gateways,
    replay,
    traces,
)
from oleanderstair.domain.fleet import member_list


def _short_trace():
    trace = traces.load('steady')
    trace.calls = trace.calls[:200]
    return trace


def test_replay_is_deterministic():
    trace = _short_trace()
    first = figures.of_replay(replay.run(trace, 1, {'choice': 'random'}))
    second = figures.of_replay(replay.run(trace, 1, {'choice': 'random'}))
    assert first == second
    assert first.unanswered == 0


def test_a_report_read_just_before_beats_a_random_choice():
    share_by_policy = {}
    for policy in ('eight reports', 'random'):
        job = gateways.Job('cooperative', 1, policy, seed=1)
        found = gateways.run(job).by_kind['listing-lookup']
        share_by_policy[policy] = found.in_aim
    assert share_by_policy['eight reports'] > share_by_policy['random'] + 0.1


def test_a_capacity_run_keeps_every_instance_alive():
    state = gateway_capacity.create(target_count=30, instance_count=40)
    peers = gateway_peers.run(state, span_ms=20_000)
    living = member_list.current_view(state).live_by_data_centre.values()
    assert sum(map(len, living)) == 40
    assert peers.heard
