"""Network streams to targets for httpcore, straight on the event loop.

anyio's own stream starts and stops reading for each read, and checks for
cancellation several times a call; on the data path that is most of the
cost. A request is written in one piece, at the first read for its answer.
"""

import asyncio
import ssl
import typing

import anyio
import httpcore


class TargetStream(httpcore.AsyncNetworkStream, asyncio.Protocol):
    """One connection; reads and writes never wait but for the peer."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Wait for the connection to be made on ``loop``."""
        self._loop = loop
        self._unsent: list[bytes] = []
        self._unread: list[bytes] = []
        self._waiter: asyncio.Future[None] | None = None
        self._is_over = False
        self._error: Exception | None = None
        self._transport: asyncio.Transport | None = None

    # The event loop's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, chunk: bytes) -> None:
        """Keep what arrived for the next read."""
        self._unread.append(chunk)
        self._wake()

    def eof_received(self) -> None:
        """Note that nothing more will arrive."""
        self._is_over = True
        self._wake()

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is gone, and why."""
        self._is_over = True
        self._error = error
        self._wake()

    # httpcore's side

    async def read(
        self,
        max_bytes: int,
        timeout: float | None = None,
    ) -> bytes:
        """Return what has arrived, or empty bytes at the end."""
        self._flush()
        if not self._unread and not self._is_over:
            self._waiter = self._loop.create_future()
            await self._waiter
        if self._unread:
            arrived = b''.join(self._unread)
            self._unread.clear()
            return arrived
        if self._error is not None:
            raise httpcore.ReadError(repr(self._error))
        return b''

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Hold bytes back until the answer is read for."""
        self._unsent.append(buffer)

    async def aclose(self) -> None:
        """Close the connection at once; nothing is left to be said."""
        if self._transport is not None:
            self._transport.abort()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Refuse; targets are reached in plain HTTP."""
        raise NotImplementedError('targets are reached in plain HTTP')

    def get_extra_info(self, info: str) -> typing.Any:
        """Return whether something arrived that nobody asked for."""
        if info == 'is_readable':
            return bool(self._unread) or self._is_over
        return None

    def _flush(self) -> None:
        if self._unsent and self._transport is not None:
            self._transport.write(b''.join(self._unsent))
        self._unsent.clear()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class TargetBackend(httpcore.AsyncNetworkBackend):
    """Opens connections to targets."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: typing.Any = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect within ``timeout`` seconds.

        Raises ``httpcore.ConnectError`` or ``httpcore.ConnectTimeout``.
        """
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(timeout):
                _, stream = await loop.create_connection(
                    lambda: TargetStream(loop),
                    host,
                    port,
                )
        except TimeoutError as late:
            raise httpcore.ConnectTimeout(str(late)) from late
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        return stream


def create() -> TargetBackend:
    """Create a backend for httpcore connections."""
    return TargetBackend()
