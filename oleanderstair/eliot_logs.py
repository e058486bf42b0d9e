"""Hands log events to eliot, which formats and writes them.

Importing eliot takes memory and start time that an instance on the users'
platform pays for, so only the daemon that is steered by notes uses it.
"""

import sys
import typing

import eliot

from oleanderstair import logs
from oleanderstair.explaining import lines

_HIDDEN: typing.Final = frozenset(('task_uuid', 'task_level', 'message_type'))


def start(stream: typing.TextIO = sys.stderr) -> None:
    """Write every event to ``stream`` from now on."""

    def write(message: dict[str, typing.Any]) -> None:
        stream.write(f'{format_line(message)}\n')

    eliot.add_destinations(write)
    logs.start_by(_give)


def format_line(message: typing.Mapping[str, typing.Any]) -> str:
    """Return an event of eliot as key=value pairs, its kind first."""
    return lines.write(
        str(message.get('message_type', '?')),
        [
            (name, str(field))
            for name, field in message.items()
            if name not in _HIDDEN
        ],
    )


def _give(kind: str, fields: dict[str, object]) -> None:
    eliot.log_message(message_type=kind, **fields)
