"""The daemon of one entry instance."""

import dataclasses
import pathlib
import sys
import typing

import anyio
import cappa
import zmq

from oleanderstair import eliot_logs, errors, running, settings
from oleanderstair.engine import node


@cappa.command(name='oleanderstaird')
@dataclasses.dataclass
class Daemon:
    """Run one entry instance until a planned stop (SIGTERM)."""

    settings: typing.Annotated[
        pathlib.Path,
        cappa.Arg(long=True, help='The settings file, JSON with comments.'),
    ]


def main() -> None:
    """Run the daemon named on the command line."""
    command = cappa.parse(Daemon)
    try:
        anyio.run(_start, command.settings)
    except errors.UserError as error:
        sys.stderr.write(f'{error}\n')
        raise SystemExit(running.EXIT_WRONG_USE) from error


async def _start(path: pathlib.Path) -> None:
    checked = settings.load(path)
    if checked.log.to == 'stderr':
        eliot_logs.start()
    await running.run(_create(checked))


def _create(checked: settings.Settings) -> node.Node:
    try:
        return node.create(checked)
    except (OSError, zmq.ZMQError) as error:
        raise errors.UserError(
            errors.Problem(
                errors.ProblemKind.SETTINGS,
                'callers, admin or peers',
                f'cannot listen: {error}',
                'choose a host and ports that are free here',
            ),
        ) from error


if __name__ == '__main__':
    main()
