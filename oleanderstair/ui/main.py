"""Parses the command line and runs the command that it names."""

import dataclasses
import sys
import typing

import cappa

from oleanderstair import errors
from oleanderstair.ui import checks, demo, keys, notes, reports

EXIT_WRONG_USE: typing.Final = 2


@cappa.command(name='oleanderstair')
@dataclasses.dataclass
class Oleanderstair:
    """Check notes and settings, and ask entry instances what they do."""

    command: cappa.Subcommands[
        checks.Settings
        | notes.Note
        | reports.Status
        | reports.Targets
        | reports.Instances
        | reports.Audit
        | reports.Metrics
        | keys.Keys
        | demo.Demo
    ]


def main() -> None:
    """Run the command line; a user's error prints one line."""
    try:
        cappa.invoke(Oleanderstair)
    except errors.UserError as error:
        sys.stderr.write(f'{error}\n')
        raise SystemExit(EXIT_WRONG_USE) from error
