"""Connections to targets, as asyncio protocols.

A connection carries one request at a time and passes all received bytes to its
answer parser. A large body is written in parts, so that it isn't copied.
"""

import asyncio
import contextlib
import functools
import socket
import typing

import anyio

from oleanderstair import clock
from oleanderstair.engine import (
    answers,
    byte_ledger,
    reading_turns,
    socket_state,
)

MAX_UNACKNOWLEDGED_MS: typing.Final = 3000
"""Maximum time in which the target must acknowledge a small request."""

_MAX_SMALL_BYTES: typing.Final = 16_384
"""Maximum size of a small request, which fits the first receive window of
usual systems. A larger one may wait for a target that is slow to read."""

_WRITE_BYTES: typing.Final = 65_536
"""The most that is copied to be written at a time."""

_READ_BYTES: typing.Final = 32_768
"""The most that is read and parsed at a time, so that other connections get
their turn whatever the pieces of a body are."""

_READ_BUFFER: typing.Final = memoryview(bytearray(_READ_BYTES))
"""Where all connections read to; each read is copied before the next one."""

_KEEPALIVE_IDLE_S: typing.Final = 1
_KEEPALIVE_INTERVAL_S: typing.Final = 1
_KEEPALIVE_PROBE_COUNT: typing.Final = 2
_SOCKET_OPTIONS: typing.Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBE_COUNT),
)


_ANSWER_START: typing.Final = b'HTTP/1.'


class ConnectError(Exception):
    """No connection was opened or it has ended; nothing was sent."""


class EncodedRequest(typing.NamedTuple):
    """A request as it is written."""

    head: bytes
    body: bytes

    @property
    def size(self) -> int:
        """Return the size of head and body together."""
        return len(self.head) + len(self.body)


class ExpectedAnswer(typing.NamedTuple):
    """How the answer to a request is recognised, and its limits.

    Its bytes are counted in ``read``, if there is one. A body has up to
    ``max_bytes``.
    """

    method: bytes
    is_for_other_request: answers.IsForOtherRequest
    timeout_ms: clock.Millis
    max_bytes: int
    read: byte_ledger.AnswerRead | None = None


class Cancelled(typing.NamedTuple):
    """The outcome of a request that was cancelled."""


ExchangeOutcome: typing.TypeAlias = (
    answers.Answer | answers.AnswerFault | Cancelled | None
)
"""The outcome of a request; None if its timeout has passed."""

OnOutcome: typing.TypeAlias = typing.Callable[[ExchangeOutcome], None]
Cancel: typing.TypeAlias = typing.Callable[[], None]


class Connection(asyncio.BufferedProtocol):
    """One connection to a target; its times are event loop times in s.

    ``is_request_unreceived`` is true once the target has closed the connection
    without having acknowledged the whole request.
    """

    def __init__(
        self,
        reader: answers.AnswerReader,
        turns: reading_turns.ReadingTurns,
    ) -> None:
        """Pass received bytes to ``reader``, within the ``turns`` of a pool."""
        self._reader = reader
        self._turns = turns
        self._awaits_turn = False
        self._loop = asyncio.get_running_loop()
        self._on_outcome: OnOutcome | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self._has_ended = False
        self._read: byte_ledger.AnswerRead | None = None
        self._stop_waiting: byte_ledger.OnRoom | None = None
        self.answered_at_s = self._loop.time()
        self._written_at_s = self.answered_at_s
        self.idle_before_use_s: float = 0
        self.uses = 0
        self.is_request_unreceived = False
        self._unacknowledged_ms = 0
        self._held_back = b''
        self._unwritten = memoryview(b'')
        self._is_writing_paused = False
        self._is_cut_short = False

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable TCP keepalive."""
        self._transport = typing.cast(asyncio.Transport, transport)
        connected = transport.get_extra_info('socket')
        for option in _SOCKET_OPTIONS:
            _set_option(connected, *option)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes are read to."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes that were read."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, chunk: bytes) -> None:
        """Parse received bytes; without a request, close the connection."""
        self._reader.feed(self._skip_surplus(chunk))
        if self._on_outcome is None:
            self.close()
            return
        self._hold_answer()
        self._deliver_outcome()
        if self._reader.piece_count > reading_turns.MAX_PIECES:
            self._awaits_turn = True
            self._turns.wait(self._take_turn)
            self._update_reading()

    def pause_writing(self) -> None:
        """Keep the rest of a body until the target has read more."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Write more of a body."""
        self._is_writing_paused = False
        self._write_more()

    def eof_received(self) -> None:
        """Handle the end of the input."""
        self.is_request_unreceived = self._has_unreceived_bytes()
        self._end_stream(None)

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the loss of the connection."""
        self._end_stream(error)

    # Called by exchanges

    def begin_request(
        self,
        request: EncodedRequest,
        expected: ExpectedAnswer,
        on_outcome: OnOutcome,
    ) -> Cancel:
        """Write a request; ``on_outcome`` is called once with its outcome.

        Return a function that cancels the request; its outcome is then
        ``Cancelled``, in the next iteration of the event loop. Raises
        ``ConnectError`` if the connection has ended already.
        """
        if self._transport is None or self._has_ended:
            raise ConnectError('the connection ended before the request')
        self.uses += 1
        self.idle_before_use_s = self.idle_s()
        self._written_at_s = self._loop.time()
        self._on_outcome = on_outcome
        self._read = expected.read
        if self._read is not None:
            self._read.on_displaced = self._give_way
        self._timer = self._loop.call_later(
            clock.to_seconds(expected.timeout_ms),
            self._on_timeout,
        )
        self._reader.expect(
            expected.method, expected.is_for_other_request, expected.max_bytes
        )
        self._limit_unacknowledged(self._transport, request.size)
        self._write(self._transport, request)
        return functools.partial(self._cancel, on_outcome)

    async def send_request(
        self,
        request: EncodedRequest,
        expected: ExpectedAnswer,
    ) -> ExchangeOutcome:
        """Write a request and return its outcome.

        Raises ``ConnectError`` if the connection has ended already.
        """
        future: asyncio.Future[ExchangeOutcome] = self._loop.create_future()

        def on_outcome(outcome: ExchangeOutcome) -> None:
            if not future.done():
                future.set_result(outcome)

        self.begin_request(request, expected, on_outcome)
        try:
            return await future
        finally:
            # A cancelled task gets no outcome.
            self._clear_request()

    def is_usable(self) -> bool:
        """Return whether another request may be written.

        It may if the connection is open, the last request was written
        completely, and the parser has found no error.
        """
        if self._has_ended or self._transport is None or self._is_cut_short:
            return False
        # Unsent bytes: the target answered before it had the whole request.
        if self._transport.get_write_buffer_size():
            return False
        return not self._reader.is_unusable

    def since_written_s(self) -> float:
        """Return the time since the last request was written, in s."""
        return self._loop.time() - self._written_at_s

    def idle_s(self) -> float:
        """Return the time since the last answer or the connect, in s."""
        return self._loop.time() - self.answered_at_s

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _end_stream(self, error: Exception | None) -> None:
        self._has_ended = True
        self._reader.received_bytes += len(self._held_back)
        self._held_back = b''
        self._reader.end_of_stream(error)
        self._deliver_outcome()

    def _has_unreceived_bytes(self) -> bool:
        """Return whether the target has not acknowledged the whole request.

        A close says how much was received before it. A reset doesn't, as its
        acknowledgement is not evaluated.
        """
        if self._unwritten or self._transport is None:
            return bool(self._unwritten)
        return bool(
            self._transport.get_write_buffer_size()
            or socket_state.count_unsent_bytes(self._transport)
        )

    def _write(
        self, transport: asyncio.Transport, request: EncodedRequest
    ) -> None:
        if request.size <= _WRITE_BYTES:
            transport.write(request.head + request.body)
            return
        transport.write(request.head)
        self._unwritten = memoryview(request.body)
        self._write_more()

    def _write_more(self) -> None:
        transport = self._transport
        if transport is None:
            return
        while self._unwritten and not self._is_writing_paused:
            if transport.is_closing():
                return
            transport.write(self._unwritten[:_WRITE_BYTES])
            self._unwritten = self._unwritten[_WRITE_BYTES:]

    def _skip_surplus(self, chunk: bytes) -> bytes:
        """Return received bytes without those that belong to no request.

        A target may send more bytes after a complete answer, which arrive
        where the answer to the next request is due.
        """
        if self.uses < 2 or self._reader.has_begun:
            return chunk
        chunk = self._held_back + chunk
        surplus_bytes = _find_answer(chunk)
        # Only what follows tells whether this is the start of an answer.
        is_held_back = len(chunk) - surplus_bytes < len(_ANSWER_START)
        self._held_back = chunk[surplus_bytes:] if is_held_back else b''
        if surplus_bytes:
            self._reader.is_unusable = True
            # Counted, as the reader limits the bytes around bodies.
            self._reader.received_bytes += surplus_bytes
        return b'' if is_held_back else chunk[surplus_bytes:]

    def _limit_unacknowledged(
        self, transport: asyncio.Transport, size: int
    ) -> None:
        """Limit the time in which the target must acknowledge a request.

        Linux applies TCP_USER_TIMEOUT also to a target that acknowledges
        probes but doesn't read, so a request that may have to wait for its
        reading has no limit but the timeout of its exchange.
        """
        timeout_ms = 0 if size > _MAX_SMALL_BYTES else MAX_UNACKNOWLEDGED_MS
        if timeout_ms == self._unacknowledged_ms:
            return
        self._unacknowledged_ms = timeout_ms
        _set_option(
            transport.get_extra_info('socket'),
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            timeout_ms,
        )

    def _hold_answer(self) -> None:
        """Count the answer; stop reading while it doesn't fit."""
        if self._read is None or self._stop_waiting is not None:
            return
        if self._reader.outcome is not None:
            return
        size = self._reader.answer_bytes()
        self._read.has_length = self._reader.has_declared_length()
        if self._read.grow(size):
            return
        if self._read.is_displaced:
            self._give_way()
            return
        self._read.add(self._reader.received_body_bytes())
        self._stop_waiting = self._read.wait_for_room(
            size, self._resume_reading
        )
        self._update_reading()

    def _give_way(self) -> None:
        """Fail the request, as others need the room of its answer."""
        if self._read is not None and self._read.is_displaced:
            received_bytes = self._reader.received_bytes
            self._finish(
                answers.AnswerFault(
                    'the answer gave way to others',
                    is_lost=False,
                    excess_bytes=received_bytes,
                )
            )

    def _resume_reading(self) -> None:
        self._stop_waiting = None
        self._update_reading()

    def _take_turn(self) -> None:
        self._awaits_turn = False
        self._update_reading()

    def _update_reading(self) -> None:
        """Read unless the answer waits for room, or for its turn."""
        if self._transport is None:
            return
        if self._awaits_turn or self._stop_waiting is not None:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _on_timeout(self) -> None:
        if self._stop_waiting is None:
            self._finish(None)
            return
        self._finish(
            answers.AnswerFault(
                'no memory for the answer',
                is_lost=False,
                is_memory_short=True,
            )
        )

    def _deliver_outcome(self) -> None:
        outcome = self._reader.outcome
        if outcome is None or self._on_outcome is None:
            return
        self.answered_at_s = self._loop.time()
        self._finish(outcome)

    def _finish(self, outcome: ExchangeOutcome) -> None:
        on_outcome = self._on_outcome
        if isinstance(outcome, answers.Answer) and self._read is not None:
            # It stays held for as long as its call.
            self._read.complete(len(outcome.body))
            self._read = None
        self._clear_request()
        self._reader.release()
        if on_outcome is not None:
            on_outcome(outcome)

    def _cancel(self, on_outcome: OnOutcome) -> None:
        self._loop.call_soon(self._finish_if_current, on_outcome, Cancelled())

    def _finish_if_current(
        self, on_outcome: OnOutcome, outcome: ExchangeOutcome
    ) -> None:
        # The answer may have arrived first, and the next request been sent.
        if self._on_outcome is on_outcome:
            self._finish(outcome)

    def _clear_request(self) -> None:
        self._on_outcome = None
        if self._read is not None:
            self._read.end()
            self._read = None
        if self._unwritten:
            # The target would take the next request for the rest of the body.
            self._is_cut_short = True
            self._unwritten = memoryview(b'')
        if self._stop_waiting is not None:
            self._stop_waiting()
            self._stop_waiting = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _set_option(
    connected: socket.socket, level: int, option: int, setting: int
) -> None:
    # If the system lacks an option, only the timeout of the exchange applies.
    with contextlib.suppress(OSError):
        connected.setsockopt(level, option, setting)


async def connect(
    address: str,
    reader: answers.AnswerReader,
    turns: reading_turns.ReadingTurns,
    bound_ms: clock.Millis,
) -> Connection:
    """Connect to ``address`` (``host:port``) within ``bound_ms``.

    Raises ``ConnectError`` if that fails or takes longer.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        with anyio.fail_after(clock.to_seconds(bound_ms)):
            _, connected = await loop.create_connection(
                lambda: Connection(reader, turns),
                host,
                int(port),
            )
    except (OSError, TimeoutError) as error:
        raise ConnectError(repr(error)) from error
    return connected


def _find_answer(chunk: bytes) -> int:
    """Return where an answer starts in a chunk, which may end in its start.

    Return the length of the chunk if none does.
    """
    if chunk.lstrip(b'\r\n').startswith(_ANSWER_START):
        return 0
    found = chunk.find(_ANSWER_START)
    if found >= 0:
        return found
    for length in range(len(_ANSWER_START) - 1, 0, -1):
        if chunk.endswith(_ANSWER_START[:length]):
            return len(chunk) - length
    return len(chunk)
