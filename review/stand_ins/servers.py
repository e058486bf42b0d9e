"""Servers of a service, as PROTOCOL.md has them.

A server runs ``slots`` requests at a time, answers 421 to a request for another
instance and 503 with Not-Executed while it is full, and tells its load.
"""

import asyncio
import contextlib
import secrets
import socket
import struct
import time
import typing

from . import http1, store

HEARTBEAT_S = 1.5

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Ran(typing.NamedTuple):
    """A request that a server began to work on."""

    at_s: float
    server_id: str
    request_id: str
    line: str
    deadline_ms: int


Work = typing.Callable[['Server', http1.Message], typing.Awaitable[tuple[int, bytes]]]
"""Runs a request; returns the status and the body of its answer."""


class Server:
    """One server; ``work`` runs its requests.

    ``read_bytes_per_s`` bounds how fast it reads bodies, 0 for no bound, and
    ``receive_bytes`` sets the buffer of its connections, 0 for the usual one.
    """

    def __init__(
        self,
        platform_store: store.Store,
        host: str,
        service: str,
        zone: str,
        work: Work,
        on_run: typing.Callable[[Ran], None],
        slots: int = 4,
    ) -> None:
        """Describe a server, which ``start`` starts."""
        self.store = platform_store
        self.host = host
        self.service = service
        self.zone = zone
        self.work = work
        self.on_run = on_run
        self.slots = slots
        self.server_id = ''
        self.address = ''
        self.running = 0
        self.read_bytes_per_s = 0
        self.receive_bytes = 0
        self.version = 1
        self.is_leaving = False
        self._born_ms = 0
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, server_id: str = '') -> None:
        """Start a new incarnation, with a new id if none is given."""
        self.server_id = server_id or f'i-{secrets.token_hex(4)}'
        self._born_ms = time.time_ns() // 1_000_000
        self._listener = await asyncio.start_server(
            self._accept, sock=self._bind(), limit=http1.MAX_HEAD_BYTES
        )
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f'{self.host}:{port}'
        # Later beats change only the sequence, and so not the entry.
        self._register('ready', 1)

    async def drain(self, serves_s: float) -> None:
        """Leave as planned: report it, serve on for a while, then end."""
        self.is_leaving = True
        self._register('leaving', 2)
        await asyncio.sleep(serves_s)
        self.store.remove(f'servers/{self.server_id}')
        self._listener.close()
        for writer in tuple(self._writers):
            writer.close()

    def _register(self, state: str, sequence: int) -> None:
        self.store.put(
            f'servers/{self.server_id}',
            {
                'service': self.service,
                'address': self.address,
                'data_centre': self.zone,
                'number': f'v{self.version}',
                'slots': self.slots,
                'state': state,
                'slow_ms': 0,
                'sequence': sequence,
                'born': self._born_ms,
            },
        )

    def _bind(self) -> socket.socket:
        bound = socket.socket()
        if self.receive_bytes:
            bound.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_bytes
            )
        bound.bind((self.host, 0))
        return bound

    def crash(self, *, resets: bool) -> None:
        """End as a killed process does.

        The kernel closes its connections; with ``resets`` it resets them, as
        it does where input is still unread.
        """
        self._listener.close()
        for writer in tuple(self._writers):
            if resets:
                writer.get_extra_info('socket').setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            writer.transport.abort()
        self._writers.clear()
        self.running = 0

    async def expire(self, server_id: str) -> None:
        """Let the entry of a crashed incarnation run out of the store."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.remove(f'servers/{server_id}')

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The cancellation at the end of a case is no error to be logged.
        with contextlib.suppress(asyncio.CancelledError):
            await self._serve(reader, writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await http1.read_head(reader)
                if head is None:
                    return
                answer = await self._answer(reader, head)
                if writer.transport.is_closing():
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, head: http1.Message
    ) -> bytes:
        method, target, _ = head.first.split(' ')
        if target == '/health':
            return self._encode(503 if self.is_leaving else 200, head)
        if head.fields.get('target-instance', self.server_id) != self.server_id:
            await self._read_body(reader, head)
            return self._encode(421, head)
        if self.running >= self.slots:
            await self._read_body(reader, head)
            return self._encode(503, head, refused=True)
        self.running += 1
        try:
            body = await self._read_body(reader, head)
            self.on_run(
                Ran(
                    time.monotonic(),
                    self.server_id,
                    head.fields.get('request-id', ''),
                    f'{method} {target}',
                    int(head.fields.get('deadline-ms', '0')),
                )
            )
            status, answer = await self.work(self, head._replace(body=body))
        finally:
            self.running = max(self.running - 1, 0)
        return self._encode(status, head, answer, signed=True)

    async def _read_body(
        self, reader: asyncio.StreamReader, head: http1.Message
    ) -> bytes:
        if not self.read_bytes_per_s:
            return await http1.read_body(reader, head)
        left = int(head.fields.get('content-length', '0'))
        piece = max(self.read_bytes_per_s // 20, 1)
        while left > 0:
            chunk = await reader.read(min(piece, left))
            if not chunk:
                raise ConnectionError('the body is cut short')
            left -= len(chunk)
            await asyncio.sleep(len(chunk) / self.read_bytes_per_s)
        return b''

    def _encode(
        self,
        status: int,
        head: http1.Message,
        body: bytes = b'',
        *,
        refused: bool = False,
        signed: bool = False,
    ) -> bytes:
        fields = {
            'Instance-Id': self.server_id,
            'Server-Load': f'{self.running},0,{self.slots},100',
        }
        if self.is_leaving:
            fields['Server-Leaving'] = '1'
        if 'request-id' in head.fields:
            fields['Request-Id'] = head.fields['request-id']
        if refused:
            fields['Not-Executed'] = '1'
        if signed:
            fields['Server-Signature'] = f'{self.server_id}.{len(body)}'
        return http1.encode(f'HTTP/1.1 {status} Status', fields, body)
