"""Clients, as PROTOCOL.md has them."""

import asyncio
import secrets
import time
import typing

from . import http1


class Answer(typing.NamedTuple):
    """How a client attempt ended; a status of 0 means without an answer."""

    request_id: str
    sent_s: float
    ended_s: float
    status: int
    fields: dict[str, str]
    body: bytes
    why: str = ''


class Connection:
    """A connection of a client, kept for its next request."""

    def __init__(self, address: str, bytes_per_s: int = 0) -> None:
        """Connect to ``address`` at the first request.

        Bodies are sent at ``bytes_per_s``, 0 for as fast as possible.
        """
        self._bytes_per_s = bytes_per_s
        self.address = address
        self.uses = 0
        self._streams: tuple | None = None

    async def request(
        self,
        method: str,
        host: str,
        path: str,
        deadline_ms: int,
        body: bytes = b'',
        fields: dict[str, str] | None = None,
    ) -> Answer:
        """Send one request and wait for its answer until its deadline."""
        request_id = secrets.token_hex(8)
        sent_s = time.monotonic()
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                answer = await self._exchange(
                    method,
                    path,
                    {
                        'Host': host,
                        'Request-Id': request_id,
                        'Deadline-Ms': str(deadline_ms),
                        **(fields or {}),
                    },
                    body,
                )
        except (ConnectionError, OSError, EOFError, TimeoutError) as error:
            self.close()
            return Answer(
                request_id, sent_s, time.monotonic(), 0, {}, b'', repr(error)
            )
        if answer.fields.get('connection', '').lower() == 'close':
            self.close()
        return Answer(
            request_id,
            sent_s,
            time.monotonic(),
            answer.status,
            answer.fields,
            answer.body,
        )

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None
        self.uses = 0

    async def _exchange(
        self, method: str, path: str, fields: dict[str, str], body: bytes
    ) -> http1.Message:
        if self._streams is None:
            host, _, port = self.address.rpartition(':')
            self._streams = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), 1
            )
        reader, writer = self._streams
        self.uses += 1
        await self._send(
            writer, http1.encode(f'{method} {path} HTTP/1.1', fields, body)
        )
        head = await http1.read_head(reader)
        if head is None:
            raise ConnectionError('closed without an answer')
        return head._replace(body=await http1.read_body(reader, head))


    async def _send(
        self, writer: asyncio.StreamWriter, message: bytes
    ) -> None:
        piece = self._bytes_per_s // 20 or len(message)
        view = memoryview(message)
        for start in range(0, len(message), piece):
            writer.write(view[start : start + piece])
            await writer.drain()
            if self._bytes_per_s:
                await asyncio.sleep(piece / self._bytes_per_s)


async def get_status(address: str, path: str) -> int:
    """Return the status of a GET, 0 if there is no answer."""
    connection = Connection(address)
    answer = await connection.request('GET', address, path, 1000)
    connection.close()
    return answer.status
