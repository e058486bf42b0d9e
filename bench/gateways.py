"""Runs the deployments' load by policy and prints the figures as a table."""

import argparse
import collections
import itertools
import multiprocessing
import statistics
import sys
import time
import types
import typing

from bench import baselines, deployments, figures
from oleanderstair.domain import actions, events, gateway, stepping, world
from oleanderstair.emulator import (
    gateway_callers,
    gateway_days,
    gateway_fleet,
)

_SPAN_MS: typing.Final = 17_000
_DRAIN_MS: typing.Final = 5000
_WORKERS: typing.Final = 2
_PRESENT: typing.Final = 'present'
_LIMITS: typing.Final = types.MappingProxyType(
    {
        'retry_ratio': 0.2,
        'retry_slack': 75,
        'retry_window_s': 10,
        'probes_per_s': 60,
        'tick_ms': 100,
    },
)
_HEADINGS: typing.Final = (
    'load',
    'policy',
    'kind',
    'p50 ms',
    'p99 ms',
    'p50, p99 to present',
    'in aim',
    'refused',
    'failed',
    'runs a call',
    'reads/target/s',
    'most reads in a second',
    'peer messages/s',
)
POLICIES: typing.Final[dict[str, typing.Callable[[], stepping.Step]]] = {
    _PRESENT: lambda: gateway.step,
    'any slot': lambda: _take_any_slot,
    'eight reports': lambda: _baseline(baselines.Reports(8, is_wide=False)),
    'one report': lambda: _baseline(baselines.Reports(1, is_wide=True)),
    'least in flight': lambda: _baseline(baselines.Least()),
    'random': lambda: _baseline(baselines.Random()),
}


def _take_any_slot(
    state: world.World,
    event: events.Event,
    now_ms: float,
) -> list[actions.Action]:
    """Step as the gateway did that filled the slots of slowed targets."""
    state.policy = state.policy._replace(spare_slow_slots=False)
    return gateway.step(state, event, now_ms)


class Job(typing.NamedTuple):
    """One run: a deployment, how strong its demand is, a policy, a seed."""

    plan: str
    strength: float
    policy: str
    seed: int


class KindFigures(typing.NamedTuple):
    """The figures of one kind of call; spans in ms, shares of its calls."""

    p50_ms: float
    p99_ms: float
    in_aim: float
    refused: float
    failed: float


class Result(typing.NamedTuple):
    """The figures of one run."""

    by_kind: dict[str, KindFigures]
    runs_a_call: float
    reads_a_target_and_s: float
    most_reads_in_a_second: int
    peer_messages_per_s: float


def run(job: Job) -> Result:
    """Run one day and work its figures out."""
    plan = deployments.PLANS[job.plan]
    day = gateway_days.create(plan, job.seed, **_LIMITS)
    fleet = day.fleet
    fleet.step_by = POLICIES[job.policy]()
    read_at_ms_by_id = _note_reads(fleet)
    fleet.run_for(gateway_days.SETTLE_MS)
    told_before = fleet.peer_messages
    day.demand.strength = job.strength
    day.demand.run_for(_SPAN_MS)
    told = fleet.peer_messages - told_before
    targets = fleet.target_by_id.values()
    reads = sum(target.reads for target in targets)
    fleet.run_for(_DRAIN_MS)
    requests = day.demand.requests
    by_kind = {
        kind.name: _figures_of(
            [found for found in requests if found.kind is kind],
        )
        for kind in plan.kinds
    }
    return Result(
        by_kind,
        len(fleet.runs) / max(sum(found.attempts for found in requests), 1),
        reads / len(targets) / (_SPAN_MS / 1000),
        max(
            map(figures.most_in_a_second, read_at_ms_by_id.values()),
            default=0,
        ),
        told / len(fleet.member_by_id) / (_SPAN_MS / 1000),
    )


def main() -> int:
    """Run the asked days and print a table."""
    asked = _parse()
    jobs = [
        Job(*chosen)
        for chosen in itertools.product(
            asked.plans,
            asked.strengths,
            asked.policies,
            range(1, asked.seeds + 1),
        )
    ]
    started_s = time.monotonic()
    with multiprocessing.Pool(_WORKERS) as pool:
        found = pool.map(run, jobs, chunksize=1)
    result_by_job = dict(zip(jobs, found, strict=True))
    _line(_HEADINGS)
    _line(['---' for _ in _HEADINGS])
    for load in itertools.product(asked.plans, asked.strengths):
        _print_load(load, asked, result_by_job)
    took_s = time.monotonic() - started_s
    sys.stdout.write(
        f'\n{len(jobs)} runs, {asked.seeds} seeds, {took_s:.0f} s\n',
    )
    return 0


def _note_reads(
    fleet: gateway_fleet.GatewayFleet,
) -> dict[str, list[float]]:
    """Return when each target is read, as the reads come."""
    times_ms_by_id: dict[str, list[float]] = collections.defaultdict(list)

    def note(
        state: world.World,
        event: events.Event,
        done: typing.Sequence[actions.Action],
    ) -> None:
        for action in done:
            if isinstance(action, actions.ReadLoad):
                times_ms = times_ms_by_id[action.target_id]
                times_ms.append(fleet.times.now_ms())

    fleet.on_step.append(note)
    return times_ms_by_id


def _baseline(chooser: baselines.Chooser) -> stepping.Step:
    return baselines.Fleet(chooser).step


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='bench.gateways',
        description=__doc__,
    )
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--plans', nargs='*', default=list(deployments.PLANS))
    parser.add_argument('--policies', nargs='*', default=list(POLICIES))
    parser.add_argument(
        '--strengths',
        nargs='*',
        type=float,
        default=[1.0, 2.0],
        help='multiples of the usual demand',
    )
    return parser.parse_args()


def _figures_of(
    requests: list[gateway_callers.Request],
) -> KindFigures:
    spans = sorted(found.latency_ms for found in requests if found.served)
    total = max(len(requests), 1)
    refused = sum(found.refused and not found.served for found in requests)
    return KindFigures(
        figures.quantile(spans, 0.5),
        figures.quantile(spans, 0.99),
        sum(found.in_aim for found in requests) / total,
        refused / total,
        (len(requests) - len(spans) - refused) / total,
    )


def _print_load(
    load: tuple[str, float],
    asked: argparse.Namespace,
    result_by_job: dict[Job, Result],
) -> None:
    plan, strength = load
    present: list[Result] = []
    for policy in asked.policies:
        found = [
            result_by_job[Job(plan, strength, policy, seed)]
            for seed in range(1, asked.seeds + 1)
        ]
        present = present or found
        for kind in deployments.PLANS[plan].kinds:
            cells = _cells(found, present, kind.name)
            _line([f'{plan} x{strength:g}', policy, kind.name, *cells])


def _cells(
    found: list[Result],
    present: list[Result],
    kind: str,
) -> list[str]:
    of_kind = [one.by_kind[kind] for one in found]
    base = [one.by_kind[kind] for one in present]
    p50_ms = _mean(one.p50_ms for one in of_kind)
    p99_ms = _mean(one.p99_ms for one in of_kind)
    p50_ratio = p50_ms / max(_mean(one.p50_ms for one in base), 1)
    p99_ratio = p99_ms / max(_mean(one.p99_ms for one in base), 1)
    return [
        f'{p50_ms:.0f}',
        f'{p99_ms:.0f}',
        f'{p50_ratio:.2f}, {p99_ratio:.2f}',
        f'{_mean(one.in_aim for one in of_kind):.3f}',
        f'{_mean(one.refused for one in of_kind):.3f}',
        f'{_mean(one.failed for one in of_kind):.3f}',
        f'{_mean(one.runs_a_call for one in found):.3f}',
        f'{_mean(one.reads_a_target_and_s for one in found):.1f}',
        f'{max(one.most_reads_in_a_second for one in found)}',
        f'{_mean(one.peer_messages_per_s for one in found):.0f}',
    ]


def _mean(values: typing.Iterable[float]) -> float:
    return statistics.fmean(values)


def _line(cells: typing.Sequence[str]) -> None:
    sys.stdout.write('| {0} |\n'.format(' | '.join(cells)))


if __name__ == '__main__':
    sys.exit(main())
