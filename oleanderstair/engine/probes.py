"""Reads the health and load endpoints of targets."""

import typing

import anyio
import anyio.lowlevel
import httpcore
import msgspec

from oleanderstair import clock, logs
from oleanderstair.domain import events

HEALTH_PATH: typing.Final = '/-/health'
LOAD_PATH: typing.Final = '/-/load'
_MAX_CONNECTIONS: typing.Final = 32

_MAX_BODY_BYTES: typing.Final = 4096
"""Maximum size of a body; its few fields take some 100 bytes."""


class Health(msgspec.Struct):
    """The body of the health endpoint."""

    healthy: bool
    leaving: bool = False
    incarnation: str = ''


class Load(msgspec.Struct):
    """The body of the load endpoint."""

    in_flight: int
    queued: int = 0


class TargetEndpoints(typing.Protocol):
    """A client of the health and load endpoints of targets."""

    async def read(
        self,
        address: str,
        bound_ms: clock.Millis,
    ) -> events.TargetReport | None:
        """Return the report, or None if it is not read within ``bound_ms``."""


class HttpEndpoints:
    """Reads the endpoints over HTTP/1.1."""

    def __init__(self) -> None:
        """Use a connection pool separate from that of calls."""
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS
        )

    async def read(
        self,
        address: str,
        bound_ms: clock.Millis,
    ) -> events.TargetReport | None:
        """Return both answers as a report.

        Returns None if an endpoint fails, if a body is invalid, or if they take
        longer than ``bound_ms``.
        """
        with anyio.move_on_after(clock.to_seconds(bound_ms)):
            return await self._read_both(address)
        return None

    async def _read_both(self, address: str) -> events.TargetReport | None:
        try:
            health_body = await self._read_body(address, HEALTH_PATH)
            load_body = await self._read_body(address, LOAD_PATH)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return None
        try:
            return _parse(health_body, load_body)
        except msgspec.MsgspecError:
            return None

    async def _read_body(self, address: str, path: str) -> bytes:
        """Return a body, or an empty one if it is too large.

        The rest of a large one is not read, and its connection is closed.
        """
        body = bytearray()
        async with self._pool.stream(
            'GET', f'http://{address}{path}'
        ) as answer:
            async for part in answer.aiter_stream():
                body += part
                # Parts that have been received come without a turn of others.
                await anyio.lowlevel.checkpoint()
                if len(body) > _MAX_BODY_BYTES:
                    logs.log_event(
                        'probe-too-large', address=address, path=path
                    )
                    return b''
        return bytes(body)


def create() -> HttpEndpoints:
    """Create a client of target endpoints over HTTP."""
    return HttpEndpoints()


def _parse(health_body: bytes, load_body: bytes) -> events.TargetReport:
    health = msgspec.json.decode(health_body, type=Health)
    load = msgspec.json.decode(load_body, type=Load)
    return events.TargetReport(
        healthy=health.healthy,
        leaving=health.leaving,
        in_flight=load.in_flight,
        queued=load.queued,
        incarnation=health.incarnation,
    )
