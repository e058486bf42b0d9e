"""An HTTP/1.1 server protocol with limits for sizes, times and connections.

The protocol of uvicorn has no limit for slow or endless headers, for clients
that never read, or for the number of connections.
"""

import asyncio
import enum
import typing

import httptools

from oleanderstair import clock
from oleanderstair.domain import (
    byte_budgets,
    connection_budgets,
    outcomes,
)
from oleanderstair.engine import (
    answer_reading,
    byte_ledger,
    client_limits,
    departures,
    held_input,
    input_flow,
    joined_writes,
    lingering_close,
    received_input,
    replies,
    request_parsing,
    socket_state,
    uvicorn_parts,
    waiting_connections,
)

if typing.TYPE_CHECKING:
    from uvicorn.protocols.http import httptools_impl
else:
    httptools_impl = uvicorn_parts.import_part(
        'uvicorn.protocols.http.httptools_impl'
    )

_READ_BUFFER: typing.Final = memoryview(bytearray(received_input.READ_BYTES))
"""Where all connections read to; each read is copied before the next one."""

_MAX_WAITING_BYTES: typing.Final = 4096
"""How many bytes behind a request are kept before the reading stops: room for
the few small requests that a client sends ahead."""

_FIELD_OVERHEAD_BYTES: typing.Final = 4
"""Bytes of a header field in addition to name and value: colon, space, CRLF."""

_BODY_TIME_FACTOR: typing.Final = 2
"""Timeout of a body as a multiple of that of a head."""

_MS_PER_S: typing.Final = 1000


class ConnectionBounds(typing.NamedTuple):
    """The limits of one listener.

    ``request_time_ms`` is the timeout of a request head; a body has twice that.
    ``idle_ms`` is the timeout of a connection without a request.
    ``answer_time_ms`` is the time in which a client must read some part of an
    answer, unless it waits for the answer longer.
    """

    max_header_bytes: int = 16384
    request_time_ms: clock.Millis = 5000
    idle_ms: clock.Millis = 5000
    answer_time_ms: clock.Millis = 10000
    max_connections: int = 1000


_CONNECTION_REFUSAL: typing.Final = byte_ledger.Refusal(
    byte_budgets.MAX_RETRY_MS, 'too many connections; this one had stopped'
)

BoundsOf: typing.TypeAlias = typing.Callable[[], ConnectionBounds]
"""Return the limits in force, which may change at any time."""


OnUnanswered: typing.TypeAlias = typing.Callable[[str, int], None]
"""Take how a connection ended, and how many requests that had come whole it
left without a complete answer."""


class Reports(typing.NamedTuple):
    """What is called with what happens to connections, if not None."""

    on_unanswered: OnUnanswered | None = None
    on_strike: client_limits.OnStrike | None = None


class _Part(enum.Enum):
    """The part of a request that is being received."""

    NONE = 'none'
    HEAD = 'head'
    BODY = 'body'


class BoundedProtocol(
    httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol
):
    """One client connection within the limits of ``ConnectionBounds``."""

    def __init__(
        self,
        bounds_of: BoundsOf,
        ledger: byte_ledger.ByteLedger | None,
        reports: Reports,
        waiting: waiting_connections.WaitingConnections,
        **options: typing.Any,
    ) -> None:
        """Serve one connection within the limits that ``bounds_of`` returns.

        What it holds is counted in ``ledger``, if there is one. ``waiting``
        has the connections of the listener that may give way to others.
        """
        super().__init__(**options)
        self.parser: typing.Any = request_parsing.create(self)
        self.on_lost: typing.Callable[[], None] | None = None
        self.on_half_close: typing.Callable[[], bool] | None = None
        self._reports = reports
        self._waiting = waiting
        self._is_half_closed = False
        self._held = held_input.create(self, ledger)
        self._input = self._held.unparsed
        self._reading = answer_reading.create(self, ledger, self._answer_time)
        self._is_held = False
        self._has_waited = False
        self._dropped_count = 0
        self._end = socket_state.End.OWN_CLOSE
        self._bounds_of = bounds_of
        self._ledger = ledger
        self._idle_since_s = self.loop.time()
        self._part = _Part.NONE
        self._head_bytes = 0
        self._head_begun_at_s: float = 0
        self._trailer_bytes = 0
        self._refused = False
        self._closing = lingering_close.create(self._reading)
        self._departures = departures.create(
            self._is_reading_paused, self._on_departure
        )
        self._is_stopping = False
        self._timer: asyncio.TimerHandle | None = None
        self._is_idle_timer = False

    # Connection events

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Refuse a connection above the maximum; start the idle timeout."""
        super().connection_made(typing.cast(asyncio.Transport, transport))
        self.flow = input_flow.create(self.transport, self._may_read)
        # The next request waits until the client has read the last answer.
        self.transport.set_write_buffer_limits(0)
        self._reading.start(self.transport)
        if self._ledger is not None:
            self._ledger.add_connection()
        bounds = self._bounds_of()
        limit = bounds.max_connections
        if len(self.connections) <= limit or self._waiting.replace_one():
            self._waiting.add_idle(self)
            self._start_timer(bounds.idle_ms)
            return
        self._report(client_limits.Limit.CONNECTIONS)
        if connection_budgets.may_be_refused(limit, len(self.connections)):
            self._refuse_and_close(
                outcomes.Reason.OVERLOADED, 'too many connections'
            )
        else:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers, report unanswered requests and call ``on_lost``."""
        super().connection_lost(exc)
        if exc is not None:
            self._note_end(socket_state.End.RESET)
        self._report_unanswered()
        self._waiting.remove(self)
        self._stop_timer()
        self._departures.stop()
        self._closing.stop()
        self._reading.stop()
        if self._ledger is not None:
            self._ledger.forget_sender(self)
            self._ledger.remove_connection()
        if self.on_lost is not None:
            self.on_lost()

    def may_give_way(self) -> bool:
        """Return whether the connection can be closed for a new one.

        It can't while an answer is on its way.
        """
        if self._closing.is_begun:
            return not self._reading.count_undelivered_bytes()
        return not self.transport.get_write_buffer_size()

    def measure_waiting(self) -> connection_budgets.Waiting:
        """Return for how long the connection has waited, and for what."""
        since_s = max(self._idle_since_s, self._head_begun_at_s)
        if self._held.body is not None:
            since_s = self._held.received_at_s
        return connection_budgets.Waiting(
            (self.loop.time() - since_s) * _MS_PER_S,
            self._closing.is_begun or self._is_unfinished(),
        )

    def give_way(self) -> None:
        """Close for a new connection; refuse the request that is unfinished."""
        self._report(client_limits.Limit.WAITING)
        if self._held.body is not None:
            self._refuse_body(self._held.body, _CONNECTION_REFUSAL)
            return
        if self._part is _Part.HEAD and not self._closing.is_begun:
            self._write_refusal(
                outcomes.Reason.OVERLOADED,
                _CONNECTION_REFUSAL.detail,
                _CONNECTION_REFUSAL.retry_after_ms,
            )
        self._refused = True
        self.transport.close()

    def eof_received(self) -> bool:  # type: ignore[override]
        """Keep the connection open for an answer that is still to come.

        It is the last one, as the client may have left. Without one, this side
        closes too.
        """
        self._is_half_closed = True
        return not self._closing.is_begun and self._is_kept_for_answer()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of the next read, which bounds its size."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Handle received bytes."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, chunk: bytes) -> None:
        """Parse received bytes, or keep them while a request is unanswered."""
        self._closing.note_input()
        if not self._refused:
            self._held.add(chunk)
            self._parse_input()

    def resume_writing(self) -> None:
        """Parse on, as the client has read its answers."""
        super().resume_writing()
        if self._input and not self.transport.is_closing():
            self._parse_input()

    def _parse_input(self) -> None:
        """Parse up to the end of a request; the next one waits for its answer.

        What is kept of it are its bytes: a parsed request takes a hundred
        times as much memory.
        """
        while self._may_parse():
            part = self._input.take(self.parser.remaining_body_bytes)
            if self._part is _Part.BODY or self._take_head(part):
                self._parse(part)
        if self._input:
            self._refuse_unless_held(self._held.hold())
        self._note_input()
        if not self._refused:
            self._limit_input()

    def _note_input(self) -> None:
        """Count what is still kept, and note what the connection waits for."""
        self._held.release(self._is_unfinished())
        self._note_waiting()

    def _note_waiting(self) -> None:
        """Note whether the connection may give way to a new one."""
        if self._part is _Part.HEAD or self._closing.is_begun:
            self._waiting.add_unfinished(self)
            return
        self._waiting.remove(self)
        if self._held.body is not None:
            self._waiting.add_unfinished(self)
        elif not (self._is_answering() or self._refused):
            self._waiting.add_idle(self)

    def _take_head(self, part: bytes) -> bool:
        """Count a part of a head; refuse the request if it is too much."""
        self._head_bytes += len(part)
        if self._head_bytes > self._bounds_of().max_header_bytes:
            self._report(client_limits.Limit.HEAD_SIZE)
            self._refuse(outcomes.Reason.TOO_LARGE, 'the header is too large')
            return False
        return self._refuse_unless_held(self._held.take_head(part))

    def _refuse_unless_held(self, refusal: byte_ledger.Refusal | None) -> bool:
        if refusal is not None:
            self.refuse_sending(refusal)
        return refusal is None

    def hold_body(self, holding: byte_ledger.Holding | None) -> None:
        """Set what holds the body that is received, None once it is whole."""
        if self._held.body is not holding:
            self._held.body = holding
            self._note_input()

    def close_after_answer(self) -> None:
        """Close once the request in progress is answered."""
        self.cycle.keep_alive = False

    def measure_sending(self) -> byte_budgets.Sender:
        """Return what is held of unfinished requests, and how old they are."""
        return self._held.measure()

    def refuse_sending(self, refusal: byte_ledger.Refusal) -> None:
        """Refuse what the client has not sent completely, and close.

        An answer in progress goes on; what was sent behind it is dropped.
        """
        body = self._held.body
        if body is None and self._is_answering():
            self._report(client_limits.Limit.SENT_AHEAD)
            self._drop_input()
            self._refused = True
            self.close_after_answer()
            self._release_input()
            return
        self._report(client_limits.Limit.MEMORY)
        if body is None:
            self._refuse_and_close(
                outcomes.Reason.OVERLOADED,
                refusal.detail,
                refusal.retry_after_ms,
            )
        else:
            self._refuse_body(body, refusal)

    def _refuse_body(
        self, holding: byte_ledger.Holding, refusal: byte_ledger.Refusal
    ) -> None:
        """Let the application, which waits for the body, refuse it."""
        self._held.body = None
        self._drop_input()
        self._refused = True
        self.cycle.body = bytearray()
        self.close_after_answer()
        self._release_input()
        holding.revoke(refusal)
        self.cycle.message_event.set()

    def _release_input(self) -> None:
        """Drop a request that is answered, and count what is still kept."""
        if self.cycle is None or self.cycle.response_complete:
            self._forget_request()
        self._note_input()

    def _forget_request(self) -> None:
        """Drop the last request, which an idle connection would keep."""
        self._held.release_head()
        self.headers = []
        self.url = b''
        self.scope = {}  # type: ignore[typeddict-item]
        if self.cycle is not None:
            self.cycle.scope = self.scope
            self.cycle.body = bytearray()

    def _is_unfinished(self) -> bool:
        """Return whether a request is incomplete, or waits unparsed."""
        if self._refused:
            return False
        is_body_awaited = (
            self._part is _Part.BODY and self._held.body is not None
        )
        return is_body_awaited or self._part is _Part.HEAD or bool(self._input)

    def _report(self, limit: client_limits.Limit) -> None:
        """Report that a limit struck this client."""
        if self._reports.on_strike is None:
            return
        host, port = self.client or ('', 0)
        held_bytes = self._held.measure().held_bytes
        self._reports.on_strike(
            client_limits.Strike(limit, f'{host}:{port}', held_bytes)
        )

    def _may_parse(self) -> bool:
        # What a client that reads no answers sends isn't parsed either.
        if self._refused or self.flow.write_paused:
            return False
        if self._part is _Part.NONE:
            self._input.skip_line_ends()
            if self._is_answering():
                self._has_waited = bool(self._input)
                return False
        return bool(self._input)

    def _parse(self, part: bytes) -> None:
        self._unset_keepalive_if_required()
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserError:
            self.send_400_response('Invalid HTTP request received.')

    def _may_read(self) -> bool:
        return self._refused or len(self._input) <= _MAX_WAITING_BYTES

    def _limit_input(self) -> None:
        """Stop reading behind a request, or limit the time of one."""
        if not self._may_read():
            self.flow.pause_reading()
            self._is_held = True
        elif self._is_held:
            self._is_held = False
            self.flow.resume_reading()
        self._departures.start(self.transport)
        if self._part is _Part.NONE:
            self._stop_timer()
            self._await_request()
            self._close_if_stopping()
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
        self._head_begun_at_s = self.loop.time()
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
        """Start the application."""
        self._connection['target'] = self.url
        super().on_headers_complete()
        self._has_waited = False
        joined_writes.join(self.cycle, self._reading.add_written, self._finish)
        if self._is_stopping and not self._has_input_behind_body():
            self.close_after_answer()
        # Not before: a head that raises above has no cycle of its own.
        self._part = _Part.BODY

    def on_message_complete(self) -> None:
        """Mark the request as received completely."""
        super().on_message_complete()
        self._connection['is_whole'] = True
        if self._is_stopping and not self._input:
            self.close_after_answer()
        self._part = _Part.NONE
        self._head_bytes = 0
        # The body may end after its answer.
        self._idle_since_s = self.loop.time()

    def shutdown(self) -> None:
        """Close after the answer in progress, or at once if there is none.

        A request that has begun to arrive is answered first.
        """
        self._is_stopping = True
        if self._closing.is_begun:
            self._closing.close_if_delivered(self.transport)
        elif self._is_answering():
            if self._refused or not self._has_input_behind_body():
                self.close_after_answer()
        elif self._is_request_arriving():
            return
        elif self._reading.count_undelivered_bytes():
            self._finish()
        else:
            super().shutdown()

    def on_response_complete(self) -> None:
        """Limit the time for which the client may stop reading the answer."""
        if not self._closing.is_begun:
            self._idle_since_s = self.loop.time()
            self.timeout_keep_alive = typing.cast(
                int,
                clock.to_seconds(self._bounds_of().idle_ms),
            )
            super().on_response_complete()
        self._reading.watch()
        self._release_input()
        if not self.transport.is_closing():
            if self._input:
                self._parse_input()
            self._close_if_stopping()

    def measure_reading(self) -> byte_budgets.Reader:
        """Return what is unread and how long the client has read nothing."""
        return self._reading.measure()

    def await_client(self, remaining_ms: clock.Millis) -> None:
        """Wait ``remaining_ms`` for the client to read the next answer.

        That is the time to its deadline, in which it may read late.
        """
        self._reading.await_client(remaining_ms)

    def cut_off(self) -> None:
        """Reset the connection and drop the unread bytes of its answers."""
        socket_state.reset(self.transport)

    def has_later_request(self) -> bool:
        """Return whether another request follows that in progress already.

        It may be incomplete. A close after the answer in progress would leave
        it without one.
        """
        return bool(self._input) or self._part is _Part.HEAD

    def _has_input_behind_body(self) -> bool:
        """Return whether a request follows that whose head came last."""
        missing_bytes = self.parser.remaining_body_bytes or 0
        return len(self._input) > missing_bytes

    def _is_request_arriving(self) -> bool:
        """Return whether a request is received, or in progress."""
        return (
            self._part is _Part.HEAD
            or self._is_answering()
            or bool(self._input)
            or socket_state.count_unread_bytes(self.transport) > 0
        )

    def _close_if_stopping(self) -> None:
        """Close after the last answer of an instance that stops."""
        if self._is_stopping and not self._is_request_arriving():
            self._finish()

    async def wait_until_read(self) -> None:
        """Wait while the client is behind with earlier answers."""
        await self.flow.drain()

    # Client errors

    def send_400_response(  # noqa: WPS114 (uvicorn's name)
        self,
        msg: str,
    ) -> None:
        """Refuse malformed HTTP."""
        if self._part is _Part.BODY and not self.cycle.response_started:
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        self._report(client_limits.Limit.MALFORMED)
        self._refuse(outcomes.Reason.BAD_REQUEST, msg)

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection.

        It isn't idle while its client still reads an answer.
        """
        if self._reading.count_unread_bytes():
            self._idle_since_s = self.loop.time()
        remaining_s = self._remaining_idle_s()
        if remaining_s > 0:
            self.timeout_keep_alive_task = self.loop.call_later(
                remaining_s,
                self.timeout_keep_alive_handler,
            )
            return
        super().timeout_keep_alive_handler()

    def _await_request(self) -> None:
        """Start the idle timeout again where input began no request.

        That is an extra CRLF, or the rest of a body after its answer.
        """
        if not self._is_answering():
            self._unset_keepalive_if_required()
            self.timeout_keep_alive_task = self.loop.call_later(
                max(self._remaining_idle_s(), 0),
                self.timeout_keep_alive_handler,
            )

    def _note_end(self, end: socket_state.End) -> None:
        """Note how the client ended the connection, unless this side did."""
        if not self._closing.is_begun:
            self._end = end

    def _report_unanswered(self) -> None:
        """Report the requests that came whole and have no complete answer."""
        unanswered_count = self._dropped_count + self._count_waiting()
        if self._is_answering() and not self.cycle.more_body:
            unanswered_count += 1
        if unanswered_count and self._reports.on_unanswered is not None:
            self._reports.on_unanswered(self._end.value, unanswered_count)

    def _is_answering(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _answer_time(self) -> clock.Millis:
        return self._bounds_of().answer_time_ms

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

    # The close by a client whose input is not read

    def _is_reading_paused(self) -> bool:
        """Return whether the reading is paused.

        It is while requests sent ahead or a large body wait. A close is read
        only after them, but ends the requests at once.
        """
        return self.flow.read_paused

    def _on_departure(self, end: socket_state.End) -> None:
        if end is socket_state.End.RESET:
            self._note_end(end)
            self.transport.abort()
        elif not self._is_kept_for_answer():
            self._drop_requests()
            self._finish()

    def _drop_requests(self) -> None:
        """End the requests in progress; answers on their way go on."""
        self._drop_input()
        if self._is_answering():
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        if self.on_lost is not None:
            self.on_lost()

    def _drop_input(self) -> None:
        """Drop the requests that wait unparsed, but remember their count."""
        self._dropped_count += self._count_waiting()
        self._input.clear()

    def _count_waiting(self) -> int:
        """Return how many whole requests wait for the answer before them."""
        if self._part is not _Part.NONE or not self._input:
            return 0
        return request_parsing.count_requests(self._input.peek())

    def _is_kept_for_answer(self) -> bool:
        """Return whether an answer is given in spite of the client's close."""
        self._note_end(socket_state.End.CLIENT_CLOSE)
        if self.on_half_close is None or not self.on_half_close():
            return False
        self.close_after_answer()
        return True

    # The end of the connection

    def _refuse(self, reason: outcomes.Reason, detail: str) -> None:
        """Refuse what comes, but not inside an answer that has begun.

        The connection closes after that instead, and after the answer to the
        request before what was sent ahead of it.
        """
        is_received = self._part is _Part.BODY
        if is_received and self._is_answering() and self.cycle.response_started:
            self._refused = True
            self.close_after_answer()
        elif self._has_waited or (is_received and self.cycle.response_complete):
            self._finish()
        else:
            self._refuse_and_close(reason, detail)

    def _refuse_and_close(
        self,
        reason: outcomes.Reason,
        detail: str,
        retry_after_ms: clock.Millis = 0,
    ) -> None:
        self._write_refusal(reason, detail, retry_after_ms)
        self._finish()

    def _write_refusal(
        self,
        reason: outcomes.Reason,
        detail: str,
        retry_after_ms: clock.Millis,
    ) -> None:
        reply = replies.not_run_reply(reason, detail, retry_after_ms)
        self.transport.write(replies.encode_refusal(reply))

    def _finish(self) -> None:
        """Close after the last answer, and drop input until the client closes.

        Without a close by the client, wait until it has received the answer
        and has sent nothing for a while, or until the time of a body is over.
        """
        if self._closing.is_begun or self.transport.is_closing():
            return
        self._refused = True
        self._drop_input()
        self._release_input()
        self._stop_timer()
        self._closing.begin(
            self.transport,
            self._bounds_of().request_time_ms * _BODY_TIME_FACTOR,
        )
        self._note_waiting()
        if self._is_half_closed:
            self.transport.close()
            return
        self.flow.resume_reading()
        self._closing.wait(self.transport)
