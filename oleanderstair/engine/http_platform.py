"""Reads configuration values and the instance list over HTTP."""

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


class ConfigurationService(typing.Protocol):
    """A read-only client of the configuration service."""

    async def get(self, name: str) -> bytes | None:
        """Return a value, or None if it does not exist.

        Raises ``PlatformError`` if the service fails.
        """

    async def watch(
        self,
        name: str,
        digest: str,
        bound_ms: clock.Millis,
    ) -> bytes | None:
        """Return the value once its digest differs from ``digest``.

        Returns None if ``bound_ms`` passes without a change, and also if the
        value does not exist. Raises ``PlatformError`` if the service fails.
        """


class InstanceList(typing.Protocol):
    """A client of the platform's instance list, which may be out of date."""

    async def read(self) -> tuple[events.ListedInstance, ...]:
        """Return the listed instances.

        Raises ``PlatformError`` if the platform fails.
        """


class PlatformError(Exception):
    """The platform failed or its answer is invalid."""


class HttpPlatformReader:
    """Reads the platform over HTTP/1.1, each read within a timeout.

    Each read opens a new connection: the loss of an idle one may go undetected,
    and reads are rare. Watches have a connection pool of their own, so that
    they never block reads.
    """

    def __init__(
        self,
        configuration_url: str,
        instances_url: str,
        bound_ms: clock.Millis,
    ) -> None:
        """Read from the given URLs with a timeout of ``bound_ms`` per read."""
        self._configuration_url = configuration_url
        self._instances_url = instances_url
        self._bound_ms = bound_ms
        self._reads = _create_pool(_READ_CONNECTIONS)
        self._watches = _create_pool(_WATCH_CONNECTIONS)

    async def get(self, name: str) -> bytes | None:
        """Return a configuration value, or None if it does not exist."""
        url = f'{self._configuration_url}/values/{name}'
        return await _fetch(self._reads, url, self._bound_ms)

    async def watch(
        self,
        name: str,
        digest: str,
        bound_ms: clock.Millis,
    ) -> bytes | None:
        """Return a value once its digest differs from ``digest``.

        Returns None if ``bound_ms`` passes first or the value does not exist.
        """
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
                    [
                        entry.get(name, False)
                        for name in _LISTED_INSTANCE_FIELDS
                    ],
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
                return await _read_body(response)
    except TimeoutError as error:
        raise PlatformError('no answer within the timeout') from error
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        raise PlatformError(repr(error)) from error


async def _read_body(response: httpcore.Response) -> bytes | None:
    if response.status == _NOT_FOUND:
        return None
    if response.status != _OK:
        raise PlatformError(f'status {response.status}')
    chunks = []
    size = 0
    async for chunk in response.aiter_stream():
        size += len(chunk)
        if size > MAX_VALUE_BYTES:
            raise PlatformError('body larger than a megabyte')
        chunks.append(chunk)
    return b''.join(chunks)


_LISTED_INSTANCE_FIELDS: typing.Final = events.ListedInstance._fields


def create(
    configuration_url: str,
    instances_url: str,
    bound_ms: clock.Millis,
) -> HttpPlatformReader:
    """Create a client of the platform over HTTP."""
    return HttpPlatformReader(configuration_url, instances_url, bound_ms)
