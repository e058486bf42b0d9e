"""Runs an entry instance from a settings file and returns the exit code."""

import functools
import pathlib
import sys

import anyio

from oleanderstair import (
    errors,
    logs,
    reloading,
    running,
    settings,
    start_times,
)
from oleanderstair.platform import node


def run_from_file(
    path: str,
    times: start_times.StartTimes,
) -> int:
    """Run an instance with the settings file at ``path``.

    ``times`` records the phases of the start. Return 0 after a planned stop,
    or ``running.EXIT_WRONG_USE`` if the settings are invalid; the problem is
    then written to standard error.
    """
    try:
        anyio.run(_serve, pathlib.Path(path), times)
    except errors.UserError as error:
        sys.stderr.write(f'{error}\n')
        return running.EXIT_WRONG_USE
    return 0


async def _serve(
    path: pathlib.Path,
    times: start_times.StartTimes,
) -> None:
    valid_settings = settings.load(path)
    times.mark(start_times.CONFIGURED)
    if valid_settings.log.to == 'stderr':
        logs.start()
    instance = node.create(valid_settings, times)
    reloader = reloading.create(
        path,
        valid_settings,
        functools.partial(_apply_change, instance),
    )
    await running.run_reloading_instance(instance, reloader)


def _apply_change(
    instance: node.Node,
    valid_settings: settings.Settings,
    change: reloading.Change,
    actor: str,
) -> None:
    logs.log_event('settings-reloaded', actor=actor, what=change.summary)
    instance.reload(valid_settings, change.summary, actor)
