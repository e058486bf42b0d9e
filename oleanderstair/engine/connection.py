"""One client's HTTP/1.1 connection, by httptools, for an ASGI application.

Requests that arrive before an earlier one is answered wait for their turn.
"""

import asyncio
import collections
import dataclasses
import typing

import httptools

from oleanderstair.engine import asgi, http_exchange

_OLD_VERSION: typing.Final = '1.0'
_VERSION: typing.Final = '1.1'
_EXPECT: typing.Final = b'expect'
_CONTINUE: typing.Final = b'100-continue'
_MALFORMED: typing.Final = 'Invalid HTTP request received.'


@dataclasses.dataclass(slots=True)
class Open:
    """The open connections of a listener and the requests in work."""

    connections: set['Connection'] = dataclasses.field(default_factory=set)
    tasks: set['asyncio.Task[None]'] = dataclasses.field(default_factory=set)


class Connection(asyncio.Protocol):
    """One connection, whose requests are handed to ``app`` in order."""

    transport: asyncio.Transport
    scope: asgi.Scope
    url: bytes
    headers: asgi.HeaderList

    def __init__(self, app: asgi.App, held: Open) -> None:
        """Serve ``app``, and be counted in ``held`` while open."""
        self.app = app
        self.loop = asyncio.get_running_loop()
        self.connections = held.connections
        self.pipeline: collections.deque[http_exchange.Exchange] = (
            collections.deque()
        )
        self.cycle: http_exchange.Exchange | None = None
        self.parser = httptools.HttpRequestParser(self)
        # A request may be answered whose client said more after its close.
        self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
        self._tasks = held.tasks
        self._expects_continue = False
        self._idle_timer: asyncio.TimerHandle | None = None

    # The connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note both ends of the connection."""
        self.connections.add(self)
        self.transport = typing.cast(asyncio.Transport, transport)
        self._flow = http_exchange.Flow(self.transport)
        self._server = transport.get_extra_info('sockname')
        self._client = transport.get_extra_info('peername')

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the request in work that its client is gone."""
        self.connections.discard(self)
        self._stop_idling()
        if self.cycle is not None:
            self.cycle.lose()
        self._flow.resume_writing()
        # Else each closed connection waits for the garbage collector.
        self.pipeline.clear()
        self.cycle = None
        self.scope = {}
        del self.parser

    def eof_received(self) -> None:
        """Close, as a client that is done sending is taken to be gone."""

    def pause_writing(self) -> None:
        """Let answers wait while the client reads too slowly."""
        self._flow.pause_writing()

    def resume_writing(self) -> None:
        """Let answers go on."""
        self._flow.resume_writing()

    def data_received(self, chunk: bytes) -> None:
        """Feed the parser."""
        self._stop_idling()
        try:
            self.parser.feed_data(chunk)
        except httptools.HttpParserUpgrade:
            self.refuse_upgrade()
        except httptools.HttpParserError:
            self.refuse_malformed(_MALFORMED)

    def shutdown(self) -> None:
        """Close as soon as nothing is owed on the connection."""
        if self.cycle is None or self.cycle.response_complete:
            self.transport.close()
        else:
            self.cycle.keep_alive = False

    def refuse_malformed(self, what: str) -> None:
        """Answer what is no HTTP."""
        raise NotImplementedError

    def refuse_upgrade(self) -> None:
        """Handle a request for another protocol, where the parser stops."""

    def idle_bound_s(self) -> float:
        """Return for how long the connection may still stay idle."""
        raise NotImplementedError

    # The parser's callbacks

    def on_message_begin(self) -> None:
        """Open a request."""
        self.url = b''
        self.headers = []
        self._expects_continue = False
        self.scope = {
            'type': 'http',
            'http_version': _VERSION,
            'server': self._server,
            'client': self._client,
            'scheme': 'http',
            'headers': self.headers,
        }

    def on_url(self, url: bytes) -> None:
        """Take a piece of the request's target."""
        self.url += url

    def on_header(self, name: bytes, field: bytes) -> None:
        """Take a header field."""
        name = name.lower()
        # The parser keeps blanks at the end, which aren't of the field.
        field = field.rstrip(b' \t')
        if name == _EXPECT and field.lower() == _CONTINUE:
            self._expects_continue = True
        self.headers.append((name, field))

    def on_headers_complete(self) -> None:
        """Start the application, or let the request wait for its turn."""
        version = self.parser.get_http_version()
        parsed = httptools.parse_url(self.url)
        self.scope['method'] = self.parser.get_method().decode('ascii')
        self.scope['http_version'] = version
        self.scope['path'] = http_exchange.decode_path(parsed.path)
        self.scope['raw_path'] = parsed.path
        self.scope['query_string'] = parsed.query or b''
        before = self.cycle
        self.cycle = http_exchange.Exchange(
            self.scope,
            self._flow,
            self.app,
            self.on_response_complete,
        )
        self.cycle.is_continue_owed = self._expects_continue
        self.cycle.keep_alive = (
            version != _OLD_VERSION and self.parser.should_keep_alive()
        )
        if before is None or before.response_complete:
            self._start(self.cycle)
        else:
            self._flow.pause_reading()
            self.pipeline.append(self.cycle)

    def on_body(self, body: bytes) -> None:
        """Hand a piece of a body to its request."""
        if self.cycle is not None:
            self.cycle.take_body(body)

    def on_message_complete(self) -> None:
        """Close the body of the request."""
        if self.cycle is not None:
            self.cycle.end_body()

    # After an answer

    def on_response_complete(self) -> None:
        """Start the request whose turn it is, or wait for another."""
        if self.transport.is_closing():
            return
        self._stop_idling()
        self._flow.resume_reading()
        if self.pipeline:
            self._start(self.pipeline.popleft())
            return
        self._idle_timer = self.loop.call_later(
            self.idle_bound_s(),
            self.on_idle,
        )

    def on_idle(self) -> None:
        """Close an idle connection, or look again where it may stay."""
        left_s = self.idle_bound_s()
        if left_s > 0:
            self._idle_timer = self.loop.call_later(left_s, self.on_idle)
            return
        if self.transport.get_write_buffer_size():
            self.transport.abort()
        else:
            self.transport.close()

    def _stop_idling(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _start(self, cycle: http_exchange.Exchange) -> None:
        task = self.loop.create_task(cycle.run())
        task.add_done_callback(self._tasks.discard)
        self._tasks.add(task)
