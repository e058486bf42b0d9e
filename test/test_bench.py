"""The trace replay gives the same figures for the same seed."""

from bench import figures, replay, traces


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
