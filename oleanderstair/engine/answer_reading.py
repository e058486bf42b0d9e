"""Measures how a client reads its answers, and ends it if it stops."""

import asyncio
import typing

from oleanderstair import clock
from oleanderstair.domain import byte_budgets
from oleanderstair.engine import byte_ledger, socket_state

_CHECKS: typing.Final = 4
"""How often the reading of an answer is checked within its timeout."""

_MAX_CHECK_INTERVAL_MS: typing.Final = 500
"""The longest time between two checks where buffered bytes are limited."""

_MAX_WAIT_MS: typing.Final = 30_000
"""The longest time for which a client that reads nothing is waited for. The
deadlines of the deployments are up to 17 s."""

_MS_PER_S: typing.Final = 1000

AnswerTimeOf: typing.TypeAlias = typing.Callable[[], clock.Millis]
"""Return the time in which a client must read some part of an answer."""


class AnswerReading:
    """What the client of one connection has read of its answers.

    ``is_end_sent`` is set once this side has ended the stream.
    """

    def __init__(
        self,
        reader: byte_ledger.AnswerReader,
        ledger: byte_ledger.ByteLedger | None,
        answer_time_of: AnswerTimeOf,
    ) -> None:
        """Count the unread bytes of ``reader`` in ``ledger``, if any."""
        self.is_end_sent = False
        self._reader = reader
        self._ledger = ledger
        self._answer_time_of = answer_time_of
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._written_bytes = 0
        self._read_bytes = 0
        self._read_at_s: float = 0
        self._awaited_until_s: float = 0

    def start(self, transport: asyncio.Transport) -> None:
        """Measure the connection of ``transport``."""
        self._transport = transport

    def stop(self) -> None:
        """Measure and count nothing any more."""
        if self._timer is not None:
            self._timer.cancel()
        if self._ledger is not None:
            self._ledger.set_unread(self._reader, 0)

    def add_written(self, size: int) -> None:
        """Count written bytes."""
        self._written_bytes += size

    def watch(self) -> None:
        """Limit the time for which the client may stop reading an answer."""
        unread_bytes = self.count_unread_bytes()
        if unread_bytes and not self._timer:
            self.note_progress()
            self._check_later()
        if self._ledger is not None:
            self._ledger.set_unread(self._reader, unread_bytes)

    def note_progress(self) -> None:
        """Measure the time without reading from now on."""
        self._note_read(self._count_read_bytes())

    def await_client(self, remaining_ms: clock.Millis) -> None:
        """Wait ``remaining_ms`` for the client to read the next answer."""
        wait_ms = min(remaining_ms, _MAX_WAIT_MS)
        self._awaited_until_s = max(
            self._awaited_until_s,
            self._loop.time() + clock.to_seconds(wait_ms),
        )

    def measure(self) -> byte_budgets.Reader:
        """Return what is unread and how long the client has read nothing."""
        read_bytes = self._count_read_bytes()
        if read_bytes > self._read_bytes:
            self._note_read(read_bytes)
        now_s = self._loop.time()
        return byte_budgets.Reader(
            self.count_unread_bytes(),
            (now_s - self._read_at_s) * _MS_PER_S,
            (self._awaited_until_s - now_s) * _MS_PER_S,
        )

    def has_stopped(self, reading: byte_budgets.Reader) -> bool:
        """Return whether the client reads no more of its answers.

        Until its deadline it may go on.
        """
        if reading.awaited_ms > 0:
            return False
        return reading.stopped_ms >= self._answer_time_of()

    def count_unread_bytes(self) -> int:
        """Return the bytes of answers that wait for the client.

        Those in the kernel count only where buffered bytes are limited.
        """
        if self._ledger is None:
            return self._count_buffered_bytes()
        return self.count_undelivered_bytes()

    def count_undelivered_bytes(self) -> int:
        """Return the bytes that the process and the kernel still have."""
        return self._count_buffered_bytes() + self._count_kernel_bytes()

    def _count_read_bytes(self) -> int:
        """Return how many bytes of its answers the client has received.

        Those in the buffers of the process and of the kernel are not counted.
        The kernel buffer of a slow client takes megabytes, so the buffer of
        the process alone may not shrink for minutes though the client reads.
        """
        return self._written_bytes - self.count_undelivered_bytes()

    def _count_buffered_bytes(self) -> int:
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def _count_kernel_bytes(self) -> int:
        """Return how many bytes the kernel has not delivered, if it says so."""
        if self._transport is None:
            return 0
        unsent_bytes = socket_state.count_unsent_bytes(self._transport)
        # The kernel counts the end of the stream as a byte until it is
        # acknowledged.
        return max(unsent_bytes - self.is_end_sent, 0)

    def _note_read(self, read_bytes: int) -> None:
        self._read_bytes = read_bytes
        self._read_at_s = self._loop.time()

    def _check_later(self) -> None:
        interval_ms = self._answer_time_of() / _CHECKS
        if self._ledger is not None:
            interval_ms = min(interval_ms, _MAX_CHECK_INTERVAL_MS)
        self._timer = self._loop.call_later(
            clock.to_seconds(interval_ms), self._check
        )

    def _check(self) -> None:
        """Abort the connection if its client has stopped reading."""
        self._timer = None
        reading = self.measure()
        if reading.unread_bytes and self.has_stopped(reading):
            if self._transport is not None:
                self._transport.abort()
        elif reading.unread_bytes:
            self._check_later()
        if self._ledger is not None:
            self._ledger.set_unread(self._reader, reading.unread_bytes)


def create(
    reader: byte_ledger.AnswerReader,
    ledger: byte_ledger.ByteLedger | None,
    answer_time_of: AnswerTimeOf,
) -> AnswerReading:
    """Create the measurement of a new connection."""
    return AnswerReading(reader, ledger, answer_time_of)
