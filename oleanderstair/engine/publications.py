"""Reads the platform over HTTP: configuration values and instances."""

import typing

import anyio
import httpcore
import msgspec

from oleanderstair import clock
from oleanderstair.domain import events

MAX_VALUE_BYTES: typing.Final = 1_000_000

_READ_CONNECTIONS: typing.Final = 4
_WATCH_CONNECTIONS: typing.Final = 2
_OK: typing.Final = 200
_NOT_FOUND: typing.Final = 404


class Configuration(typing.Protocol):
    """The configuration service, which can only be read and watched."""

    async def get(self, name: str) -> bytes | None:
        """Return a value, or None where it is absent.

        Raises ``PlatformError`` where the service fails.
        """

    async def watch(
        self,
        name: str,
        digest: str,
        bound_ms: clock.Millis,
    ) -> bytes | None:
        """Return the value once its digest differs from ``digest``.

        Raises ``PlatformError`` where the service fails; returns None when
        the bound passes without a change.
        """


class InstanceList(typing.Protocol):
    """The platform's lagging list of instances."""

    async def read(self) -> tuple[events.ListedInstance, ...]:
        """Return the listed instances.

        Raises ``PlatformError`` where the platform fails.
        """


class PlatformError(Exception):
    """The platform failed, or answered what cannot be used."""


class HttpPlatform:
    """The platform over HTTP/1.1; every read has a bound.

    Each read has a connection of its own, since an idle one may have gone
    silent and reads are few; watches never take the place of reads.
    """

    def __init__(
        self,
        configuration_url: str,
        instances_url: str,
        bound_ms: clock.Millis,
    ) -> None:
        """Read from the given URLs, each read within ``bound_ms``."""
        self._configuration_url = configuration_url
        self._instances_url = instances_url
        self._bound_ms = bound_ms
        self._reads = _create_pool(_READ_CONNECTIONS)
        self._watches = _create_pool(_WATCH_CONNECTIONS)

    async def get(self, name: str) -> bytes | None:
        """Return a configuration value, or None where it is absent."""
        url = f'{self._configuration_url}/values/{name}'
        return await _fetch(self._reads, url, self._bound_ms)

    async def watch(
        self,
        name: str,
        digest: str,
        bound_ms: clock.Millis,
    ) -> bytes | None:
        """Return a value once it differs, or None when the bound passes."""
        query = f'digest={digest}&wait_ms={int(bound_ms)}'
        url = f'{self._configuration_url}/values/{name}?{query}'
        return await _fetch(self._watches, url, bound_ms + self._bound_ms)

    async def read(self) -> tuple[events.ListedInstance, ...]:
        """Return the listed instances."""
        body = await _fetch(self._reads, self._instances_url, self._bound_ms)
        try:
            entries = msgspec.json.decode(
                body or b'[]',
                type=list[dict[str, typing.Any]],
            )
            return tuple(
                msgspec.convert(
                    [entry.get(name, False) for name in _LISTED_FIELDS],
                    events.ListedInstance,
                )
                for entry in entries
            )
        except msgspec.MsgspecError as error:
            raise PlatformError(f'instance list: {error}') from error

    async def aclose(self) -> None:
        """Close all connections."""
        await self._reads.aclose()
        await self._watches.aclose()


def _create_pool(max_connections: int) -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=max_connections,
        max_keepalive_connections=0,
    )


async def _fetch(
    pool: httpcore.AsyncConnectionPool,
    url: str,
    bound_ms: clock.Millis,
) -> bytes | None:
    try:
        with anyio.fail_after(clock.to_seconds(bound_ms)):
            async with pool.stream('GET', url) as response:
                return await _take(response)
    except TimeoutError as late:
        raise PlatformError('no answer within the bound') from late
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        raise PlatformError(repr(error)) from error


async def _take(response: httpcore.Response) -> bytes | None:
    if response.status == _NOT_FOUND:
        return None
    if response.status != _OK:
        raise PlatformError(f'status {response.status}')
    chunks = []
    size = 0
    async for chunk in response.aiter_stream():
        size += len(chunk)
        if size > MAX_VALUE_BYTES:
            raise PlatformError('value larger than a megabyte')
        chunks.append(chunk)
    return b''.join(chunks)


_LISTED_FIELDS: typing.Final = events.ListedInstance._fields


def create(
    configuration_url: str,
    instances_url: str,
    bound_ms: clock.Millis,
) -> HttpPlatform:
    """Create a reader of the platform over HTTP."""
    return HttpPlatform(configuration_url, instances_url, bound_ms)
