"""Runs one entry instance by a settings file, to its exit code."""

import functools
import pathlib
import sys

import anyio

from oleanderstair import errors, logs, reloading, running, settings
from oleanderstair.platform import early, node


def run(path: pathlib.Path, opened: early.Sockets) -> int:
    """Run the instance of the file at ``path`` and return its exit code.

    It takes the listeners that were ``opened`` for it.
    """
    try:
        anyio.run(_serve, path, opened)
    except errors.UserError as error:
        sys.stderr.write(f'{error}\n')
        return running.EXIT_WRONG_USE
    return 0


async def _serve(path: pathlib.Path, opened: early.Sockets) -> None:
    checked = settings.load(path)
    if checked.log.to == 'stderr':
        logs.start()
    instance = node.create(checked, opened)
    reloader = reloading.create(
        path,
        checked,
        functools.partial(_apply, instance),
    )
    await running.run_reloading(instance, reloader)


def _apply(
    instance: node.Node,
    checked: settings.Settings,
    change: reloading.Change,
    actor: str,
) -> None:
    logs.event('settings-reloaded', actor=actor, what=change.text)
    instance.reload(checked, change.text, actor)
