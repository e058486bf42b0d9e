"""Clients: one request each, with everything that came back."""

import asyncio
import contextlib
import time
import typing

from review.stage import platform


class Answer(typing.NamedTuple):
    """What a client got; ``status`` is 0 without a complete answer."""

    status: int
    fields: platform.Fields
    body_bytes: int
    took_s: float
    why: str = ''


def encode_request(
    target: str,
    request_id: str,
    deadline_ms: int,
    method: str = 'GET',
    body: bytes = b'',
    host: str = platform.SERVICE_HOST,
) -> bytes:
    """Return the bytes of a request with the usual header lines."""
    lines = [
        f'{method} {target} HTTP/1.1',
        f'Host: {host}',
        f'Request-Id: {request_id}',
        f'Deadline-Ms: {deadline_ms}',
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


async def connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to ``host:port``."""
    host, _, port = address.rpartition(':')
    return await asyncio.open_connection(host, int(port))


async def read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, platform.Fields, int] | None:
    """Return status, fields and body size of an answer; None if cut short."""
    head = await platform.read_head(reader)
    if head is None:
        return None
    size = int(head[1].get('content-length', '0'))
    try:
        body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return int(head[0].split(' ')[1]), head[1], len(body)


async def ask(address: str, request: bytes, wait_s: float) -> Answer:
    """Send a request on a new connection and wait ``wait_s`` for its answer."""
    began_s = time.monotonic()
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await connect(address)
            writer.write(request)
            answer = await read_answer(reader)
    except TimeoutError:
        return Answer(0, {}, 0, time.monotonic() - began_s, 'no answer in time')
    except OSError as error:
        return Answer(0, {}, 0, time.monotonic() - began_s, repr(error))
    finally:
        if writer is not None:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()
    took_s = time.monotonic() - began_s
    if answer is None:
        return Answer(0, {}, 0, took_s, 'the connection ended')
    return Answer(*answer, took_s)


async def wait_until_ready(address: str, bound_s: float) -> bool:
    """Wait until the readiness address answers 200."""
    until_s = time.monotonic() + bound_s
    request = b'GET /-/ready HTTP/1.1\r\nHost: platform\r\n\r\n'
    while time.monotonic() < until_s:
        if (await ask(address, request, 1)).status == 200:
            return True
        await asyncio.sleep(0.1)
    return False
