"""Clients outside of what callers do: they send much and read nothing.

None of their requests can run: they aren't complete, or no route takes them.
"""

import contextlib
import socket
import typing

import anyio

from oleanderstair.emulator import published

_CLIENTS: typing.Final = 60
_RECEIVE_BYTES: typing.Final = 4096
_AHEAD: typing.Final = 3000
_BODY_BYTES: typing.Final = 90_000
_SHORT_LINES: typing.Final = b'a:\r\n' * 3900
_HOST_LINE: typing.Final = f'Host: {published.HOST}\r\n'.encode()
_SENT_BY_HABIT: typing.Final = (
    b'GET /none/a HTTP/1.1\r\n%b%b' % (_HOST_LINE, _SHORT_LINES),
    b'GET /none/a HTTP/1.1\r\n%b%b\r\n' % (_HOST_LINE, _SHORT_LINES),
    b'POST /order/a HTTP/1.1\r\n%bContent-Length: %d\r\n\r\n%b'
    % (_HOST_LINE, _BODY_BYTES, b'x' * (_BODY_BYTES - 1)),
    b'GET /none/a HTTP/1.1\r\n\r\n' * _AHEAD,
)
"""What a client sends: a head that doesn't end, one of legal size, a body
without its end, and requests whose answers it doesn't read."""


async def crowd(address: str, span_s: float) -> None:
    """Send to ``address`` on many connections and keep them for a while."""
    host, _, port = address.rpartition(':')
    async with anyio.create_task_group() as tasks:
        for number in range(_CLIENTS):
            sent = _SENT_BY_HABIT[number % len(_SENT_BY_HABIT)]
            tasks.start_soon(_keep_sending, (host, int(port)), sent)
        await anyio.sleep(span_s)
        tasks.cancel_scope.cancel()


async def _keep_sending(address: tuple[str, int], sent: bytes) -> None:
    """Send on a connection and keep it until cancelled."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
    client.setblocking(False)
    with contextlib.closing(client), contextlib.suppress(OSError):
        with contextlib.suppress(BlockingIOError):
            client.connect(address)
        unsent = memoryview(sent)
        while unsent:
            await anyio.wait_writable(client)
            unsent = unsent[client.send(unsent) :]
        await anyio.sleep_forever()
