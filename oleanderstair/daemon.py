"""The daemon of one entry instance."""

import dataclasses
import gc
import os
import pathlib
import signal
import sys
import typing

import anyio
import cappa
import zmq

from oleanderstair import errors, logs, settings
from oleanderstair.engine import node

EXIT_WRONG_USE: typing.Final = 2
_EXIT_AT_ONCE: typing.Final = 1


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
        raise SystemExit(EXIT_WRONG_USE) from error


async def run(instance: node.Node) -> None:
    """Run one instance; a second signal ends it at once."""
    gc.freeze()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, instance)
        await instance.run()
        tasks.cancel_scope.cancel()


async def _start(path: pathlib.Path) -> None:
    checked = settings.load(path)
    if checked.log.to == 'stderr':
        logs.start()
    await run(_create(checked))


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


async def _watch_signals(instance: node.Node) -> None:
    stopping = False
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if stopping:
                os._exit(_EXIT_AT_ONCE)  # noqa: SLF001 (no clean-up)
            stopping = True
            instance.stop()


if __name__ == '__main__':
    main()
