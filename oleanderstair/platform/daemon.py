"""The daemon of one entry instance on the users' platform."""

import os
import pathlib
import sys
import typing

import anyio

from oleanderstair import errors, logs, running, settings
from oleanderstair.platform import node

SETTINGS_VARIABLE: typing.Final = 'OLEANDERSTAIR_CONFIG'


def main() -> None:
    """Run the instance whose settings the environment names."""
    try:
        anyio.run(_start, pathlib.Path(os.environ[SETTINGS_VARIABLE]))
    except errors.UserError as error:
        sys.stderr.write(f'{error}\n')
        raise SystemExit(running.EXIT_WRONG_USE) from error


async def _start(path: pathlib.Path) -> None:
    checked = settings.load(path)
    if checked.log.to == 'stderr':
        logs.start()
    await running.run(node.create(checked))


if __name__ == '__main__':
    main()
