"""Closes a connection once its client has received the last answer.

A close with unread input, or before input that is on its way, sends a reset,
which can discard the answer.
"""

import asyncio
import contextlib
import typing

from oleanderstair import clock
from oleanderstair.engine import answer_reading

_QUIET_MS: typing.Final = 500
"""Time without input between the last answer and the close."""


class LingeringClose:
    """The close of one connection, whose input is dropped meanwhile."""

    def __init__(self, reading: answer_reading.AnswerReading) -> None:
        """Close once ``reading`` has seen all answers delivered."""
        self._reading = reading
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._close_by_s: float = 0
        self._has_input = False

    @property
    def is_begun(self) -> bool:
        """Return whether the stream has been ended."""
        return self._reading.is_end_sent

    def begin(self, transport: asyncio.Transport, max_ms: clock.Millis) -> None:
        """End the stream and close within ``max_ms`` of the delivery."""
        self._close_by_s = self._loop.time() + clock.to_seconds(max_ms)
        self._reading.is_end_sent = True
        with contextlib.suppress(OSError):
            transport.write_eof()

    def wait(self, transport: asyncio.Transport) -> None:
        """Close once the client has sent nothing for a while."""
        self._reading.note_progress()
        self._check_later(transport)

    def note_input(self) -> None:
        """Take that the client still sends."""
        self._has_input = True

    def stop(self) -> None:
        """Wait no more, as the connection has ended."""
        if self._timer is not None:
            self._timer.cancel()

    def close_if_delivered(self, transport: asyncio.Transport) -> None:
        """Close at once if nothing is on its way."""
        if not self._reading.count_undelivered_bytes():
            transport.close()

    def _check_later(self, transport: asyncio.Transport) -> None:
        self._has_input = False
        self._timer = self._loop.call_later(
            clock.to_seconds(_QUIET_MS), self._check, transport
        )

    def _check(self, transport: asyncio.Transport) -> None:
        unread_bytes = self._reading.count_undelivered_bytes()
        if unread_bytes and self._reading.has_stopped(self._reading.measure()):
            transport.abort()
        elif unread_bytes or (
            self._has_input and self._loop.time() < self._close_by_s
        ):
            self._check_later(transport)
        else:
            transport.close()


def create(reading: answer_reading.AnswerReading) -> LingeringClose:
    """Create the close of a connection, to be begun later."""
    return LingeringClose(reading)
