"""Runs recorded traces by policy and prints the figures side by side."""

import argparse
import itertools
import multiprocessing
import statistics
import sys
import time
import typing

from bench import figures, ideal, replay, traces

_WORKERS: typing.Final = 3
_HEADINGS: typing.Final = (
    'trace',
    'policy',
    'p50',
    'p99',
    'p99.9',
    'short p99',
    'short wait p99',
    'goodput',
    'good/s',
    'refused i/o/d',
    'refusal p99',
    'unknown',
    'shed/call',
    'repeats/call',
    'reads/s max',
    'p99 vs ours',
)
POLICIES: typing.Final[dict[str, dict[str, typing.Any]]] = {
    'slots': {'choice': 'slots'},
    'sample': {'choice': 'sample'},
    'random': {'choice': 'random'},
    'round-robin': {'choice': 'round-robin'},
    'least': {'choice': 'least'},
}


class Job(typing.NamedTuple):
    """One run: a trace, a policy and a seed."""

    trace: str
    policy: str
    seed: int


def run_job(job: Job) -> figures.Figures:
    """Replay the trace of ``job`` and return its figures."""
    done = replay.run(traces.load(job.trace), job.seed, POLICIES[job.policy])
    return figures.of_replay(done)


def main() -> int:
    """Run the asked traces and print a table."""
    asked = _parse()
    jobs = [
        Job(*chosen)
        for chosen in itertools.product(
            asked.traces,
            asked.policies,
            range(1, asked.seeds + 1),
        )
    ]
    started_s = time.monotonic()
    with multiprocessing.Pool(_WORKERS) as pool:
        found = pool.map(run_job, jobs, chunksize=1)
    figures_by_job = dict(zip(jobs, found, strict=True))
    _line(_HEADINGS)
    _line(['---' for _ in _HEADINGS])
    for trace in asked.traces:
        _print_trace(trace, asked, figures_by_job)
    took_s = time.monotonic() - started_s
    sys.stdout.write(
        f'\n{len(jobs)} runs, {asked.seeds} seeds, {took_s:.0f} s\n'
    )
    return 0


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='bench', description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--traces', nargs='*', default=traces.names())
    parser.add_argument('--policies', nargs='*', default=list(POLICIES))
    return parser.parse_args()


def _print_trace(
    trace: str,
    asked: argparse.Namespace,
    figures_by_job: dict[Job, figures.Figures],
) -> None:
    bound = sorted(ideal.latencies_ms(traces.load(trace)))
    served = [span for span in bound if span < float('inf')]
    _line(
        [
            trace,
            'central queue (bound)',
            f'{figures.quantile(served, 0.5):.1f}',
            f'{figures.quantile(served, 0.99):.1f}',
            f'{figures.quantile(served, 0.999):.1f}',
            '',
            '',
            f'{len(served) / len(bound):.3f}',
        ],
    )
    ours_by_seed: dict[int, float] = {}
    for policy in asked.policies:
        runs = [
            figures_by_job[Job(trace, policy, seed)]
            for seed in range(1, asked.seeds + 1)
        ]
        if not ours_by_seed:
            ours_by_seed = dict(enumerate(one.p99_ms for one in runs))
        ratios = [
            one.p99_ms / max(ours_by_seed[index], 0.1)
            for index, one in enumerate(runs)
        ]
        _line([trace, policy, *_cells(runs), _spread(ratios, 2)])


def _cells(runs: typing.Sequence[figures.Figures]) -> list[str]:
    kinds = '/'.join(
        f'{_mean([one.refused_by_kind[kind] for one in runs]):.2f}'
        for kind in ('i', 'o', 'd')
    )
    return [
        _spread([one.p50_ms for one in runs], 1),
        _spread([one.p99_ms for one in runs], 1),
        _spread([one.p999_ms for one in runs], 0),
        _spread([one.short_p99_ms for one in runs], 1),
        _spread([one.short_wait_p99_ms for one in runs], 1),
        _spread([one.goodput for one in runs], 3),
        _spread([one.good_per_s for one in runs], 0),
        kinds,
        _spread([one.refusal_p99_ms for one in runs], 0),
        str(sum(one.unknown + one.unanswered for one in runs)),
        _spread([one.shed_per_call for one in runs], 3),
        _spread([one.repeats_per_call for one in runs], 3),
        str(max(one.most_reads_per_s for one in runs)),
    ]


def _mean(values: typing.Sequence[float]) -> float:
    return statistics.fmean(values)


def _spread(values: typing.Sequence[float], digits: int) -> str:
    low = f'{min(values):.{digits}f}'
    high = f'{max(values):.{digits}f}'
    if low == high:
        return low
    return f'{_mean(values):.{digits}f} ({low}-{high})'


def _line(cells: typing.Sequence[str]) -> None:
    sys.stdout.write('| {0} |\n'.format(' | '.join(cells)))


if __name__ == '__main__':
    sys.exit(main())
