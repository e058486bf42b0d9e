"""The trace replay gives the same figures for the same seed."""

from bench import figures, gateways, replay, traces


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
