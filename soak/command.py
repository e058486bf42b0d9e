"""The soak's command line: which seeds, how long, and what is kept."""

import collections
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing

import anyio
import cappa

from oleanderstair.explaining import lines
from soak import checks, instances, plan, record, scene

FAILED: typing.Final = pathlib.Path(__file__).parent / 'failed-seeds.txt'
_LOGS: typing.Final = instances.ROOT / 'target' / 'soak'
_TOLD_OF_EACH: typing.Final = 5
_PARTED: typing.Final = ' | '


def run_soak(command: 'Soak') -> None:
    """Play all seeds; exit 1 where a promise was broken."""
    # Asked to end, it ends its instances first.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    seeds = _seeds_of(command.seeds)
    ordered = dict.fromkeys([*failed_seeds(FAILED), *seeds])
    outcomes = [_run_seed(seed, command.seconds) for seed in ordered]
    broken = sum(outcomes)
    _tell('soak', seeds=len(ordered), broken=broken)
    raise SystemExit(1 if broken else 0)


@cappa.command(name='soak', invoke=run_soak)
@dataclasses.dataclass
class Soak:
    """Play scenarios of faults against real daemons on loopback.

    Prints one line of key=value pairs for each event. Seeds that failed
    before come first; logs are kept below target/soak.
    """

    seeds: typing.Annotated[str, cappa.Arg(long=True)] = '1-4'
    seconds: typing.Annotated[float, cappa.Arg(long=True)] = 20


def play(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    tell: scene.Tell,
) -> tuple[record.Record, checks.Verdict]:
    """Play the scenario of one seed and judge it."""
    drawn = plan.draw(seed, seconds)
    seen = anyio.run(scene.play, drawn, folder, tell)
    return seen, checks.judge(seen)


def failed_seeds(path: pathlib.Path) -> list[int]:
    """Return the seeds that a file of failures names, each once."""
    if not path.exists():
        return []
    rows = path.read_text(encoding='utf-8').splitlines()
    found = [row.split(_PARTED)[0] for row in rows if row[:1].isdigit()]
    return sorted(set(map(int, found)))


def keep(path: pathlib.Path, seed: int, commit: str, what: str) -> None:
    """Add a failure to a file of failures, as one line."""
    with path.open('a', encoding='utf-8') as kept:
        kept.write(f'{_PARTED.join((str(seed), commit, what))}\n')


def _run_seed(seed: int, seconds: float) -> bool:
    # Two soaks may play one seed at once, each by settings of its own.
    folder = _LOGS / f'{os.getpid()}' / f'seed-{seed}'
    _tell('scenario', seed=seed, seconds=seconds, logs=folder)
    seen, verdict = play(seed, seconds, folder, _tell)
    _tell_findings('unjudged', seed, verdict.unjudged)
    _tell_findings('violation', seed, verdict.violations)
    if verdict.violations:
        keep(FAILED, seed, _commit(), _summary(verdict, seconds))
    _tell(
        'judged',
        seed=seed,
        faults=len(plan.draw(seed, seconds).faults),
        calls=len(seen.calls),
        served=sum(call.status == checks.SERVED for call in seen.calls),
        refused=sum(call.status in checks.NOT_RUN for call in seen.calls),
        runs=len(seen.runs),
        stalls=len(seen.stalls),
        unjudged=len(verdict.unjudged),
        violations=len(verdict.violations),
    )
    return bool(verdict.violations)


def _tell_findings(
    kind: str,
    seed: int,
    findings: typing.Iterable[checks.Finding],
) -> None:
    """Tell the first findings of each promise; the count follows later."""
    told: collections.Counter[str] = collections.Counter()
    for one in findings:
        told[one.promise] += 1
        if told[one.promise] <= _TOLD_OF_EACH:
            _tell(kind, seed=seed, promise=one.promise, what=one.evidence)


def _summary(verdict: checks.Verdict, seconds: float) -> str:
    promises = sorted({bad.promise for bad in verdict.violations})
    first = verdict.violations[0].evidence
    return f'{seconds} s: {" ".join(promises)}: {first}'


def _seeds_of(text: str) -> list[int]:
    first, _, last = text.partition('-')
    if not first.isdigit() or not (last or first).isdigit():
        raise cappa.Exit(f'{text}: give seeds as 7 or 1-50', code=2)
    return list(range(int(first), int(last or first) + 1))


def _commit() -> str:
    shown = subprocess.run(
        ('git', 'describe', '--always', '--dirty'),
        capture_output=True,
        check=False,
        cwd=instances.ROOT,
        text=True,
    )
    return shown.stdout.strip() or 'unknown'


def _tell(kind: str, **fields: object) -> None:
    pairs = [('at', f'{time.time():.3f}')]
    pairs.extend((name, str(field)) for name, field in fields.items())
    sys.stdout.write(f'{lines.write(kind, pairs)}\n')
    sys.stdout.flush()
