"""The daemon of an entry instance that is configured by release notes."""

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
    """Parse the command line and run the daemon.

    Exit with ``running.EXIT_WRONG_USE`` if the settings are invalid.
    """
    command = cappa.parse(Daemon)
    try:
        anyio.run(_run_daemon, command.settings)
    except errors.UserError as error:
        sys.stderr.write(f'{error}\n')
        raise SystemExit(running.EXIT_WRONG_USE) from error


async def _run_daemon(path: pathlib.Path) -> None:
    valid_settings = settings.load(path)
    if valid_settings.log.to == 'stderr':
        eliot_logs.start()
    await running.run_instance(_create_node(valid_settings))


def _create_node(valid_settings: settings.Settings) -> node.Node:
    try:
        return node.create(valid_settings)
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
