"""Clients that send without reading, and keep their connections open."""

import asyncio
import contextlib
import socket
import typing

import anyio

_RECEIVE_BYTES = 4096
_WAIT_S = 0.02


class Crowd:
    """Connections to one address that stay open until the end of a block."""

    def __init__(self, address: str) -> None:
        """Connect to ``address`` later."""
        host, _, port = address.rpartition(':')
        self._address = (host, int(port))
        self._sockets: list[socket.socket] = []

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *details: object) -> None:
        for client in self._sockets:
            client.close()

    async def send_on_each(
        self, pieces_of: typing.Callable[[int], list[bytes]], count: int
    ) -> None:
        """Send the pieces of each client's number on a connection of its own.

        A client ends its sending where its connection is closed.
        """
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                client = await self._connect()
                if client is not None:
                    tasks.start_soon(self._send, client, pieces_of(number))

    async def send_ahead(
        self, request: bytes, total_bytes: int, may_go_on: typing.Any
    ) -> None:
        """Repeat a request on a new connection up to a size, reading nothing.

        It ends early if the connection takes no bytes for a while, or if
        ``may_go_on`` returns False.
        """
        client = await self._connect()
        if client is None:
            return
        chunk = request * (65536 // len(request))
        sent_bytes = 0
        while sent_bytes < total_bytes and may_go_on():
            if not await self._send_within(client, chunk, 2):
                return
            sent_bytes += len(chunk)

    async def _connect(self) -> socket.socket | None:
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
        client.setblocking(False)
        self._sockets.append(client)
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError), anyio.fail_after(5):
            await loop.sock_connect(client, self._address)
            return client
        return None

    async def _send(self, client: socket.socket, pieces: list[bytes]) -> None:
        for piece in pieces:
            if not await self._send_within(client, piece, 10):
                return
            await anyio.sleep(_WAIT_S)

    async def _send_within(
        self, client: socket.socket, piece: bytes, bound_s: float
    ) -> bool:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            with anyio.fail_after(bound_s):
                await loop.sock_sendall(client, piece)
            return True
        return False
