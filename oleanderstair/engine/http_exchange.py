"""One request of a client and its response, as an ASGI application sees it."""

import asyncio
import functools
import http
import re
import typing
import urllib.parse

from oleanderstair import logs
from oleanderstair.engine import asgi

_HIGH_WATER_BYTES: typing.Final = 65536
"""How much of a body may wait for the application before reading pauses."""

_WRONG_NAME: typing.Final = re.compile(
    rb'[\x00-\x20\x7f()<>@,;:\[\]={}\\"]',
)
_WRONG_FIELD: typing.Final = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
_LENGTH: typing.Final = b'content-length'
_ENCODING: typing.Final = b'transfer-encoding'
_CHUNKED: typing.Final = b'chunked'
_CONNECTION: typing.Final = b'connection'
_CLOSE: typing.Final = b'close'
_HEAD: typing.Final = 'HEAD'
_WITHOUT_BODY: typing.Final = frozenset((204, 304))
_FAILED: typing.Final = 500
_FAILED_BODY: typing.Final = b'Internal Server Error'


class ResponseError(Exception):
    """The application sent what is no response to its request."""


class Flow:
    """What holds reading from and writing to a connection."""

    def __init__(self, transport: asyncio.Transport) -> None:
        """Let both go on."""
        self.transport = transport
        self.is_writing_paused = False
        self._is_reading_paused = False
        self._writable = asyncio.Event()

    def pause_reading(self) -> None:
        """Take nothing more from the client for now."""
        if not self._is_reading_paused:
            self._is_reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Take what the client sends."""
        if self._is_reading_paused:
            self._is_reading_paused = False
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """Let whoever writes wait."""
        self.is_writing_paused = True
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let whoever waits write."""
        self.is_writing_paused = False
        self._writable.set()

    async def drain(self) -> None:
        """Wait until writing may go on."""
        await self._writable.wait()


class Exchange:
    """A request whose body may still arrive, and its response."""

    def __init__(
        self,
        scope: asgi.Scope,
        flow: Flow,
        app: asgi.App,
        on_response: typing.Callable[[], None],
    ) -> None:
        """Call ``on_response`` when the response is complete."""
        self.keep_alive = True
        self.disconnected = False
        self.response_complete = False
        self.is_continue_owed = False
        self._is_close_told = False
        self._scope = scope
        self._flow = flow
        self._app = app
        self._on_response = on_response
        self._changed = asyncio.Event()
        self._body = bytearray()
        self._is_body_open = True
        self._is_started = False
        self._is_chunked: bool | None = None
        self._left_bytes = 0

    async def run(self) -> None:
        """Run the application; an answer that it fails to give is 500."""
        try:
            await self._app(self._scope, self._receive, self._send)
        except Exception as error:
            logs.event('fault', where='application', cause=repr(error))
        await self._end()
        # The connection refers to its exchange as well.
        self._on_response = _do_nothing

    async def _end(self) -> None:
        if self.response_complete or self.disconnected:
            return
        if self._is_started:
            self._flow.transport.close()
        else:
            await self._send_failed()

    def lose(self) -> None:
        """Note that the client is gone."""
        if not self.response_complete:
            self.disconnected = True
        self._changed.set()

    def cut(self) -> None:
        """Let the application see a client that is gone."""
        self.disconnected = True
        self._changed.set()

    def take_body(self, body: bytes) -> None:
        """Take a piece of the body, unless the answer needed none."""
        if self.response_complete:
            return
        self._body += body
        if len(self._body) > _HIGH_WATER_BYTES:
            self._flow.pause_reading()
        self._changed.set()

    def end_body(self) -> None:
        """Note that the body is whole."""
        self._is_body_open = False
        self._changed.set()

    # What the application calls

    async def _receive(self) -> asgi.Message:
        if self.is_continue_owed and not self._flow.transport.is_closing():
            self._flow.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')
            self.is_continue_owed = False
        if not self.disconnected and not self.response_complete:
            self._flow.resume_reading()
            await self._changed.wait()
            self._changed.clear()
        if self.disconnected or self.response_complete:
            return {'type': 'http.disconnect'}
        body = bytes(self._body)
        self._body.clear()
        return {
            'type': 'http.request',
            'body': body,
            'more_body': self._is_body_open,
        }

    async def _send(self, message: asgi.Message) -> None:
        if self._flow.is_writing_paused and not self.disconnected:
            await self._flow.drain()
        if self.disconnected:
            return
        if self.response_complete:
            raise ResponseError('the response was complete')
        is_start = message['type'] == 'http.response.start'
        if is_start == self._is_started:
            raise ResponseError(f'{message["type"]} out of turn')
        if is_start:
            self._start(message['status'], message['headers'])
        else:
            self._write(
                message.get('body', b''),
                message.get('more_body', False),
            )

    async def _send_failed(self) -> None:
        fields = [
            (b'content-type', b'text/plain; charset=utf-8'),
            (_CONNECTION, _CLOSE),
        ]
        length = str(len(_FAILED_BODY)).encode()
        await asgi.respond(
            self._send,
            _FAILED,
            [*fields, (_LENGTH, length)],
            _FAILED_BODY,
        )

    # What is written

    def _start(self, status: int, fields: asgi.HeaderList) -> None:
        written = [status_line(status)]
        for name, field in fields:
            if _WRONG_NAME.search(name) or _WRONG_FIELD.search(field):
                raise ResponseError('a header field is invalid')
            self._heed(name.lower(), field)
            written.append(b'%b: %b\r\n' % (name.lower(), field))
        if not self.keep_alive and not self._is_close_told:
            written.append(b'connection: close\r\n')
        may_have_body = (
            self._scope['method'] != _HEAD and status not in _WITHOUT_BODY
        )
        if self._is_chunked is None and may_have_body:
            self._is_chunked = True
            written.append(b'transfer-encoding: chunked\r\n')
        written.append(b'\r\n')
        self._is_started = True
        self.is_continue_owed = False
        self._flow.transport.write(b''.join(written))

    def _heed(self, name: bytes, field: bytes) -> None:
        """Follow what a field says of the body and the connection."""
        if name == _LENGTH and self._is_chunked is None:
            self._left_bytes = int(field)
            self._is_chunked = False
        elif name == _ENCODING and field.lower() == _CHUNKED:
            self._left_bytes = 0
            self._is_chunked = True
        elif name == _CONNECTION and _tells_close(field):
            self.keep_alive = False
            self._is_close_told = True

    def _write(self, body: bytes, is_more: bool) -> None:
        if self._scope['method'] == _HEAD:
            self._left_bytes = 0
        elif self._is_chunked:
            self._flow.transport.write(_chunk(body, is_more))
        elif len(body) > self._left_bytes:
            raise ResponseError('the body is longer than it was said to be')
        else:
            self._left_bytes -= len(body)
            self._flow.transport.write(body)
        if not is_more:
            self._finish()

    def _finish(self) -> None:
        if self._left_bytes:
            raise ResponseError('the body is shorter than it was said to be')
        self.response_complete = True
        self._changed.set()
        if not self.keep_alive:
            self._flow.transport.close()
        self._on_response()


@functools.cache
def status_line(status: int) -> bytes:
    """Return the first line of a response."""
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = ''
    return f'HTTP/1.1 {status} {phrase}\r\n'.encode()


def decode_path(raw: bytes) -> str:
    """Return a path with its escapes resolved."""
    path = raw.decode('ascii')
    return urllib.parse.unquote(path) if '%' in path else path


def _tells_close(field: bytes) -> bool:
    told = field.lower().split(b',')
    return any(token.strip() == _CLOSE for token in told)


def _do_nothing() -> None:
    """Tell nobody."""


def _chunk(body: bytes, is_more: bool) -> bytes:
    written = b'%x\r\n%b\r\n' % (len(body), body) if body else b''
    return written if is_more else b'%b0\r\n\r\n' % written
