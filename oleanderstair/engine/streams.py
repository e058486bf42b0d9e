"""Connections to targets, straight on the event loop.

Each carries one request at a time, written in one piece, and hands every
byte that arrives to the reader of its answers.
"""

import asyncio
import contextlib
import functools
import socket
import typing

import anyio

from oleanderstair import clock
from oleanderstair.engine import answers

UNANSWERED_MS: typing.Final = 3000
"""How long a peer may leave bytes or a probe of the kernel unanswered."""

_PROBE_AFTER_S: typing.Final = 1
_PROBE_EVERY_S: typing.Final = 1
_PROBES: typing.Final = 2
_OPTIONS: typing.Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_AFTER_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_EVERY_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNANSWERED_MS),
)


class CannotConnect(Exception):
    """No connection was made, so that nothing was sent."""


class Expected(typing.NamedTuple):
    """Which answer a request awaits, and for how long."""

    method: bytes
    is_other: answers.IsOther
    bound_ms: clock.Millis


class Cancelled(typing.NamedTuple):
    """Whoever asked wants no answer any more."""


Outcome: typing.TypeAlias = answers.Answer | answers.Fault | Cancelled | None
"""What a request brought; None where nothing came within its bound."""

Take: typing.TypeAlias = typing.Callable[[Outcome], None]
Cancel: typing.TypeAlias = typing.Callable[[], None]


class Connection(asyncio.Protocol):
    """One connection to a target; times are of the event loop, in s."""

    def __init__(self, reader: answers.Reader) -> None:
        """Hand what arrives to ``reader``."""
        self._reader = reader
        self._loop = asyncio.get_running_loop()
        self._take: Take | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self._is_over = False
        self._begun_at_s: float | None = None
        self.answered_at_s = self._loop.time()
        self._written_at_s = self.answered_at_s
        self.rested_s: float = 0
        self.uses = 0

    # The event loop's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and have the kernel watch the peer."""
        self._transport = typing.cast(asyncio.Transport, transport)
        made = transport.get_extra_info('socket')
        for level, option, wanted in _OPTIONS:
            # A kernel without an option leaves the bounds of exchanges.
            with contextlib.suppress(OSError):
                made.setsockopt(level, option, wanted)

    def data_received(self, chunk: bytes) -> None:
        """Read what arrived; what nobody awaits ends the connection."""
        self._reader.feed(chunk)
        if self._take is None:
            self.close()
            return
        self._bound_pace()
        self._wake()

    def eof_received(self) -> None:
        """Note that nothing more will arrive."""
        self._is_over = True
        self._reader.end(None)
        self._wake()

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is gone, and why."""
        self._is_over = True
        self._reader.end(error)
        self._wake()

    # The side of exchanges

    def begin(
        self,
        request: bytes,
        expected: Expected,
        take: Take,
    ) -> Cancel:
        """Write a request, and hand to ``take`` what it brings.

        Return what has it bring ``Cancelled``, in the next round of the event
        loop. Raises ``CannotConnect`` where the connection ended before that.
        """
        if self._transport is None or self._is_over:
            raise CannotConnect('the connection ended before its use')
        self.uses += 1
        self._begun_at_s = None
        self.rested_s = self.idle_s()
        self._written_at_s = self._loop.time()
        self._take = take
        self._timer = self._loop.call_later(
            clock.to_seconds(expected.bound_ms),
            self._finish,
            None,
        )
        self._reader.expect(expected.method, expected.is_other)
        self._transport.write(request)
        return functools.partial(self._cancel, take)

    async def ask(
        self,
        request: bytes,
        expected: Expected,
    ) -> Outcome:
        """Write a request and return what it brings.

        Raises ``CannotConnect`` where the connection ended before that.
        """
        brought: asyncio.Future[Outcome] = self._loop.create_future()

        def take(outcome: Outcome) -> None:
            if not brought.done():
                brought.set_result(outcome)

        self.begin(request, expected, take)
        try:
            return await brought
        finally:
            # Whoever gave up takes nothing any more.
            self._forget()

    def is_usable(self) -> bool:
        """Return whether another request may be written."""
        if self._is_over or self._transport is None:
            return False
        # A request that is not written whole was answered early.
        if self._transport.get_write_buffer_size():
            return False
        return not self._reader.is_spoiled

    def written_s(self) -> float:
        """Return how long ago the last request was written."""
        return self._loop.time() - self._written_at_s

    def idle_s(self) -> float:
        """Return how long ago the last answer came."""
        return self._loop.time() - self.answered_at_s

    def close(self) -> None:
        """Close the connection at once; nothing is left to be said."""
        if self._transport is not None:
            self._transport.abort()

    def _bound_pace(self) -> None:
        """Give up an answer that trickles, from its first byte on."""
        now_s = self._loop.time()
        if self._begun_at_s is None:
            self._begun_at_s = now_s
        slow_s = now_s - self._begun_at_s
        if slow_s <= clock.to_seconds(answers.TRICKLE_GRACE_MS):
            return
        if self._reader.received_bytes < slow_s * answers.LEAST_BYTES_PER_S:
            self._reader.give_up('the answer comes too slow')

    def _wake(self) -> None:
        outcome = self._reader.outcome
        if outcome is None or self._take is None:
            return
        self.answered_at_s = self._loop.time()
        self._finish(outcome)

    def _finish(self, outcome: Outcome) -> None:
        take = self._take
        self._forget()
        if take is not None:
            take(outcome)

    def _cancel(self, take: Take) -> None:
        self._loop.call_soon(self._finish_of, take, Cancelled())

    def _finish_of(self, take: Take, outcome: Outcome) -> None:
        # The answer may have come first, and another request gone out.
        if self._take is take:
            self._finish(outcome)

    def _forget(self) -> None:
        self._take = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


async def connect(
    address: str,
    reader: answers.Reader,
    bound_ms: clock.Millis,
) -> Connection:
    """Connect to a host and port within a bound.

    Raises ``CannotConnect``.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        with anyio.fail_after(clock.to_seconds(bound_ms)):
            _, made = await loop.create_connection(
                lambda: Connection(reader),
                host,
                int(port),
            )
    except (OSError, TimeoutError) as error:
        raise CannotConnect(repr(error)) from error
    return made
