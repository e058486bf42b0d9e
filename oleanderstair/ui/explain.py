"""The commands that read logs: what became of a request, and the format."""

import dataclasses
import pathlib
import typing

import cappa

from oleanderstair import errors
from oleanderstair.explaining import failures, lines, stories
from oleanderstair.ui import output

_Files: typing.TypeAlias = typing.Annotated[
    list[pathlib.Path],
    cappa.Arg(help='Logs of instances.', num_args=-1, required=True),
]
_MS_PER_S: typing.Final = 1000


def explain(command: 'Explain') -> None:
    """Print what was decided on a request, in order, and the cause."""
    story = stories.follow(command.id, _read(command.files))
    if command.json:
        output.show([_document_of(story)], as_json=True)
    else:
        _print(story)
    if not story.decisions:
        raise SystemExit(output.EXIT_NO)


def list_failed(command: 'LogsFailed') -> None:
    """Print the requests that were not answered well, and their causes."""
    said = _read(command.files)
    found = failures.find(said)
    counts = [row._asdict() for row in failures.count(said, found)]
    rows = [failure._asdict() for failure in found]
    if command.json:
        output.show([{'failed': rows, 'counts': counts}], as_json=True)
        return
    if not command.counts:
        output.show([_brief(failure) for failure in found], as_json=False)
    output.show(counts, as_json=False)


def check_logs(command: 'LogsCheck') -> None:
    """Count the lines of each kind; exit 1 where a line can't be read."""
    faulty: list[errors.Problem] = []
    rows: list[dict[str, object]] = []
    for path in command.files:
        with path.open(encoding='utf-8', errors='replace') as opened:
            rows.extend(_counted(path, opened, faulty))
    output.show(rows, as_json=command.json)
    if faulty:
        raise errors.UserError(faulty[0])


@cappa.command(name='explain', invoke=explain)
@dataclasses.dataclass
class Explain:
    """Follow one request through the logs of instances to its end.

    Exit 1 where no line names it.
    """

    id: typing.Annotated[str, cappa.Arg(help="The caller's request id.")]
    files: _Files
    json: output.AsJson = False


@cappa.command(name='check', invoke=check_logs)
@dataclasses.dataclass
class LogsCheck:
    """Check that all lines of logs are in the format of the product."""

    files: _Files
    json: output.AsJson = False


@cappa.command(name='failed', invoke=list_failed)
@dataclasses.dataclass
class LogsFailed:
    """List the requests that were refused, failed or late, by cause."""

    files: _Files
    counts: typing.Annotated[
        bool,
        cappa.Arg(long='--counts', help='Print how many by cause alone.'),
    ] = False
    json: output.AsJson = False


@cappa.command(name='logs')
@dataclasses.dataclass
class Logs:
    """Work with logs."""

    command: cappa.Subcommands[LogsCheck | LogsFailed]


def _read(paths: typing.Iterable[pathlib.Path]) -> list[stories.Said]:
    said: list[stories.Said] = []
    for path in paths:
        with path.open(encoding='utf-8', errors='replace') as opened:
            said.extend(stories.read(path.stem, opened))
    return said


def _brief(failure: failures.Failure) -> dict[str, object]:
    return {
        'at': f'{failure.at_s:.4f}',
        'instance': failure.source,
        'id': failure.request_id,
        'told': failure.told,
        'why': failure.why,
    }


def _print(story: stories.Story) -> None:
    began_s = story.decisions[0].at_s if story.decisions else 0
    if story.context:
        output.line('what its instance believed:')
        output.show([_row(line, began_s) for line in story.context], False)
    if story.decisions:
        output.line('what was decided:')
        output.show([_row(line, began_s) for line in story.decisions], False)
    output.line(f'cause: {story.cause}')


def _row(line: stories.Said, began_s: float) -> dict[str, object]:
    fields = {
        name: text for name, text in line.field_by_name.items() if name != 'id'
    }
    return {
        'ms': f'{(line.at_s - began_s) * _MS_PER_S:+.1f}',
        'instance': line.source,
        'what': line.kind,
        'on': fields,
    }


def _document_of(story: stories.Story) -> dict[str, object]:
    return {
        'id': story.request_id,
        'cause': story.cause,
        'decisions': [line._asdict() for line in story.decisions],
        'context': [line._asdict() for line in story.context],
    }


def _counted(
    path: pathlib.Path,
    opened: typing.Iterable[str],
    faulty: list[errors.Problem],
) -> list[dict[str, object]]:
    count_by_kind: dict[str, int] = {}
    for number, text in enumerate(opened, start=1):
        line = lines.read(text.rstrip('\n'))
        if line is None and 'event=' in text:
            faulty.append(_problem(path, number))
        kind = line.kind if line else '(other)'
        count_by_kind[kind] = count_by_kind.get(kind, 0) + 1
    return [
        {'file': str(path), 'event': kind, 'lines': count}
        for kind, count in sorted(count_by_kind.items())
    ]


def _problem(path: pathlib.Path, number: int) -> errors.Problem:
    return errors.Problem(
        errors.ProblemKind.USAGE,
        f'{path}:{number}',
        'not a line of key=value pairs',
        'name a log as an instance wrote it',
    )
