"""Passes log events through eliot and writes them as lines.

Importing eliot costs memory and start time. So only the daemon that is
configured by release notes uses it, not the one on the users' platform.
"""

import sys
import typing

import eliot

from oleanderstair import logs
from oleanderstair.explaining import lines

_HIDDEN_FIELDS: typing.Final = frozenset(
    ('task_uuid', 'task_level', 'message_type')
)


def start(stream: typing.TextIO = sys.stderr) -> None:
    """Write each event to ``stream`` from now on."""

    def write(message: dict[str, typing.Any]) -> None:
        stream.write(f'{format_line(message)}\n')

    eliot.add_destinations(write)
    logs.add_writer(_forward_event)


def format_line(message: typing.Mapping[str, typing.Any]) -> str:
    """Return an eliot message as key=value pairs, the event kind first."""
    return lines.write(
        str(message.get('message_type', '?')),
        [
            (name, str(field))
            for name, field in message.items()
            if name not in _HIDDEN_FIELDS
        ],
    )


def _forward_event(kind: str, fields: dict[str, object]) -> None:
    eliot.log_message(message_type=kind, **fields)
