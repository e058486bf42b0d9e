"""Plays deployments with each mechanism off in turn, to tell its worth.

Nothing here is a setting: a mechanism is switched off by putting something
simpler in the place of one function or constant of its module.
"""

import argparse
import contextlib
import itertools
import multiprocessing
import statistics
import sys
import typing
from unittest import mock

from bench import darkness, deployments
from oleanderstair.domain.calls import (
    hedges,
    seconds,
    waited,
    waiting,
    worth,
)
from oleanderstair.domain.fleet import carriers
from oleanderstair.domain.targets import (
    choosing,
    crowding,
    reading_parts,
    room,
    sampling,
    shortage,
    trust,
)

_WORKERS: typing.Final = 3
_ALL_ON: typing.Final = 'all on'


class Off(typing.NamedTuple):
    """What stands in the place of a name of a module, as a value or call."""

    module: typing.Any
    name: str
    instead: typing.Any


def _always(answer: typing.Any) -> typing.Callable[..., typing.Any]:
    return lambda *given, **named: answer


def _oldest_first(
    state: typing.Any,
    call: typing.Any,
    now_ms: float,
) -> tuple[typing.Any, ...]:
    late = worth.is_late(state, call, now_ms)
    return late, call.route.rank, call.received_at_ms


def _without_rank(
    state: typing.Any,
    call: typing.Any,
    now_ms: float,
) -> tuple[typing.Any, ...]:
    return worth.is_late(state, call, now_ms), -call.received_at_ms


def _all_slots(state: typing.Any, service: str, slots: int) -> int:
    return slots


MECHANISMS: typing.Final[dict[str, tuple[Off, ...]]] = {
    _ALL_ON: (),
    'reads before dispatch': (Off(reading_parts, 'spend', _always(False)),),
    'wider draws': (
        Off(
            sampling,
            'draw_wider',
            _always(sampling.Sample((), frozenset(), [])),
        ),
    ),
    'few carriers': (Off(carriers, 'FEWEST', 1000),),
    'slots worth filling': (Off(crowding, 'usable_slots', _all_slots),),
    'trying the last slots': (Off(room, 'is_untested', _always(False)),),
    'sparing slow slots': (Off(worth, 'is_wasted', _always(False)),),
    'aim from the first attempt': (Off(waited, 'least_ms', _always(0)),),
    'late calls leave room': (Off(worth, 'leaves_room', _always(True)),),
    'late calls wait longer': (Off(waiting, 'LATE_SHARE', 0),),
    'newest first': (Off(waiting, '_order', _oldest_first),),
    'order by rank': (Off(waiting, '_order', _without_rank),),
    'patience': (Off(waiting, 'PATIENCE_SHARE', 0),),
    'seeking room': (Off(waiting, 'SEEK_MS', 1e6),),
    'early return': (Off(waiting, 'RETURN_SHARE', 1),),
    'hedges': (Off(hedges, '_may_hedge', _always(False)),),
    'second attempts': (Off(seconds, 'may_go_on', _always(False)),),
    'bars': (Off(trust, 'is_barred', _always(False)),),
    'pace of answers': (Off(trust, 'pace_of', _always(1)),),
    'outdated reports': (Off(shortage, 'is_outdated', _always(False)),),
    "neighbours' sends": (Off(room, '_senders', _always(1)),),
    'work for new targets': (Off(choosing, '_NEW_SHARE', 0),),
}


class Job(typing.NamedTuple):
    """One run; ``dark`` takes all instances away for a span of it."""

    plan: str
    strength: float
    dark: bool
    mechanism: str
    seed: int


def run(job: Job) -> darkness.Result:
    """Play one day without a mechanism."""
    with contextlib.ExitStack() as stack:
        for off in MECHANISMS[job.mechanism]:
            stack.enter_context(
                mock.patch.object(off.module, off.name, off.instead),
            )
        plan = deployments.PLANS[job.plan]
        return darkness.play(plan, job.strength, job.seed, dark=job.dark)


def main() -> int:
    """Run the asked days and print a table."""
    asked = _parse()
    scenes = [
        *itertools.product(asked.plans, asked.strengths, (False,)),
        *itertools.product(asked.plans, asked.dark, (True,)),
    ]
    seeds = range(1, asked.seeds + 1)
    played = itertools.product(scenes, asked.mechanisms, seeds)
    jobs = [Job(*scene, *which) for scene, *which in played]
    with multiprocessing.Pool(_WORKERS) as pool:
        found = pool.map(run, jobs, chunksize=1)
    result_by_job = dict(zip(jobs, found, strict=True))
    titles = [
        f'{plan} x{strength:g}{" dark" if dark else ""}'
        for plan, strength, dark in scenes
    ]
    _line(['off', *titles])
    _line(['---', *('---' for _ in titles)])
    for mechanism in asked.mechanisms:
        cells = [
            _cell(result_by_job, scene, mechanism, asked.seeds)
            for scene in scenes
        ]
        _line([mechanism, *cells])
    return 0


def _cell(
    result_by_job: dict[Job, darkness.Result],
    scene: tuple[str, float, bool],
    mechanism: str,
    seeds: int,
) -> str:
    """Return worth, its lowest and highest change by the mechanism, served."""
    of_it = [
        result_by_job[Job(*scene, mechanism, seed)]
        for seed in range(1, seeds + 1)
    ]
    served = statistics.fmean(one.served for one in of_it)
    worths = [one.worth for one in of_it]
    shown = f'{statistics.fmean(worths):.3f} / {served:.3f}'
    if mechanism == _ALL_ON:
        return shown
    changes = [
        one.worth - result_by_job[Job(*scene, _ALL_ON, seed)].worth
        for seed, one in enumerate(of_it, start=1)
    ]
    return f'{shown} ({min(changes):+.3f} to {max(changes):+.3f})'


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='bench.ablation',
        description=__doc__,
    )
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--plans', nargs='*', default=list(deployments.PLANS))
    parser.add_argument(
        '--mechanisms',
        nargs='*',
        default=list(MECHANISMS),
    )
    parser.add_argument(
        '--strengths',
        nargs='*',
        type=float,
        default=[1.0, 2.0],
        help='multiples of the usual demand',
    )
    parser.add_argument(
        '--dark',
        nargs='*',
        type=float,
        default=[1.2],
        help='the same, of days on which all instances end for a while',
    )
    return parser.parse_args()


def _line(cells: typing.Sequence[str]) -> None:
    sys.stdout.write('| {0} |\n'.format(' | '.join(cells)))
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
