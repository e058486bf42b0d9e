"""The commands that check and compare release notes."""

import dataclasses
import pathlib
import typing

import cappa
import result

from oleanderstair import errors
from oleanderstair.domain import notes
from oleanderstair.domain.tables import catalogue
from oleanderstair.ui import output

Files: typing.TypeAlias = typing.Annotated[
    list[pathlib.Path],
    cappa.Arg(help='The notes, oldest first.', num_args=-1, required=True),
]


def check_notes(command: 'NoteCheck') -> None:
    """Apply the notes in order, from the empty catalogue on."""
    current = catalogue.empty()
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


@cappa.command(name='check', invoke=check_notes)
@dataclasses.dataclass
class NoteCheck:
    """Check notes in the order of their numbers."""

    files: Files
    json: output.AsJson = False


@cappa.command(name='note')
@dataclasses.dataclass
class Note:
    """Work with release notes."""

    command: cappa.Subcommands[NoteCheck]


def _apply_file(
    before: catalogue.Catalogue,
    path: pathlib.Path,
) -> catalogue.Catalogue:
    parsed = notes.parse(path.read_bytes())
    if isinstance(parsed, result.Err):
        raise errors.UserError(parsed.err_value)
    applied = notes.apply_note(before, parsed.ok_value)
    if isinstance(applied, result.Err):
        raise errors.UserError(applied.err_value)
    return applied.ok_value
