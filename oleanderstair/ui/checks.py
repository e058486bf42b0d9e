"""The command that checks settings without a running system."""

import dataclasses
import pathlib
import typing

import cappa

from oleanderstair import settings
from oleanderstair.ui import output

Files: typing.TypeAlias = typing.Annotated[
    list[pathlib.Path],
    cappa.Arg(help='The settings files.', num_args=-1, required=True),
]


def check_settings(command: 'SettingsCheck') -> None:
    """Load each settings file over the defaults."""
    rows = []
    for path in command.files:
        checked = settings.load(path)
        rows.append({'file': str(path), 'instance': checked.instance.id})
    output.show(rows, as_json=command.json)


@cappa.command(name='check', invoke=check_settings)
@dataclasses.dataclass
class SettingsCheck:
    """Check settings files; exit 2 names the field and the remedy."""

    files: Files
    json: output.AsJson = False


@cappa.command(name='settings')
@dataclasses.dataclass
class Settings:
    """Work with settings files."""

    command: cappa.Subcommands[SettingsCheck]
