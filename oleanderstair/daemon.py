"""The daemon of one entry instance."""

import dataclasses
import gc
import pathlib
import signal
import sys
import typing

import anyio
import cappa

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
        checked = settings.load(command.settings)
    except errors.UserError as error:
        sys.stderr.write(f'{error}\n')
        raise SystemExit(EXIT_WRONG_USE) from error
    if checked.log.to == 'stderr':
        logs.start()
    anyio.run(run, checked)


async def run(checked: settings.Settings) -> None:
    """Run one instance; a second signal ends it at once."""
    instance = node.create(checked)
    gc.freeze()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, instance)
        await instance.run()
        tasks.cancel_scope.cancel()


async def _watch_signals(instance: node.Node) -> None:
    stopping = False
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if stopping:
                raise SystemExit(_EXIT_AT_ONCE)
            stopping = True
            instance.stop()


if __name__ == '__main__':
    main()
