"""Logs: one line of key=value pairs for each event.

What is written goes to one sink, or nowhere before ``start``. A daemon may
have another writer take events, such as ``eliot_logs``.
"""

import logging
import time
import typing

from oleanderstair.explaining import lines, sinks

Writer: typing.TypeAlias = typing.Callable[[str, dict[str, object]], None]

STANDARD_ERROR: typing.Final = 2

_writers: list[Writer] = []
_sinks: list[sinks.Sink] = []


def start(to: sinks.Sink | None = None) -> sinks.Sink:
    """Write every event to a sink, or standard error; return the sink."""
    taking = to or sinks.to_descriptor(STANDARD_ERROR)

    def write(kind: str, fields: dict[str, object]) -> None:
        taking.put(format_line(kind, fields))
        taking.flush()

    start_by(write)
    _sinks.append(taking)
    return taking


def sink() -> sinks.Sink:
    """Return where lines go, for those that write many of them."""
    return _sinks[-1] if _sinks else sinks.NoSink()


def start_by(write: Writer) -> None:
    """Give every event to ``write`` from now on."""
    _writers.append(write)


def event(kind: str, **fields: object) -> None:
    """Log one event with its fields."""
    for write in _writers:
        write(kind, fields)


def format_line(kind: str, fields: typing.Mapping[str, object]) -> str:
    """Return an event as key=value pairs: its kind, the time, its fields."""
    pairs = [('at', f'{time.time():.4f}')]
    pairs.extend((name, str(field)) for name, field in fields.items())
    return lines.write(kind, pairs)


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
