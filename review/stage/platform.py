"""The platform's store and the servers, as small asyncio programs.

They speak what PROTOCOL.md says, with the names of deploy/wire.toml.
"""

import asyncio
import base64
import contextlib
import json
import time
import typing
import urllib.parse

HOST = '127.0.0.1'
SERVICE_HOST = 'ficu95.example'

Fields: typing.TypeAlias = dict[str, str]


class Request(typing.NamedTuple):
    """A request as it was read."""

    method: str
    target: str
    fields: Fields
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Fields] | None:
    """Return the first line and the fields of a message, None at its end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    pairs = (line.partition(':') for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection; None at its end.

    The instances send bodies with a length only.
    """
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(' ')
    size = int(head[1].get('content-length', '0'))
    try:
        body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, head[1], body)


def encode_answer(
    status: int, fields: typing.Sequence[tuple[str, str]], body: bytes
) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} x', f'Content-Length: {len(body)}']
    lines.extend(f'{name}: {value}' for name, value in fields)
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


class Store:
    """The store: items, revisions, pages and watches."""

    def __init__(self) -> None:
        """Hold nothing yet."""
        self.address = ''
        self._item_by_key: dict[str, dict[str, typing.Any]] = {}
        self._history: list[dict[str, typing.Any]] = []
        self._revision = 1
        self._changed = asyncio.Event()

    async def listen(self) -> None:
        """Listen at a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def put(self, key: str, document: object) -> None:
        """Write an item."""
        self._revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        item = {'key': key, 'value': value, 'revision': self._revision}
        self._item_by_key[key] = item
        self._note_change(item)

    def _note_change(self, event: dict[str, typing.Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                document = await self._answer(request)
                writer.write(
                    encode_answer(
                        200 if document is not None else 404,
                        [
                            ('Content-Type', 'application/json'),
                            ('Store-Era', '1'),
                        ],
                        json.dumps(document).encode(),
                    )
                )
                await writer.drain()
        writer.close()

    async def _answer(self, request: Request) -> typing.Any:
        path, _, query_text = request.target.partition('?')
        query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
        prefix = query.get('prefix', '')
        if path == '/-/kv-range':
            held = [
                item
                for key, item in sorted(self._item_by_key.items())
                if key.startswith(prefix) and key > query.get('after', '')
            ]
            return {
                'items': held[:500],
                'has_more': len(held) > 500,
                'at_revision': self._revision,
            }
        if path == '/-/kv-watch':
            return await self._watch(
                prefix, int(query['after']), int(query['wait_ms']) / 1000
            )
        return None

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> dict[str, typing.Any]:
        until_s = time.monotonic() + wait_s
        while True:
            events = [
                event
                for event in self._history
                if event['revision'] > after and event['key'].startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return {'events': events, 'at_revision': self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class Ran(typing.NamedTuple):
    """A request that a server ran."""

    at_s: float
    request_id: str
    server_id: str
    target: str


class Server:
    """A sound server that runs each request for a while.

    ``answer_bytes_of`` returns the size of the answer to a request.
    """

    def __init__(
        self,
        server_id: str,
        slots: int = 6,
        work_s: float = 0.02,
        answer_bytes_of: typing.Callable[[Request], int] = lambda request: 400,
    ) -> None:
        """Run nothing yet."""
        self.server_id = server_id
        self.slots = slots
        self.work_s = work_s
        self.address = ''
        self.ran: list[Ran] = []
        self.running = 0
        self._answer_bytes_of = answer_bytes_of

    async def listen(self) -> None:
        """Listen at a free port."""
        server = await asyncio.start_server(
            self._serve, HOST, 0, limit=1_000_000
        )
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def entry(self, service: str, zone: str = 'latacunga') -> dict[str, object]:
        """Return what the server registers in the store."""
        return {
            'service': service,
            'address': self.address,
            'data_centre': zone,
            'number': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'sequence': 1,
            'slow_ms': 0,
            'born': int(time.time() * 1000) - 60_000,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        writer.close()

    async def _answer(self, request: Request) -> bytes:
        load = ('Server-Load', f'{self.running},0,{self.slots},100')
        own = ('Instance-Id', self.server_id)
        keep = ('Keep-Alive', 'timeout=10')
        if request.target == '/health':
            return encode_answer(200, [load, own, keep], b'')
        request_id = request.fields.get('request-id', '')
        told = [('Request-Id', request_id), load, own, keep]
        wanted = request.fields.get('target-instance', self.server_id)
        if wanted != self.server_id:
            return encode_answer(421, told, b'')
        if self.running >= self.slots:
            return encode_answer(503, [*told, ('Not-Executed', '1')], b'')
        self.ran.append(
            Ran(time.monotonic(), request_id, self.server_id, request.target)
        )
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        body = b'.' * self._answer_bytes_of(request)
        signature = ('Server-Signature', f'{self.server_id}.{len(body)}')
        return encode_answer(200, [*told, signature], body)


def route(name: str, kind: str, service: str, **fields: object) -> object:
    """Return a route of ``SERVICE_HOST`` below ``/NAME/``."""
    return {
        'name': name,
        'host': SERVICE_HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 2000,
        'aim_ms': 600,
        'rank': 2,
        'max_attempts': 2,
        'service': service,
        **fields,
    }


def configuration(
    number: int, routes: typing.Sequence[object], services: typing.Sequence[str]
) -> object:
    """Return a configuration, with the limits that ``fleetbench wire`` shows.

    Bodies may have a megabyte.
    """
    return {
        'number': number,
        'routes': list(routes),
        'services': [
            {'name': name, 'health_path': '/health', 'connections': 300}
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1_048_576,
            'header_time_ms': 3000,
            'idle_ms': 15000,
        },
    }
