"""Parses the command line and runs the command that it names."""

import dataclasses
import sys

import cappa

from oleanderstair import errors
from oleanderstair.ui import (
    checks,
    demo,
    explain,
    keys,
    notes,
    output,
    replay,
    reports,
)


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
        | reports.Where
        | keys.Keys
        | demo.Demo
        | replay.Replay
        | replay.Trace
        | explain.Explain
        | explain.Logs
    ]


def main() -> None:
    """Run the command line; a user's error prints one line."""
    try:
        cappa.invoke(Oleanderstair)
    except errors.UserError as error:
        sys.stderr.write(f'{error}\n')
        is_away = error.problem.kind is errors.ProblemKind.CONNECTION
        code = output.EXIT_NO if is_away else output.EXIT_WRONG_USE
        raise SystemExit(code) from error
    except (FileNotFoundError, PermissionError, IsADirectoryError) as unread:
        problem = errors.Problem(
            errors.ProblemKind.USAGE,
            str(unread.filename),
            str(unread.strerror),
            'name a file that can be read',
        )
        sys.stderr.write(f'{problem.message}\n')
        raise SystemExit(output.EXIT_WRONG_USE) from unread
