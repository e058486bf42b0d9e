"""Logs: one line of key=value pairs for each event, by eliot."""

import logging
import sys
import typing

import eliot

_HIDDEN: typing.Final = frozenset(('task_uuid', 'task_level', 'message_type'))
_NEEDS_QUOTES: typing.Final = frozenset(' ="\n')


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
    if text and not _NEEDS_QUOTES & set(text):
        return text
    escaped = text.replace('"', r'\"').replace('\n', r'\n')
    return f'"{escaped}"'
