"""Runs a case, and ends what it started if the case is stopped."""

import asyncio
import pathlib
import signal
import sys
import types
import typing

from review.stage import instances

CANT_RUN = 2

Play: typing.TypeAlias = typing.Callable[
    [instances.Record], typing.Coroutine[typing.Any, typing.Any, int]
]


def run(folder: pathlib.Path, play: Play) -> int:
    """Run a case that writes its record to ``folder``; return its exit code.

    SIGTERM, as sent after the time of a case, ends its processes as well.
    """
    record = instances.Record(folder)
    record.note(f'trouble: {instances.has_trouble()}')
    signal.signal(signal.SIGTERM, _stop)
    try:
        code = asyncio.run(play(record))
    except (OSError, RuntimeError) as error:
        record.note(f'could not run: {error!r}')
        code = CANT_RUN
    record.note(f'exit {code}')
    record.close()
    return code


def _stop(number: int, frame: types.FrameType | None) -> typing.NoReturn:
    sys.exit(CANT_RUN)
