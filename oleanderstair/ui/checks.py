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
    """Load each file over the defaults; JSON lists all that is in force."""
    checked_by_file = {str(path): settings.load(path) for path in command.files}
    if command.json:
        effective = [
            {'file': name, 'settings': settings.as_tree(checked)}
            for name, checked in checked_by_file.items()
        ]
        output.show(effective, as_json=True)
        return
    rows = [
        {
            'file': name,
            'instance': checked.instance.id,
            'region': checked.instance.region,
            'data_centre': checked.instance.data_centre,
        }
        for name, checked in checked_by_file.items()
    ]
    output.show(rows, as_json=False)


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
