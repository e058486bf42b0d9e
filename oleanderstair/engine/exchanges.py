"""Exchanges with targets: one per HTTP/1.1 connection, our own table.

An answer counts only when its framing proves it complete. One that ends
with its connection, without a length or chunks, cannot be proved and is
taken as BROKEN.
"""

import dataclasses
import typing

import anyio
import httpcore

from oleanderstair import clock
from oleanderstair.domain import events
from oleanderstair.engine import headers, streams

CONNECT_BOUND_MS: typing.Final = 1000
IDLE_BOUND_MS: typing.Final = 4000
IDLE_PER_TARGET: typing.Final = 8
OPEN_PER_TARGET: typing.Final = 16
MAX_ANSWER_BYTES: typing.Final = 4_194_304
_FIRST_FINAL: typing.Final = 200
_FIRST_UNDEFINED: typing.Final = 600
_UNAVAILABLE: typing.Final = 503
_NO_BODY: typing.Final = frozenset((204, 304))

_LOST: typing.Final = (httpcore.NetworkError, httpcore.RemoteProtocolError)
Connection: typing.TypeAlias = httpcore.AsyncHTTP11Connection


class Request(typing.NamedTuple):
    """A call as it goes to a target."""

    method: bytes
    path: bytes
    headers: headers.Fields
    body: bytes


class Answer(typing.NamedTuple):
    """A whole answer of a target."""

    status: int
    headers: headers.Fields
    body: bytes


class Ended(typing.NamedTuple):
    """How an exchange ended, with its answer where there is one."""

    verdict: events.Verdict
    answer: Answer | None = None
    crashed: bool = False
    what: str = ''


Judge: typing.TypeAlias = typing.Callable[[Answer], events.Verdict]


class Place(typing.NamedTuple):
    """Where an exchange goes and how long it may take there."""

    target_id: str
    address: str
    fresh: bool
    silence_ms: clock.Millis


@dataclasses.dataclass(slots=True)
class Connections:
    """Open connections: how many by target, and which are idle."""

    backend: httpcore.AsyncNetworkBackend
    max_answer_bytes: int = MAX_ANSWER_BYTES
    idle_by_target: dict[str, list[Connection]] = dataclasses.field(
        default_factory=dict,
    )
    open_by_target: dict[str, int] = dataclasses.field(default_factory=dict)

    async def exchange(
        self,
        place: Place,
        request: Request,
        judge: Judge | None = None,
    ) -> Ended:
        """Send ``request`` and read the whole answer within the bound.

        NOT_SENT means that no connection could be had, so no byte left.
        ``judge`` tells what a whole answer proves; without it, the product's
        own outcome field does.
        """
        if not self._claim(place.target_id):
            return Ended(events.Verdict.NOT_SENT, what='connection limit')
        connection: Connection | None = None
        ended = Ended(events.Verdict.SILENT)
        try:
            connection = await self._connect(place)
            with anyio.move_on_after(clock.to_seconds(place.silence_ms)):
                ended = await self._send(connection, place.address, request)
            ended = _judged(ended, judge or verdict_of)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return Ended(events.Verdict.NOT_SENT, what=repr(error))
        finally:
            await self._give_back(place, connection, ended)
        return ended

    async def close_idle(self, target_id: str) -> None:
        """Close the idle connections to a target."""
        for connection in self.idle_by_target.pop(target_id, []):
            await connection.aclose()

    async def close_aged(self) -> None:
        """Close idle connections that may be about to be closed on us."""
        aged: list[Connection] = []
        for target_id, idle in tuple(self.idle_by_target.items()):
            expired = [entry for entry in idle if entry.has_expired()]
            for entry in expired:
                idle.remove(entry)
            aged.extend(expired)
            if not idle:
                self.idle_by_target.pop(target_id)
        for connection in aged:
            await connection.aclose()

    def _claim(self, target_id: str) -> bool:
        busy = self.open_by_target.get(target_id, 0)
        if busy >= OPEN_PER_TARGET:
            return False
        self.open_by_target[target_id] = busy + 1
        return True

    async def _connect(self, place: Place) -> Connection:
        idle = self.idle_by_target.get(place.target_id, [])
        while idle and not place.fresh:
            connection = idle.pop()
            if not connection.has_expired():
                return connection
            await connection.aclose()
        host, _, port = place.address.rpartition(':')
        bound_ms = min(CONNECT_BOUND_MS, place.silence_ms)
        stream = await self.backend.connect_tcp(
            host,
            int(port),
            timeout=clock.to_seconds(bound_ms),
        )
        return httpcore.AsyncHTTP11Connection(
            httpcore.Origin(b'http', host.encode(), int(port)),
            stream,
            keepalive_expiry=clock.to_seconds(IDLE_BOUND_MS),
        )

    async def _send(
        self,
        connection: Connection,
        address: str,
        request: Request,
    ) -> Ended:
        try:
            response = await connection.handle_async_request(
                _outgoing(address, request),
            )
        except httpcore.LocalProtocolError as ours:
            return Ended(events.Verdict.NOT_SENT, what=repr(ours))
        except _LOST as error:
            return Ended(events.Verdict.BROKEN, crashed=True, what=repr(error))
        try:
            body = await _read_bounded(response, self.max_answer_bytes)
        except _LOST as cut:
            return Ended(events.Verdict.BROKEN, crashed=True, what=repr(cut))
        finally:
            await response.aclose()
        return _conclude(request, response, body)

    async def _give_back(
        self,
        place: Place,
        connection: Connection | None,
        ended: Ended,
    ) -> None:
        target_id = place.target_id
        left = self.open_by_target[target_id] - 1
        if left:
            self.open_by_target[target_id] = left
        else:
            self.open_by_target.pop(target_id)
        if connection is None:
            return
        idle = self.idle_by_target.setdefault(target_id, [])
        keep = ended.answer is not None and connection.is_idle()
        if keep and len(idle) < IDLE_PER_TARGET:
            idle.append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.aclose()


def create(max_answer_bytes: int = MAX_ANSWER_BYTES) -> Connections:
    """Create an empty table of connections."""
    return Connections(streams.create(), max_answer_bytes)


def is_passed_on(answer: Answer) -> bool:
    """Return whether a shed answer is a refusal of this system itself.

    Only this system names a reason, so the target passes on what a nested
    call was told after its own retries.
    """
    return (
        verdict_of(answer) is events.Verdict.SHED
        and headers.find(answer.headers, headers.REASON) != b''
    )


def verdict_of(answer: Answer) -> events.Verdict:
    """Return SHED where the target itself says that it did not run."""
    if answer.status != _UNAVAILABLE:
        return events.Verdict.ANSWERED
    if headers.find(answer.headers, headers.OUTCOME) == b'not-run':
        return events.Verdict.SHED
    return events.Verdict.ANSWERED


def _outgoing(address: str, request: Request) -> httpcore.Request:
    host, _, port = address.rpartition(':')
    url = httpcore.URL(
        scheme=b'http',
        host=host.encode(),
        port=int(port),
        target=request.path,
    )
    return httpcore.Request(
        request.method,
        url,
        headers=request.headers,
        content=request.body,
    )


async def _read_bounded(
    response: httpcore.Response,
    max_bytes: int,
) -> bytes | None:
    chunks: list[bytes] = []
    size = 0
    async for chunk in response.aiter_stream():
        size += len(chunk)
        if size > max_bytes:
            return None
        chunks.append(chunk)
    return b''.join(chunks)


def _conclude(
    request: Request,
    response: httpcore.Response,
    body: bytes | None,
) -> Ended:
    if body is None:
        return Ended(events.Verdict.BROKEN, what='answer too large')
    answer = Answer(response.status, list(response.headers), body)
    if not _FIRST_FINAL <= answer.status < _FIRST_UNDEFINED:
        return Ended(events.Verdict.BROKEN, what='status out of range')
    if not headers.are_clean(answer.headers):
        return Ended(events.Verdict.BROKEN, what='control character in header')
    if not _is_framed(request, answer):
        return Ended(events.Verdict.BROKEN, what='answer without a length')
    return Ended(events.Verdict.ANSWERED, answer)


def _judged(ended: Ended, judge: Judge) -> Ended:
    """Return the verdict of a whole answer; a refuted one is dropped."""
    if ended.answer is None:
        return ended
    verdict = judge(ended.answer)
    if verdict is events.Verdict.BROKEN:
        return Ended(verdict, what='answer to another request')
    return ended._replace(verdict=verdict)


def _is_framed(request: Request, answer: Answer) -> bool:
    if request.method == b'HEAD' or answer.status in _NO_BODY:
        return True
    return any(
        name.lower() in {headers.CONTENT_LENGTH, headers.TRANSFER_ENCODING}
        for name, _ in answer.headers
    )
