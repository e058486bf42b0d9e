"""TCP servers and clients that send exactly the bytes of a test."""

import asyncio
import contextlib
import socket
import typing

import anyio
import anyio.abc

Reply = bytes | None


class RawTarget:
    """Answers each request with the next scripted bytes, then closes.

    A reply of None means no answer, and ``RESET`` a connection reset. With
    ``kept``, the connection stays open after an answer.
    """

    def __init__(self, *replies: Reply, kept: bool = False) -> None:
        self.replies = list(replies)
        self.kept = kept
        self.requests: list[bytes] = []
        self.connections = 0
        self.closed = 0
        self.address = ''

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        self.connections += 1
        try:
            await self._converse(stream)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            self.closed += 1

    async def _converse(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            while True:
                await self._answer_next(stream)
                if not self.kept:
                    return

    async def _answer_next(self, stream: anyio.abc.SocketStream) -> None:
        self.requests.append(await read_request(stream))
        reply = self.replies.pop(0)
        if reply is None:
            await stream.receive()
        elif reply == RESET:
            _reset_on_close(stream)
            await stream.aclose()
            raise anyio.EndOfStream
        else:
            await stream.send(reply)


RESET = b'reset'
_LINGER = b'\1\0\0\0\0\0\0\0'


@contextlib.asynccontextmanager
async def running(target: RawTarget) -> typing.AsyncIterator[RawTarget]:
    """Serve ``target`` on a free loopback port."""
    async with await anyio.create_tcp_listener(
        local_host='127.0.0.1',
    ) as listener:
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        target.address = f'127.0.0.1:{port}'
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, target.serve)
            yield target
            tasks.cancel_scope.cancel()


async def send_and_receive(address: str, *pieces: bytes) -> bytes:
    """Send pieces one by one and return all bytes received until the close."""
    host, _, port = address.rpartition(':')
    async with await anyio.connect_tcp(host, int(port)) as stream:
        with contextlib.suppress(anyio.BrokenResourceError):
            for piece in pieces:
                await stream.send(piece)
        return await receive_all(stream)


async def receive_all(stream: anyio.abc.SocketStream) -> bytes:
    """Return all bytes received until the close."""
    received = b''
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            received += await stream.receive()
    return received


async def read_request(stream: anyio.abc.SocketStream) -> bytes:
    request = b''
    while b'\r\n\r\n' not in request:
        request += await stream.receive()
    return request


def _reset_on_close(stream: anyio.abc.SocketStream) -> None:
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)


class SlowReader:
    """A client that reads only what it is told to, from small buffers."""

    def __init__(self, address: str, receive_bytes: int = 65536) -> None:
        """Connect to ``address``; ``receive_bytes`` is for the kernel."""
        host, _, port = address.rpartition(':')
        self._socket = socket.socket()
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
        )
        self._socket.connect((host, int(port)))
        self._socket.setblocking(False)
        self._loop = asyncio.get_running_loop()

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *details: object) -> None:
        self._socket.close()

    async def send(self, request: bytes) -> None:
        """Send a whole request."""
        await self._loop.sock_sendall(self._socket, request)

    async def read(self, size: int) -> int:
        """Read ``size`` bytes; return fewer only if the connection ends."""
        found = 0
        while found < size:
            try:
                chunk = await self._loop.sock_recv(self._socket, size - found)
            except ConnectionResetError:
                break
            if not chunk:
                break
            found += len(chunk)
        return found

    def close_sending(self) -> None:
        """Close the sending side."""
        self._socket.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Reset the connection."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)
        self._socket.close()

    async def read_head(self) -> bytes:
        """Read up to the empty line after a head."""
        head = b''
        while not head.endswith(b'\r\n\r\n'):
            chunk = await self._loop.sock_recv(self._socket, 1)
            if not chunk:
                break
            head += chunk
        return head
