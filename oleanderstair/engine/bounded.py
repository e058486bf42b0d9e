"""An HTTP/1.1 server protocol that bounds what a client may hold.

uvicorn's own protocol lets a slow or endless header, a client that never
reads, and any number of connections stand for ever.
"""

import asyncio
import enum
import http
import typing

import msgspec
from uvicorn.protocols.http import httptools_impl

from oleanderstair import clock
from oleanderstair.domain import outcomes
from oleanderstair.engine import asgi, headers, pending, replies

_LINGER_MS: typing.Final = 500
_FIELD_OVERHEAD_BYTES: typing.Final = 4
_BODY_TIMES: typing.Final = 2
_MS_PER_S: typing.Final = 1000
_INTERIM: typing.Final = b'HTTP/1.1 1'
_JOINED_BYTES: typing.Final = 65536
"""Up to which size a body is copied to be written with its head."""


class Bounds(typing.NamedTuple):
    """The bounds of one listener, in bytes, ms and connections."""

    max_header_bytes: int = 16384
    request_time_ms: clock.Millis = 5000
    idle_ms: clock.Millis = 5000
    answer_time_ms: clock.Millis = 10000
    max_connections: int = 1000


BoundsOf: typing.TypeAlias = typing.Callable[[], Bounds]
"""Return the bounds that hold now; they may change at any time."""


class _Part(enum.Enum):
    NONE = 'none'
    HEAD = 'head'
    BODY = 'body'


class _JoinedWrites:
    """The transport of one answer, whose head waits for its body.

    uvicorn writes the two apart, and each write is a system call.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        on_response: typing.Callable[[], None],
    ) -> None:
        self._transport = transport
        self._on_response = on_response
        self._head: bytes | None = None
        self._has_begun = False

    def write(self, chunk: bytes) -> None:
        is_head = not self._has_begun and not chunk.startswith(_INTERIM)
        if is_head:
            self._has_begun = True
            self._head = chunk
        elif self._head is not None and len(chunk) <= _JOINED_BYTES:
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

    def complete(self) -> None:
        """End an answer, which may have no body."""
        self._flush()
        self._on_response()

    def _flush(self) -> None:
        if self._head is not None:
            self._transport.write(self._head)
            self._head = None


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """One connection of a client, within ``Bounds``."""

    def __init__(self, bounds_of: BoundsOf, **served: typing.Any) -> None:
        """Serve one connection within what ``bounds_of`` returns."""
        super().__init__(**served)
        self.on_lost: typing.Callable[[], None] | None = None
        self._bounds_of = bounds_of
        self._idle_since_s = self.loop.time()
        self._part = _Part.NONE
        self._head_bytes = 0
        self._trailer_bytes = 0
        self._chunk_bytes = 0
        self._refused = False
        self._timer: asyncio.TimerHandle | None = None
        self._is_timer_of_idle = False
        self._write_timer: asyncio.TimerHandle | None = None

    # The connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Refuse a connection above the limit."""
        super().connection_made(typing.cast(asyncio.Transport, transport))
        bounds = self._bounds_of()
        if len(self.connections) > bounds.max_connections:
            self._refuse(outcomes.Reason.OVERLOADED, 'too many connections')
            return
        self._arm(bounds.idle_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell whoever waits for an answer that the client is gone."""
        super().connection_lost(exc)
        self._disarm()
        if self._write_timer is not None:
            self._write_timer.cancel()
        if self.on_lost is not None:
            self.on_lost()

    def data_received(self, chunk: bytes) -> None:
        """Feed the parser, then bound what is still incomplete."""
        if self._refused:
            return
        self._chunk_bytes = len(chunk)
        if self._part is _Part.HEAD:
            self._head_bytes += len(chunk)
        super().data_received(chunk)
        self._chunk_bytes = 0
        if self._part is _Part.NONE:
            self._disarm()
        elif self._head_bytes > self._bounds_of().max_header_bytes:
            self._refuse(outcomes.Reason.TOO_LARGE, 'the header is too large')
        elif self._timer is None or self._is_timer_of_idle:
            self._disarm()
            self._arm(self._bounds_of().request_time_ms)

    # The parser's callbacks

    def on_message_begin(self) -> None:
        """Open a request and let the application see its connection."""
        super().on_message_begin()
        self._connection: dict[str, object] = {'protocol': self}
        extension: typing.Any = self._connection
        self.scope['extensions'] = {'connection': extension}
        self._part = _Part.HEAD
        self._head_bytes = self._chunk_bytes
        self._trailer_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a field of the head; those of a trailer are not passed on."""
        if self._part is _Part.HEAD:
            super().on_header(name, value)
            return
        self._trailer_bytes += len(name) + len(value) + _FIELD_OVERHEAD_BYTES
        if self._trailer_bytes > self._bounds_of().max_header_bytes:
            self.transport.abort()

    def on_headers_complete(self) -> None:
        """Start the application, or refuse a header that is too large."""
        self._part = _Part.BODY
        self._head_bytes = 0
        self._connection['target'] = self.url
        size = len(self.url) + sum(
            len(name) + len(field) + _FIELD_OVERHEAD_BYTES
            for name, field in self.headers
        )
        earlier = self.cycle
        if size <= self._bounds_of().max_header_bytes:
            super().on_headers_complete()
        else:
            app = self.app
            self.app = _refuse_header
            super().on_headers_complete()
            self.app = app
        if self.cycle is not earlier:
            self._join_writes()

    def on_message_complete(self) -> None:
        """Close the request; nothing of it is awaited any more."""
        super().on_message_complete()
        self._connection['is_whole'] = True
        self._part = _Part.NONE
        # What follows in the same chunk may belong to this message's body.
        self._chunk_bytes = 0

    def on_response_complete(self) -> None:
        """Bound the time in which the client takes the answer."""
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

    # Faults of the client

    def send_400_response(  # noqa: WPS114 (uvicorn's name)
        self,
        msg: str,
    ) -> None:
        """Refuse what is no HTTP, but never into another call's answer."""
        is_earlier_busy = bool(self.pipeline) or (
            self._part is not _Part.BODY and self._is_answering()
        )
        if is_earlier_busy:
            self._refused = True
            self.cycle.keep_alive = False
            return
        if self._is_answering():
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        self._refuse(outcomes.Reason.BAD_REQUEST, msg)

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, at once where the client reads nothing."""
        left_s = self._idle_left_s()
        if left_s > 0:
            self.timeout_keep_alive_task = self.loop.call_later(
                left_s,
                self.timeout_keep_alive_handler,
            )
            return
        if self.transport.get_write_buffer_size():
            self.transport.abort()
        super().timeout_keep_alive_handler()

    def _unsupported_upgrade_warning(self) -> None:
        # The parser stops at an upgrade, so the connection ends after it.
        if self.cycle is not None:
            self.cycle.keep_alive = False

    def _join_writes(self) -> None:
        joined = _JoinedWrites(self.transport, self.cycle.on_response)
        self.cycle.transport = typing.cast(asyncio.Transport, joined)
        self.cycle.on_response = joined.complete

    def _is_answering(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _idle_left_s(self) -> float:
        """Return for how long the connection may still stay idle.

        The bound may have grown since the connection fell idle.
        """
        idle_s = self.loop.time() - self._idle_since_s
        return clock.to_seconds(self._bounds_of().idle_ms) - idle_s

    def _arm(self, span_ms: clock.Millis) -> None:
        self._is_timer_of_idle = self._part is _Part.NONE
        if self._part is _Part.BODY:
            span_ms *= _BODY_TIMES
        self._timer = self.loop.call_later(
            clock.to_seconds(span_ms),
            self._on_late,
        )

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_late(self) -> None:
        self._timer = None
        if self._is_answering():
            self._arm(self._bounds_of().request_time_ms)
        elif self._part is _Part.HEAD:
            self._refuse(outcomes.Reason.TOO_SLOW, 'the header is too slow')
        elif self._part is _Part.BODY:
            self.transport.abort()
        elif self._idle_left_s() > 0:
            self._arm(self._idle_left_s() * _MS_PER_S)
        else:
            self.transport.close()

    def _abort_unread(self) -> None:
        self._write_timer = None
        if self.transport.get_write_buffer_size():
            self.transport.abort()

    def _refuse(self, reason: outcomes.Reason, detail: str) -> None:
        # What still arrives is read and dropped for a moment, because a
        # reset would take the refusal from the client.
        self._refused = True
        self._disarm()
        self.transport.write(_raw(replies.not_run(reason, detail)))
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(
            clock.to_seconds(_LINGER_MS),
            self.transport.close,
        )


async def _refuse_header(
    scope: asgi.Scope,
    receive: asgi.Receive,
    send: asgi.Send,
) -> None:
    reply = replies.not_run(
        outcomes.Reason.TOO_LARGE, 'the header is too large'
    )
    await replies.send_reply(send, scope['method'], reply, closing=False)


def _raw(reply: pending.Reply) -> bytes:
    written = replies.write_refusal(reply)
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
