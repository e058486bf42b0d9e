"""Exchanges with targets: one per HTTP/1.1 connection, our own table."""

import dataclasses
import typing

import anyio
import httpcore

from oleanderstair import clock
from oleanderstair.domain import events
from oleanderstair.engine import headers

CONNECT_BOUND_MS: typing.Final = 1000
IDLE_PER_TARGET: typing.Final = 8
_UNAVAILABLE: typing.Final = 503


class Request(typing.NamedTuple):
    """A call as it goes to a target."""

    method: bytes
    path: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Answer(typing.NamedTuple):
    """A whole answer of a target."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Ended(typing.NamedTuple):
    """How an exchange ended, with its answer where there is one."""

    verdict: events.Verdict
    answer: Answer | None = None
    crashed: bool = False


@dataclasses.dataclass(slots=True)
class Connections:
    """Idle connections by target."""

    backend: httpcore.AsyncNetworkBackend
    idle_by_target: dict[str, list[httpcore.AsyncHTTP11Connection]] = (
        dataclasses.field(default_factory=dict)
    )

    async def exchange(
        self,
        target_id: str,
        address: str,
        request: Request,
        fresh: bool,
        silence_ms: clock.Millis,
    ) -> Ended:
        """Send ``request`` and read the whole answer within the bound."""
        try:
            connection = await self._connect(target_id, address, fresh)
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return Ended(events.Verdict.NOT_SENT, crashed=True)
        keep = False
        ended = Ended(events.Verdict.SILENT)
        try:
            with anyio.move_on_after(clock.to_seconds(silence_ms)):
                ended = await _send(connection, address, request)
                keep = ended.answer is not None and connection.is_idle()
        finally:
            await self._give_back(target_id, connection, keep)
        return ended

    async def close_idle(self, target_id: str) -> None:
        """Close the idle connections to a target."""
        for connection in self.idle_by_target.pop(target_id, []):
            await connection.aclose()

    async def _connect(
        self,
        target_id: str,
        address: str,
        fresh: bool,
    ) -> httpcore.AsyncHTTP11Connection:
        idle = self.idle_by_target.get(target_id, [])
        while idle and not fresh:
            connection = idle.pop()
            if connection.is_available() and not connection.has_expired():
                return connection
            await connection.aclose()
        host, _, port = address.rpartition(':')
        stream = await self.backend.connect_tcp(
            host,
            int(port),
            timeout=clock.to_seconds(CONNECT_BOUND_MS),
        )
        origin = httpcore.Origin(b'http', host.encode(), int(port))
        return httpcore.AsyncHTTP11Connection(origin, stream)

    async def _give_back(
        self,
        target_id: str,
        connection: httpcore.AsyncHTTP11Connection,
        keep: bool,
    ) -> None:
        idle = self.idle_by_target.setdefault(target_id, [])
        if keep and len(idle) < IDLE_PER_TARGET:
            idle.append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.aclose()


def create() -> Connections:
    """Create an empty table of connections."""
    return Connections(httpcore.AnyIOBackend())


def verdict_of(answer: Answer) -> events.Verdict:
    """Return SHED where the target itself says that it did not run."""
    said = headers.find(answer.headers, headers.OUTCOME)
    if answer.status == _UNAVAILABLE and said == b'not-run':
        return events.Verdict.SHED
    return events.Verdict.ANSWERED


async def _send(
    connection: httpcore.AsyncHTTP11Connection,
    address: str,
    request: Request,
) -> Ended:
    host, _, port = address.rpartition(':')
    url = httpcore.URL(
        scheme=b'http',
        host=host.encode(),
        port=int(port),
        target=request.path,
    )
    outgoing = httpcore.Request(
        request.method,
        url,
        headers=request.headers,
        content=request.body,
    )
    try:
        response = await connection.handle_async_request(outgoing)
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return Ended(events.Verdict.BROKEN, crashed=True)
    try:
        body = await response.aread()
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return Ended(events.Verdict.BROKEN, crashed=True)
    finally:
        await response.aclose()
    answer = Answer(response.status, list(response.headers), body)
    return Ended(verdict_of(answer), answer)
