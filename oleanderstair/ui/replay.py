"""The commands that fetch a trace from an instance and replay one."""

import dataclasses
import pathlib
import sys
import typing

import cappa
import httpcore
import result

from oleanderstair import errors
from oleanderstair.domain.proof import replaying, traces, violations
from oleanderstair.ui import output, reports

_OK: typing.Final = 200
_SHOWN: typing.Final = 5


def replay_trace(command: 'Replay') -> None:
    """Replay a trace; exit 0 where every outcome held, else 1."""
    done = replaying.replay_trace(_load(command.trace))
    if command.json:
        output.show([_summary(done)], as_json=True)
    else:
        _show(done)
    raise SystemExit(0 if done.held else 1)


def fetch_trace(command: 'Trace') -> None:
    """Write the trace that an instance has recorded to a file."""
    url = f'http://{command.admin}/trace'
    try:
        answer = httpcore.request('GET', url)
    except httpcore.ConnectError as error:
        raise _problem(
            errors.ProblemKind.CONNECTION,
            command.admin,
            str(error),
            'name a running instance with --admin',
        ) from error
    if answer.status != _OK:
        raise _problem(
            errors.ProblemKind.USAGE,
            command.admin,
            'the instance records no trace',
            'set trace.max_events in its settings and restart it',
        )
    command.to.write_bytes(answer.content)
    sys.stdout.write(f'{len(answer.content)} bytes written\n')


@cappa.command(name='replay', invoke=replay_trace)
@dataclasses.dataclass
class Replay:
    """Replay a recorded trace and state which outcomes held."""

    trace: typing.Annotated[
        pathlib.Path,
        cappa.Arg(help='A trace file, as `oleanderstair trace` writes it.'),
    ]
    json: output.AsJson = False


@cappa.command(name='trace', invoke=fetch_trace)
@dataclasses.dataclass
class Trace:
    """Fetch the trace that an instance has recorded."""

    to: typing.Annotated[
        pathlib.Path,
        cappa.Arg(help='The file to write.'),
    ]
    admin: reports.Address = '127.0.0.1:8081'


def _load(path: pathlib.Path) -> traces.Trace:
    try:
        body = path.read_bytes()
    except OSError as error:
        raise _problem(
            errors.ProblemKind.TRACE,
            str(path),
            str(error),
            'name a trace file',
        ) from error
    decoded = traces.decode_trace(body)
    if isinstance(decoded, result.Err):
        raise errors.UserError(decoded.err_value)
    return decoded.ok_value


def _show(done: replaying.Replay) -> None:
    output.show(
        [
            {
                'outcome': verdict.rule.value,
                'verdict': 'broken' if verdict.broken else 'held',
                'violations': len(verdict.broken),
            }
            for verdict in done.verdicts
        ],
        as_json=False,
    )
    for verdict in done.verdicts:
        for found in verdict.broken[:_SHOWN]:
            sys.stdout.write(f'{_line(found)}\n')
    sys.stdout.write(
        f'events: {done.steps}, calls: {done.calls},'
        f' answers: {done.answers}, decisions: {_decisions(done)}\n',
    )


def _summary(done: replaying.Replay) -> output.Row:
    return {
        'held': done.held,
        'events': done.steps,
        'calls': done.calls,
        'answers': done.answers,
        'differs_at': done.differs_at,
        'broken': [
            _line(found)
            for verdict in done.verdicts
            for found in verdict.broken
        ],
    }


def _decisions(done: replaying.Replay) -> str:
    if not done.differs_at:
        return 'as recorded'
    return f'other than recorded from event {done.differs_at} on'


def _line(found: violations.Violation) -> str:
    return f'{found.at_ms} ms: {found.rule.value}: {found.evidence}'


def _problem(
    kind: errors.ProblemKind,
    where: str,
    what: str,
    remedy: str,
) -> errors.UserError:
    return errors.UserError(errors.Problem(kind, where, what, remedy))
