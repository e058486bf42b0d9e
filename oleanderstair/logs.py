"""Logs each event as one line of key=value pairs.

Events go to the registered writers, and are dropped before there is one.
``start`` registers a writer to a sink, ``eliot_logs`` one to eliot.
"""

import logging
import time
import typing

from oleanderstair.explaining import lines, sinks

Writer: typing.TypeAlias = typing.Callable[[str, dict[str, object]], None]

STANDARD_ERROR: typing.Final = 2
"""The file descriptor of standard error."""

_writers: list[Writer] = []
_sinks: list[sinks.Sink] = []


def start(to: sinks.Sink | None = None) -> sinks.Sink:
    """Write each event to the sink ``to`` from now on, and return the sink.

    Without ``to``, the sink is standard error.
    """
    chosen_sink = to or sinks.to_descriptor(STANDARD_ERROR)

    def write(kind: str, fields: dict[str, object]) -> None:
        chosen_sink.put(format_line(kind, fields))
        chosen_sink.flush()

    add_writer(write)
    _sinks.append(chosen_sink)
    return chosen_sink


def current_sink() -> sinks.Sink:
    """Return the sink of the last ``start``, for direct writes of many lines.

    Before any ``start`` it is a sink that drops its lines.
    """
    return _sinks[-1] if _sinks else sinks.NoSink()


def add_writer(write: Writer) -> None:
    """Pass each event to ``write`` from now on."""
    _writers.append(write)


def log_event(kind: str, **fields: object) -> None:
    """Log an event of ``kind`` with its fields."""
    for write in _writers:
        write(kind, fields)


def format_line(kind: str, fields: typing.Mapping[str, object]) -> str:
    """Return an event as a line: its kind, the wall time in s, its fields."""
    pairs = [('at', f'{time.time():.4f}')]
    pairs.extend((name, str(field)) for name, field in fields.items())
    return lines.write(kind, pairs)


class _Handler(logging.Handler):
    def emit(self, record: logging.LogRecord) -> None:
        cause = repr(record.exc_info[1]) if record.exc_info else ''
        log_event(
            'library',
            logger=record.name,
            level=record.levelname.lower(),
            message=record.getMessage().strip(),
            cause=cause,
        )


def create_handler() -> logging.Handler:
    """Create a handler that logs a library's records as events."""
    return _Handler()
