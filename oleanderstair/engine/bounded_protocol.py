"""An HTTP/1.1 server protocol with limits for sizes, times and connections.

The protocol of uvicorn has no limit for slow or endless headers, for clients
that never read, or for the number of connections.
"""

import asyncio
import enum
import http
import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain import outcomes
from oleanderstair.engine import (
    asgi,
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

_FIELD_OVERHEAD_BYTES: typing.Final = 4
"""Bytes of a header field in addition to name and value: colon, space, CRLF."""

_BODY_TIME_FACTOR: typing.Final = 2
"""Timeout of a body as a multiple of that of a head."""

_MS_PER_S: typing.Final = 1000
_INTERIM_PREFIX: typing.Final = b'HTTP/1.1 1'
_MAX_JOINED_BYTES: typing.Final = 65536
"""Maximum size of a body that is copied to write it together with its head."""


class ConnectionBounds(typing.NamedTuple):
    """The limits of one listener.

    ``request_time_ms`` is the timeout of a request head; a body has twice that.
    ``idle_ms`` is the timeout of a connection without a request.
    ``answer_time_ms`` is the time in which a client must read an answer.
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
        on_response: typing.Callable[[], None],
    ) -> None:
        self._transport = transport
        self._on_response = on_response
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
            self._transport.write(chunk)
        else:
            self._flush()
            self._transport.write(chunk)

    def close(self) -> None:
        self._flush()
        self._transport.close()

    def is_closing(self) -> bool:
        return self._transport.is_closing()

    def complete_response(self) -> None:
        """Complete an answer; write its head if it had no body."""
        self._flush()
        self._on_response()

    def _flush(self) -> None:
        if self._head is not None:
            self._transport.write(self._head)
            self._head = None


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """One client connection within the limits of ``ConnectionBounds``."""

    def __init__(self, bounds_of: BoundsOf, **options: typing.Any) -> None:
        """Serve one connection within the limits that ``bounds_of`` returns."""
        super().__init__(**options)
        self.on_lost: typing.Callable[[], None] | None = None
        self._bounds_of = bounds_of
        self._idle_since_s = self.loop.time()
        self._part = _Part.NONE
        self._head_bytes = 0
        self._trailer_bytes = 0
        self._chunk_bytes = 0
        self._refused = False
        self._timer: asyncio.TimerHandle | None = None
        self._is_idle_timer = False
        self._write_timer: asyncio.TimerHandle | None = None

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
        if self._write_timer is not None:
            self._write_timer.cancel()
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

    def on_message_complete(self) -> None:
        """Mark the request as received completely."""
        super().on_message_complete()
        self._connection['is_whole'] = True
        self._part = _Part.NONE
        # The rest of the chunk may belong to this message's body, so it
        # isn't counted as part of the next head.
        self._chunk_bytes = 0

    def on_response_complete(self) -> None:
        """Limit the time in which the client must read the answer."""
        bounds = self._bounds_of()
        self._idle_since_s = self.loop.time()
        self.timeout_keep_alive = typing.cast(
            int,
            clock.to_seconds(bounds.idle_ms),
        )
        super().on_response_complete()
        if self.transport.get_write_buffer_size() and not self._write_timer:
            self._write_timer = self.loop.call_later(
                clock.to_seconds(bounds.answer_time_ms),
                self._abort_unread,
            )

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
        """Close an idle connection; abort it if answers are still unread."""
        remaining_s = self._remaining_idle_s()
        if remaining_s > 0:
            self.timeout_keep_alive_task = self.loop.call_later(
                remaining_s,
                self.timeout_keep_alive_handler,
            )
            return
        if self.transport.get_write_buffer_size():
            self.transport.abort()
        super().timeout_keep_alive_handler()

    def _unsupported_upgrade_warning(self) -> None:
        # The parser stops at an upgrade, so no later request could be read.
        if self.cycle is not None:
            self.cycle.keep_alive = False

    def _join_writes(self) -> None:
        joined = _JoiningTransport(self.transport, self.cycle.on_response)
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

    def _abort_unread(self) -> None:
        self._write_timer = None
        if self.transport.get_write_buffer_size():
            self.transport.abort()

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
