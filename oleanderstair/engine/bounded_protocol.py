"""An HTTP/1.1 server protocol with limits for sizes, times and connections.

The protocol of uvicorn has no limit for slow or endless headers, for clients
that never read, or for the number of connections.
"""

import asyncio
import contextlib
import enum
import fcntl
import functools
import http
import socket
import struct
import termios
import typing
import weakref

import msgspec

from oleanderstair import clock
from oleanderstair.domain import byte_budgets, outcomes
from oleanderstair.engine import (
    asgi,
    byte_ledger,
    headers,
    pending,
    replies,
    uvicorn_parts,
)

if typing.TYPE_CHECKING:
    from uvicorn.protocols.http import httptools_impl
else:
    httptools_impl = uvicorn_parts.import_part(
        'uvicorn.protocols.http.httptools_impl'
    )

_CLOSE_DELAY_MS: typing.Final = 500
"""Time between a refusal and the close of its connection."""

_RECEIPT_CHECK_INTERVAL_MS: typing.Final = 100
"""How often a connection that is to be closed is checked for bytes of answers
that its client has not received."""

_FIELD_OVERHEAD_BYTES: typing.Final = 4
"""Bytes of a header field in addition to name and value: colon, space, CRLF."""

_BODY_TIME_FACTOR: typing.Final = 2
"""Timeout of a body as a multiple of that of a head."""

_READ_CHECKS: typing.Final = 4
"""How often the reading of an answer is checked within its timeout."""

_MAX_CHECK_INTERVAL_MS: typing.Final = 500
"""The longest time between two checks where buffered bytes are limited."""

_RESET_ON_CLOSE: typing.Final = struct.pack('ii', 1, 0)
"""The linger option with which a close drops unsent bytes of the kernel."""

_END_BYTES: typing.Final = 1
"""What the kernel counts for the end of a sending side."""

_SIZE: typing.Final = struct.Struct('i')
_MS_PER_S: typing.Final = 1000
_INTERIM_PREFIX: typing.Final = b'HTTP/1.1 1'
_MAX_JOINED_BYTES: typing.Final = 65536
"""Maximum size of a body that is copied to write it together with its head."""


class ConnectionBounds(typing.NamedTuple):
    """The limits of one listener.

    ``request_time_ms`` is the timeout of a request head; a body has twice that.
    ``idle_ms`` is the timeout of a connection without a request.
    ``answer_time_ms`` is the time in which a client must read some part of an
    answer.
    """

    max_header_bytes: int = 16384
    request_time_ms: clock.Millis = 5000
    idle_ms: clock.Millis = 5000
    answer_time_ms: clock.Millis = 10000
    max_connections: int = 1000


BoundsOf: typing.TypeAlias = typing.Callable[[], ConnectionBounds]
"""Return the limits in force, which may change at any time."""


class _Part(enum.Enum):
    """The part of a request that is being received."""

    NONE = 'none'
    HEAD = 'head'
    BODY = 'body'


class _JoiningTransport:
    """The transport of one answer; holds the head until the first body part.

    Uvicorn writes the two separately, which costs a system call each.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        on_write: typing.Callable[[int], None],
        on_response: typing.Callable[[], None],
        on_close: typing.Callable[[], None],
    ) -> None:
        self._transport = transport
        self._on_write = on_write
        self._on_response = on_response
        self._on_close = on_close
        self._head: bytes | None = None
        self._has_received_head = False

    def write(self, chunk: bytes) -> None:
        is_head = not self._has_received_head and not chunk.startswith(
            _INTERIM_PREFIX
        )
        if is_head:
            self._has_received_head = True
            self._head = chunk
        elif self._head is not None and len(chunk) <= _MAX_JOINED_BYTES:
            chunk = self._head + chunk
            self._head = None
            self._write(chunk)
        else:
            self._flush()
            self._write(chunk)

    def close(self) -> None:
        self._flush()
        self._on_close()

    def is_closing(self) -> bool:
        return self._transport.is_closing()

    def complete_response(self) -> None:
        """Complete an answer; write its head if it had no body."""
        self._flush()
        self._on_response()

    def _flush(self) -> None:
        if self._head is not None:
            self._write(self._head)
            self._head = None

    def _write(self, chunk: bytes) -> None:
        self._transport.write(chunk)
        self._on_write(len(chunk))


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """One client connection within the limits of ``ConnectionBounds``."""

    def __init__(
        self,
        bounds_of: BoundsOf,
        ledger: byte_ledger.ByteLedger | None,
        **options: typing.Any,
    ) -> None:
        """Serve one connection within the limits that ``bounds_of`` returns.

        Unread bytes of answers are counted in ``ledger``, if there is one.
        """
        super().__init__(**options)
        self.on_lost: typing.Callable[[], None] | None = None
        self._bounds_of = bounds_of
        self._ledger = ledger
        self._idle_since_s = self.loop.time()
        self._part = _Part.NONE
        self._head_bytes = 0
        self._trailer_bytes = 0
        self._chunk_bytes = 0
        self._refused = False
        self._is_next_last = False
        self._timer: asyncio.TimerHandle | None = None
        self._is_idle_timer = False
        self._read_timer: asyncio.TimerHandle | None = None
        self._written_bytes = 0
        self._read_bytes = 0
        self._end_bytes = 0
        self._read_at_s: float = 0

    # Connection events

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Refuse a connection above the maximum; start the idle timeout."""
        super().connection_made(typing.cast(asyncio.Transport, transport))
        bounds = self._bounds_of()
        if len(self.connections) > bounds.max_connections:
            self._refuse_and_close(
                outcomes.Reason.OVERLOADED, 'too many connections'
            )
            return
        self._start_timer(bounds.idle_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers and call ``on_lost``."""
        super().connection_lost(exc)
        self._stop_timer()
        if self._read_timer is not None:
            self._read_timer.cancel()
        if self._ledger is not None:
            self._ledger.set_unread(self, 0)
        if self.on_lost is not None:
            self.on_lost()

    def data_received(self, chunk: bytes) -> None:
        """Parse received bytes, then apply limits to an incomplete request."""
        if self._refused:
            return
        self._chunk_bytes = len(chunk)
        if self._part is _Part.HEAD:
            self._head_bytes += len(chunk)
        super().data_received(chunk)
        self._chunk_bytes = 0
        if self._part is _Part.NONE:
            self._stop_timer()
        elif self._head_bytes > self._bounds_of().max_header_bytes:
            self._refuse_and_close(
                outcomes.Reason.TOO_LARGE, 'the header is too large'
            )
        elif self._timer is None or self._is_idle_timer:
            self._stop_timer()
            self._start_timer(self._bounds_of().request_time_ms)

    # The parser's callbacks

    def on_message_begin(self) -> None:
        """Begin a request and add its connection to the ASGI scope."""
        super().on_message_begin()
        self._connection: dict[str, object] = {'protocol': self}
        extension: typing.Any = self._connection
        self.scope['extensions'] = {'connection': extension}
        self._part = _Part.HEAD
        self._head_bytes = self._chunk_bytes
        self._trailer_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a field of the head; drop a field of the trailer.

        A trailer above the maximum header size aborts the connection.
        """
        if self._part is _Part.HEAD:
            super().on_header(name, value)
            return
        self._trailer_bytes += len(name) + len(value) + _FIELD_OVERHEAD_BYTES
        if self._trailer_bytes > self._bounds_of().max_header_bytes:
            self.transport.abort()

    def on_headers_complete(self) -> None:
        """Start the application, or refuse a header above the maximum size."""
        self._part = _Part.BODY
        self._head_bytes = 0
        self._connection['target'] = self.url
        size = len(self.url) + sum(
            len(name) + len(field) + _FIELD_OVERHEAD_BYTES
            for name, field in self.headers
        )
        previous_cycle = self.cycle
        if size <= self._bounds_of().max_header_bytes:
            super().on_headers_complete()
        else:
            app = self.app
            self.app = _refuse_large_header
            super().on_headers_complete()
            self.app = app
        if self.cycle is not previous_cycle:
            self._join_writes()
            if self._is_next_last:
                self.cycle.keep_alive = False

    def shutdown(self) -> None:
        """Close after the answer in progress, or at once if there is none.

        A request that has begun to arrive is answered first.
        """
        if self._refused:
            return
        if self._is_answering():
            super().shutdown()
        elif self._part is _Part.HEAD or self._count_unread_input():
            self._is_next_last = True
        else:
            super().shutdown()

    def on_message_complete(self) -> None:
        """Mark the request as received completely."""
        super().on_message_complete()
        self._connection['is_whole'] = True
        self._part = _Part.NONE
        # The rest of the chunk may belong to this message's body, so it
        # isn't counted as part of the next head.
        self._chunk_bytes = 0

    def on_response_complete(self) -> None:
        """Limit the time for which the client may stop reading the answer."""
        bounds = self._bounds_of()
        self._idle_since_s = self.loop.time()
        self.timeout_keep_alive = typing.cast(
            int,
            clock.to_seconds(bounds.idle_ms),
        )
        super().on_response_complete()
        unread_bytes = self._count_unread_bytes()
        if unread_bytes and not self._read_timer:
            self._note_read(self.count_read_bytes())
            self._start_read_timer()
        if self._ledger is not None:
            self._ledger.set_unread(self, unread_bytes)

    def count_read_bytes(self) -> int:
        """Return how many bytes of its answers the client has received.

        Those in the buffers of the process and of the kernel are not counted.
        The kernel buffer of a slow client takes megabytes, so the buffer of
        the process alone may not shrink for minutes though the client reads.
        """
        return (
            self._written_bytes
            - self.transport.get_write_buffer_size()
            - self._count_kernel_bytes()
        )

    def measure_reading(self) -> byte_budgets.Reader:
        """Return what is unread and how long the client has read nothing."""
        read_bytes = self.count_read_bytes()
        if read_bytes > self._read_bytes:
            self._note_read(read_bytes)
        stopped_s = self.loop.time() - self._read_at_s
        return byte_budgets.Reader(
            self._count_unread_bytes(), stopped_s * _MS_PER_S
        )

    def cut_off(self) -> None:
        """Reset the connection and drop the unread bytes of its answers."""
        connected = self.transport.get_extra_info('socket')
        with contextlib.suppress(OSError):
            connected.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self.transport.abort()

    def has_later_request(self) -> bool:
        """Return whether another request follows that in progress already.

        It may be incomplete. A close after the answer in progress would leave
        it without one.
        """
        return bool(self.pipeline) or self._part is _Part.HEAD

    async def wait_until_read(self) -> None:
        """Wait while the client is behind with earlier answers."""
        await self.flow.drain()

    # Client errors

    def send_400_response(  # noqa: WPS114 (uvicorn's name)
        self,
        msg: str,
    ) -> None:
        """Refuse malformed HTTP, but not inside the answer to another request.

        While an earlier request is in progress, the connection closes after its
        answer instead.
        """
        is_earlier_in_progress = bool(self.pipeline) or (
            self._part is not _Part.BODY and self._is_answering()
        )
        if is_earlier_in_progress:
            self._refused = True
            self.cycle.keep_alive = False
            return
        if self._is_answering():
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        self._refuse_and_close(outcomes.Reason.BAD_REQUEST, msg)

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection.

        It isn't idle while its client still reads an answer.
        """
        if self._count_unread_bytes():
            self._idle_since_s = self.loop.time()
        remaining_s = self._remaining_idle_s()
        if remaining_s > 0:
            self.timeout_keep_alive_task = self.loop.call_later(
                remaining_s,
                self.timeout_keep_alive_handler,
            )
            return
        super().timeout_keep_alive_handler()

    def _unsupported_upgrade_warning(self) -> None:
        # The parser stops at an upgrade, so no later request could be read.
        if self.cycle is not None:
            self.cycle.keep_alive = False

    def _join_writes(self) -> None:
        joined = _JoiningTransport(
            self.transport,
            self._count_written,
            self.cycle.on_response,
            functools.partial(self._close_after, weakref.ref(self.cycle)),
        )
        self.cycle.transport = typing.cast(asyncio.Transport, joined)
        self.cycle.on_response = joined.complete_response

    def _is_answering(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _remaining_idle_s(self) -> float:
        """Return the time until the idle timeout, in s.

        The timeout may have changed since the connection became idle.
        """
        idle_s = self.loop.time() - self._idle_since_s
        return clock.to_seconds(self._bounds_of().idle_ms) - idle_s

    def _start_timer(self, timeout_ms: clock.Millis) -> None:
        self._is_idle_timer = self._part is _Part.NONE
        if self._part is _Part.BODY:
            timeout_ms *= _BODY_TIME_FACTOR
        self._timer = self.loop.call_later(
            clock.to_seconds(timeout_ms),
            self._on_timeout,
        )

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        self._timer = None
        if self._is_answering():
            self._start_timer(self._bounds_of().request_time_ms)
        elif self._part is _Part.HEAD:
            self._refuse_and_close(
                outcomes.Reason.TOO_SLOW, 'the header is too slow'
            )
        elif self._part is _Part.BODY:
            self.transport.abort()
        elif self._remaining_idle_s() > 0:
            self._start_timer(self._remaining_idle_s() * _MS_PER_S)
        else:
            self.transport.close()

    # The close after an answer

    def _close_after(
        self,
        find_cycle: typing.Callable[
            [], httptools_impl.RequestResponseCycle | None
        ],
    ) -> None:
        """Close the connection once its client has received the answer.

        Until then input is read and dropped: a close with unread input resets
        the connection, and so does input after a close. A reset discards what
        the client has not received.
        """
        cycle = find_cycle()
        if cycle is None or not cycle.response_complete:
            self.transport.close()
            return
        self._refused = True
        self._stop_timer()
        self.pipeline.clear()
        self._end_bytes = _END_BYTES
        self.transport.write_eof()
        self.loop.call_later(
            clock.to_seconds(_RECEIPT_CHECK_INTERVAL_MS),
            self._close_when_received,
        )

    def _close_when_received(self) -> None:
        if self.transport.is_closing():
            return
        buffered_bytes = self.transport.get_write_buffer_size()
        if buffered_bytes + self._count_kernel_bytes():
            self.loop.call_later(
                clock.to_seconds(_RECEIPT_CHECK_INTERVAL_MS),
                self._close_when_received,
            )
        else:
            self.transport.close()

    # The reading of answers by the client

    def _count_written(self, size: int) -> None:
        self._written_bytes += size

    def _count_kernel_bytes(self) -> int:
        """Return how many bytes the kernel has not delivered, if it says so."""
        undelivered_bytes = self._read_socket_count(termios.TIOCOUTQ)
        return max(undelivered_bytes - self._end_bytes, 0)

    def _count_unread_input(self) -> int:
        """Return how many received bytes the process has not read yet."""
        return self._read_socket_count(termios.FIONREAD)

    def _read_socket_count(self, request: int) -> int:
        connected = self.transport.get_extra_info('socket')
        if connected.fileno() < 0:
            return 0
        size = bytearray(_SIZE.size)
        try:
            fcntl.ioctl(connected.fileno(), request, size)
        except OSError:
            return 0
        return int(_SIZE.unpack(size)[0])

    def _count_unread_bytes(self) -> int:
        """Return the bytes of answers that wait for the client.

        Those in the kernel count only where buffered bytes are limited.
        """
        buffered_bytes = self.transport.get_write_buffer_size()
        if self._ledger is None:
            return buffered_bytes
        return buffered_bytes + self._count_kernel_bytes()

    def _note_read(self, read_bytes: int) -> None:
        self._read_bytes = read_bytes
        self._read_at_s = self.loop.time()

    def _start_read_timer(self) -> None:
        interval_ms = self._bounds_of().answer_time_ms / _READ_CHECKS
        if self._ledger is not None:
            interval_ms = min(interval_ms, _MAX_CHECK_INTERVAL_MS)
        self._read_timer = self.loop.call_later(
            clock.to_seconds(interval_ms), self._check_reading
        )

    def _check_reading(self) -> None:
        """Abort the connection if its client has stopped reading."""
        self._read_timer = None
        reading = self.measure_reading()
        is_stopped = reading.stopped_ms >= self._bounds_of().answer_time_ms
        if reading.unread_bytes and is_stopped:
            self.transport.abort()
        elif reading.unread_bytes:
            self._start_read_timer()
        if self._ledger is not None:
            self._ledger.set_unread(self, reading.unread_bytes)

    def _refuse_and_close(self, reason: outcomes.Reason, detail: str) -> None:
        # Input is read and dropped for 500 ms before the close. Closing with
        # unread input would send a reset, which can discard the refusal.
        self._refused = True
        self._stop_timer()
        self.transport.write(
            _encode_response(replies.not_run_reply(reason, detail))
        )
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(
            clock.to_seconds(_CLOSE_DELAY_MS),
            self.transport.close,
        )


async def _refuse_large_header(
    scope: asgi.Scope,
    receive: asgi.Receive,
    send: asgi.Send,
) -> None:
    reply = replies.not_run_reply(
        outcomes.Reason.TOO_LARGE, 'the header is too large'
    )
    await replies.send_reply(send, scope['method'], reply, closing=False)


def _encode_response(reply: pending.Reply) -> bytes:
    written = replies.build_refusal(reply)
    body = msgspec.json.encode(written.document)
    fields = [
        *written.headers,
        (headers.CONTENT_TYPE, b'application/json'),
        (headers.CONTENT_LENGTH, str(len(body)).encode()),
        (headers.CONNECTION, b'close'),
    ]
    phrase = http.HTTPStatus(written.status).phrase
    lines = [f'HTTP/1.1 {written.status} {phrase}'.encode()]
    lines.extend(b'%b: %b' % field for field in fields)
    return b'\r\n'.join([*lines, b'', body])
