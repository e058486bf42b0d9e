"""A target over HTTP that tells its load and checks who is meant."""

import dataclasses
import enum
import re
import typing

import anyio

from oleanderstair import clock
from oleanderstair.engine import asgi, headers, incoming, listener
from oleanderstair.platform import dialect

HEALTH_PATH: typing.Final = '/health'
SIGNATURE: typing.Final = b'server-signature'
INSTANCE_ID: typing.Final = b'instance-id'

_OK: typing.Final = 200
_BAD_REQUEST: typing.Final = 400
_MISDIRECTED: typing.Final = 421
_FAILED: typing.Final = 500
_UNAVAILABLE: typing.Final = 503
_SHED_FIELD: typing.Final = (dialect.NOT_RUN, b'1')
_FILL: typing.Final = re.compile(rb'(?:^|&)fill=(\d{1,7})')
_LATE_REPORT: typing.Final = (
    b'HTTP/1.1 200 OK\r\nServer-Load: 0,0,4\r\nContent-Length: 0\r\n\r\n'
)
_MAX_BODY_BYTES: typing.Final = 1_000_000
_MS_PER_S: typing.Final = 1000
_BODY_MS: typing.Final[clock.Millis] = 5000
_PAUSE: typing.Final = re.compile(rb'(?:^|&)pause=(\d{1,5})')
"""How a query asks for an answer in parts, over so many ms."""

_SILENT_SHARE: typing.Final = 0.9
"""The share of the pause in an answer that lies before its body."""


class Behaviour(enum.Enum):
    """What a target does with a call that it takes."""

    SERVE = 'serve'
    FAIL = 'fail'
    SHED = 'shed'
    HANG = 'hang'
    CRASH = 'crash'
    CUT_SHORT = 'cut-short'
    OTHER_REQUEST = 'other-request'
    EXTRA_ANSWER = 'extra-answer'
    LATE_REPORT = 'late-report'
    GARBLED = 'garbled'


class Ran(typing.NamedTuple):
    """A call that a target ran, as it arrived."""

    request_id: str
    method: str
    target: str
    body: bytes
    deadline_ms: int


@dataclasses.dataclass(slots=True)
class LoadTarget:
    """One target; tests change its fields while it runs.

    ``raw`` are the bytes that it writes where ``behaviour`` is GARBLED. Until
    ``cold_until_s`` its health responses state a slow start.
    """

    target_id: str
    slots: int = 4
    service_ms: clock.Millis = 2
    slowness: int = 100
    behaviour: Behaviour = Behaviour.SERVE
    leaving: bool = False
    says_leaving: bool = False
    rest: bytes = b''
    limit: bytes = b''
    cold_until_s: float = 0
    raw: bytes = b'\x00\xff nothing of the protocol\r\n\r\n'
    running: int = 0
    reads: int = 0
    dropped: int = 0
    ran: list[Ran] = dataclasses.field(default_factory=list)

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Answer one request as the behaviour says."""
        found = headers.index_fields(scope['headers']).field_by_name
        if scope['path'] == HEALTH_PATH:
            await self._answer_health(send)
            return
        status = self._refusal_of(found)
        if status:
            request_id = found.get(dialect.REQUEST_ID, b'')
            echoed = (dialect.REQUEST_ID, request_id)
            await self._answer(send, status, b'', [_SHED_FIELD, echoed])
            return
        await self._take(scope, receive, send, found)

    def _refusal_of(self, found: dict[bytes, bytes]) -> int:
        """Return the status of a call that is not run, else 0."""
        own = self.target_id.encode()
        if found.get(dialect.EXPECTED_TARGET, own) != own:
            return _MISDIRECTED
        if dialect.REQUEST_ID not in found:
            return _BAD_REQUEST
        full = self.running >= self.slots
        if full or self.behaviour is Behaviour.SHED:
            return _UNAVAILABLE
        return 0

    async def _answer_health(self, send: asgi.Send) -> None:
        self.reads += 1
        status = _UNAVAILABLE if self.leaving else _OK
        cold_ms = (self.cold_until_s - anyio.current_time()) * _MS_PER_S
        fields = []
        if cold_ms > 0:
            fields = [(dialect.SLOW_START_MS, str(int(cold_ms)).encode())]
        await self._answer(send, status, b'', fields)

    async def _take(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
        found: dict[bytes, bytes],
    ) -> None:
        body = await asgi.read_body(receive, _MAX_BODY_BYTES, _BODY_MS)
        request_id = found[dialect.REQUEST_ID]
        self.ran.append(
            Ran(
                request_id.decode('latin-1'),
                scope['method'],
                incoming.request_target_of(scope).decode('latin-1'),
                body,
                headers.parse_count(found.get(dialect.DEADLINE_MS, b'')) or 0,
            ),
        )
        self.running += 1
        work = anyio.CancelScope()
        try:
            with listener.watch_disconnect(scope, work.cancel), work:
                await self._behave(scope, send, request_id)
        finally:
            self.running -= 1
        self.dropped += work.cancelled_caught

    async def _behave(
        self,
        scope: asgi.Scope,
        send: asgi.Send,
        request_id: bytes,
    ) -> None:
        transport = listener.protocol_of(scope).transport
        await anyio.sleep(clock.to_seconds(self.service_ms))
        if self.behaviour is Behaviour.HANG:
            await anyio.sleep_forever()
        elif self.behaviour is Behaviour.CRASH:
            transport.abort()
        elif self.behaviour is Behaviour.CUT_SHORT:
            transport.write(_cut_short(request_id))
            transport.close()
        elif self.behaviour is Behaviour.GARBLED:
            transport.write(self.raw)
            transport.close()
        else:
            if self.behaviour is Behaviour.LATE_REPORT:
                transport.write(_LATE_REPORT)
            await self._answer_call(scope, send, request_id)

    async def _answer_call(
        self,
        scope: asgi.Scope,
        send: asgi.Send,
        request_id: bytes,
    ) -> None:
        answered = request_id
        if self.behaviour is Behaviour.OTHER_REQUEST:
            answered = b'of-another-request'
        failed = self.behaviour is Behaviour.FAIL
        query = scope['query_string']
        await self._answer(
            send,
            _FAILED if failed else _OK,
            body_of(request_id, _count_of(_FILL, query)),
            [(dialect.REQUEST_ID, answered), (SIGNATURE, b'signed')],
            _count_of(_PAUSE, query),
        )
        if self.behaviour is Behaviour.EXTRA_ANSWER:
            transport = listener.protocol_of(scope).transport
            transport.write(_whole(b'of-another-request', b'extra'))

    async def _answer(
        self,
        send: asgi.Send,
        status: int,
        body: bytes,
        fields: asgi.HeaderList,
        pause_ms: clock.Millis = 0,
    ) -> None:
        told = f'{self.running},0,{self.slots},{self.slowness}'
        listed = [
            (b'content-length', str(len(body)).encode()),
            (dialect.SERVER_LOAD, told.encode()),
            (INSTANCE_ID, self.target_id.encode()),
            *fields,
        ]
        if self.leaving:
            listed.append((headers.CONNECTION, b'close'))
        if self.says_leaving:
            listed.append((dialect.SERVER_LEAVING, b'1'))
        if self.limit:
            listed.append((dialect.SERVER_LIMIT, self.limit))
        if self.rest and status == _UNAVAILABLE:
            listed.append((headers.RETRY_AFTER, self.rest))
        await send(
            {'type': 'http.response.start', 'status': status, 'headers': listed}
        )
        middle = len(body) // 2 if pause_ms else 0
        if pause_ms:
            pause_s = clock.to_seconds(pause_ms)
            # The listener writes the head together with the first part.
            await send(_body_part(b'', more_body=True))
            await anyio.sleep(pause_s * _SILENT_SHARE)
            await send(_body_part(body[:middle], more_body=True))
            await anyio.sleep(pause_s * (1 - _SILENT_SHARE))
        await send(_body_part(body[middle:], more_body=False))


def create(target_id: str) -> LoadTarget:
    """Create a target that serves."""
    return LoadTarget(target_id)


def body_of(request_id: bytes, fill: int) -> bytes:
    """Return the body of an answer, made longer by ``fill`` bytes."""
    return b'served %b' % request_id + b'.' * fill


def _body_part(part: bytes, *, more_body: bool) -> asgi.Message:
    return {'type': 'http.response.body', 'body': part, 'more_body': more_body}


def _count_of(asked: re.Pattern[bytes], query: bytes) -> int:
    found = asked.search(query)
    return int(found[1]) if found else 0


def _whole(request_id: bytes, body: bytes) -> bytes:
    head = (
        b'HTTP/1.1 200 OK',
        b'Request-Id: %b' % request_id,
        b'Content-Length: %d' % len(body),
        b'',
        body,
    )
    return b'\r\n'.join(head)


def _cut_short(request_id: bytes) -> bytes:
    return _whole(request_id, b'cut' * 100)[:-200]  # noqa: WPS432 (ends early)
