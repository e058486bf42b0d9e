"""Logs: one line of key=value pairs for each event, by eliot."""

import logging
import re
import sys
import typing

import eliot

_HIDDEN: typing.Final = frozenset(('task_uuid', 'task_level', 'message_type'))
_NEEDS_QUOTES: typing.Final = re.compile(r'[^\x21\x23-\x3c\x3e-\x5b\x5d-\x7e]')


def start(stream: typing.TextIO = sys.stderr) -> None:
    """Write every event to ``stream`` from now on."""

    def write(message: dict[str, typing.Any]) -> None:
        stream.write(f'{format_line(message)}\n')

    eliot.add_destinations(write)


def event(kind: str, **fields: object) -> None:
    """Log one event with its fields."""
    eliot.log_message(message_type=kind, **fields)


class _Handler(logging.Handler):
    def emit(self, record: logging.LogRecord) -> None:
        cause = repr(record.exc_info[1]) if record.exc_info else ''
        event(
            'library',
            logger=record.name,
            level=record.levelname.lower(),
            message=record.getMessage().strip(),
            cause=cause,
        )


def handler() -> logging.Handler:
    """Return a handler that turns a library's log records into events."""
    return _Handler()


def format_line(message: dict[str, typing.Any]) -> str:
    """Return an event as key=value pairs, its kind first."""
    pairs = [f'event={message.get("message_type", "?")}']
    pairs.extend(
        f'{name}={_quote(str(field))}'
        for name, field in message.items()
        if name not in _HIDDEN
    )
    return ' '.join(pairs)


def _quote(text: str) -> str:
    if text and _NEEDS_QUOTES.search(text) is None:
        return text
    # Nothing that a caller sends may end a line or forge a pair.
    escaped = text.encode('unicode_escape').decode('ascii')
    return '"{0}"'.format(escaped.replace('"', r'\"'))
