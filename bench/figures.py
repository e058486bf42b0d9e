"""Works out the figures of a replayed trace."""

import bisect
import collections
import typing

from bench import replay
from oleanderstair.domain import actions, outcomes

_LONG_FACTOR: typing.Final = 5
_HOPS_MS: typing.Final = 1
_WINDOW_MS: typing.Final = 1000
_KINDS: typing.Final = ('i', 'o', 'd')


class Figures(typing.NamedTuple):
    """The figures of one run; spans in ms, shares of all calls."""

    p50_ms: float
    p99_ms: float
    p999_ms: float
    short_p99_ms: float
    short_wait_p99_ms: float
    goodput: float
    good_per_s: float
    refused_by_kind: dict[str, float]
    refused_by_reason: dict[str, int]
    refusal_p99_ms: float
    unknown: int
    unanswered: int
    shed: int
    shed_per_call: float
    repeats_per_call: float
    most_reads_per_s: int


def quantile(values: typing.Sequence[float], share: float) -> float:
    """Return the value below which ``share`` of the sorted values lie."""
    if not values:
        return 0
    return values[min(int(share * len(values)), len(values) - 1)]


def of_replay(done: replay.Replay) -> Figures:
    """Work out the figures of a run; latencies are those of calls that ran."""
    trace = done.trace
    total = len(done.answered)
    served = [one for one in done.answered if _is_served(one)]
    refused = [
        one for one in done.answered if one.outcome is outcomes.Outcome.NOT_RUN
    ]
    spans = sorted(one.latency_ms for one in served)
    long_us = _LONG_FACTOR * trace.typical_work_us
    short = [one for one in served if one.call.work_us <= long_us]
    good = sum(1 for span in spans if span <= trace.deadline_ms)
    return Figures(
        p50_ms=quantile(spans, 0.5),
        p99_ms=quantile(spans, 0.99),
        p999_ms=quantile(spans, 0.999),
        short_p99_ms=quantile(sorted(one.latency_ms for one in short), 0.99),
        short_wait_p99_ms=quantile(sorted(map(_wait_ms, short)), 0.99),
        goodput=good / total,
        good_per_s=good / (trace.calls[-1].at_us / 1e6),
        refused_by_kind=_refused_by_kind(done.answered),
        refused_by_reason=dict(
            collections.Counter(
                one.reason.value for one in refused if one.reason
            ),
        ),
        refusal_p99_ms=quantile(
            sorted(one.latency_ms for one in refused),
            0.99,
        ),
        unknown=sum(
            one.outcome is outcomes.Outcome.UNKNOWN for one in done.answered
        ),
        unanswered=sum(one.outcome is None for one in done.answered),
        shed=done.shed,
        shed_per_call=done.shed / total,
        repeats_per_call=done.attempts_beyond_first / total,
        most_reads_per_s=(
            most_in_a_second(done.probe_times_ms) * actions.READS_PER_PROBE
        ),
    )


def _is_served(one: replay.Answered) -> bool:
    return one.outcome is outcomes.Outcome.RAN and not one.failed


def _wait_ms(one: replay.Answered) -> float:
    return one.latency_ms - one.call.work_us / 1000 - _HOPS_MS


def _refused_by_kind(
    answered: typing.Sequence[replay.Answered],
) -> dict[str, float]:
    calls = collections.Counter(one.call.kind for one in answered)
    refused = collections.Counter(
        one.call.kind
        for one in answered
        if one.outcome is outcomes.Outcome.NOT_RUN
    )
    return {kind: refused[kind] / max(calls[kind], 1) for kind in _KINDS}


def most_in_a_second(times_ms: typing.Sequence[float]) -> int:
    """Return how many of the sorted times lie within one second at most."""
    most = 0
    for index, at_ms in enumerate(times_ms):
        until = bisect.bisect_left(times_ms, at_ms + _WINDOW_MS)
        most = max(most, until - index)
    return most
