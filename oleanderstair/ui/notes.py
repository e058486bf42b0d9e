"""The commands that check, compare and compact release notes."""

import dataclasses
import pathlib
import typing

import cappa
import result

from oleanderstair import errors
from oleanderstair.domain.configuration import catalogues, notes
from oleanderstair.domain.tables import catalogue
from oleanderstair.ui import output

_INDEX_SUFFIX: typing.Final = '.index'

Files: typing.TypeAlias = typing.Annotated[
    list[pathlib.Path],
    cappa.Arg(help='The notes, oldest first.', num_args=-1, required=True),
]


def check_notes(command: 'NoteCheck') -> None:
    """Apply the notes in order, from the empty catalogue on."""
    current = catalogue.empty_catalogue()
    rows = []
    for path in command.files:
        current = _apply_file(current, path)
        rows.append(
            {
                'file': str(path),
                'number': current.number,
                'services': len(current.service_by_name),
                'targets': len(current.target_by_id),
                'digest': current.digest,
            },
        )
    output.show(rows, as_json=command.json)


def diff_notes(command: 'NoteDiff') -> None:
    """Compare the catalogues after two notes of one directory or two."""
    old = _catalogue_after(command.old)
    new = _catalogue_after(command.new)
    rows = [
        *_changes('service', old.service_by_name, new.service_by_name),
        *_changes('target', old.target_by_id, new.target_by_id),
    ]
    output.show(rows, as_json=command.json)


def compact_notes(command: 'NoteCompact') -> None:
    """Write the values of the whole catalogue after all notes."""
    whole = catalogue.empty_catalogue()
    for path in command.files:
        whole = _apply_file(whole, path)
    values = catalogues.split_catalogue(whole)
    if isinstance(values, result.Err):
        raise errors.UserError(values.err_value)
    rows = []
    for found in values.ok_value:
        written = command.into / found.name
        # The index and the directory of its parts share a name.
        if found.name == catalogues.INDEX_NAME:
            written = written.with_suffix(_INDEX_SUFFIX)
        _write(written, found.body)
        rows.append(
            {
                'value': found.name,
                'file': str(written),
                'bytes': len(found.body),
            },
        )
    output.show(rows, as_json=command.json)


@cappa.command(name='check', invoke=check_notes)
@dataclasses.dataclass
class NoteCheck:
    """Check notes in the order of their numbers."""

    files: Files
    json: output.AsJson = False


@cappa.command(name='diff', invoke=diff_notes)
@dataclasses.dataclass
class NoteDiff:
    """Show what changes between the catalogues after two notes."""

    old: typing.Annotated[
        pathlib.Path,
        cappa.Arg(help='A note; those before it lie in its directory.'),
    ]
    new: typing.Annotated[
        pathlib.Path,
        cappa.Arg(help='A later note, of this or another directory.'),
    ]
    json: output.AsJson = False


@cappa.command(name='compact', invoke=compact_notes)
@dataclasses.dataclass
class NoteCompact:
    """Write the whole catalogue as values below 1 MB.

    Publish the parts first and the index `catalogue` last.
    """

    files: Files
    into: typing.Annotated[
        pathlib.Path,
        cappa.Arg(long=True, help='The directory to write the values to.'),
    ]
    json: output.AsJson = False


@cappa.command(name='note')
@dataclasses.dataclass
class Note:
    """Work with release notes."""

    command: cappa.Subcommands[NoteCheck | NoteDiff | NoteCompact]


def _catalogue_after(path: pathlib.Path) -> catalogue.Catalogue:
    """Apply the notes of a directory up to the one at ``path``."""
    last = _parse_file(path).number
    current = catalogue.empty_catalogue()
    found = {
        note.number: note
        for note in map(_parse_file, path.parent.glob(f'*{path.suffix}'))
    }
    for number in sorted(found):
        if number <= last:
            current = _apply(current, found[number])
    return current


def _changes(
    kind: str,
    old: typing.Mapping[str, typing.Any],
    new: typing.Mapping[str, typing.Any],
) -> list[dict[str, object]]:
    rows: list[dict[str, object]] = []
    for name in sorted(old.keys() | new.keys()):
        if old.get(name) != new.get(name):
            rows.append(
                {
                    'kind': kind,
                    'name': name,
                    'change': _change(name in old, name in new),
                    'fields': _changed_fields(old.get(name), new.get(name)),
                },
            )
    return rows


def _change(was: bool, is_now: bool) -> str:
    if was and is_now:
        return 'changed'
    return 'added' if is_now else 'withdrawn'


def _changed_fields(
    old: typing.Any,
    new: typing.Any,
) -> str:
    if old is None or new is None:
        return ''
    before = old._asdict()
    return ' '.join(
        f'{name}={before[name]}->{entry}'
        for name, entry in new._asdict().items()
        if entry != before[name]
    )


def _write(path: pathlib.Path, body: bytes) -> None:
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(body)
    except OSError as error:
        raise _unusable(path, error) from error


def _apply_file(
    before: catalogue.Catalogue,
    path: pathlib.Path,
) -> catalogue.Catalogue:
    return _apply(before, _parse_file(path))


def _parse_file(path: pathlib.Path) -> catalogue.Note:
    try:
        body = path.read_bytes()
    except OSError as error:
        raise _unusable(path, error) from error
    parsed = notes.parse_note(body)
    if isinstance(parsed, result.Err):
        raise errors.UserError(parsed.err_value)
    return parsed.ok_value


def _apply(
    before: catalogue.Catalogue,
    note: catalogue.Note,
) -> catalogue.Catalogue:
    applied = notes.apply_note(before, note)
    if isinstance(applied, result.Err):
        raise errors.UserError(applied.err_value)
    return applied.ok_value


def _unusable(path: pathlib.Path, error: OSError) -> errors.UserError:
    return errors.UserError(
        errors.Problem(
            errors.ProblemKind.USAGE,
            str(path),
            str(error),
            'name a file or directory that can be used',
        ),
    )
