"""Runs one entry instance by a settings file, to its exit code."""

import functools
import pathlib
import sys

import anyio

from oleanderstair import errors, logs, reloading, running, settings
from oleanderstair.platform import node


def run(path: pathlib.Path) -> int:
    """Run the instance of the file at ``path`` and return its exit code."""
    try:
        anyio.run(_serve, path)
    except errors.UserError as error:
        sys.stderr.write(f'{error}\n')
        return running.EXIT_WRONG_USE
    return 0


async def _serve(path: pathlib.Path) -> None:
    checked = settings.load(path)
    if checked.log.to == 'stderr':
        logs.start()
    instance = node.create(checked)
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
