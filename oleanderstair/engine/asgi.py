"""The few pieces of ASGI that the listeners share."""

import typing

import anyio
import msgspec

from oleanderstair import clock

Scope: typing.TypeAlias = typing.MutableMapping[str, typing.Any]
Message: typing.TypeAlias = typing.MutableMapping[str, typing.Any]
Receive: typing.TypeAlias = typing.Callable[[], typing.Awaitable[Message]]
Send: typing.TypeAlias = typing.Callable[[Message], typing.Awaitable[None]]

HeaderList: typing.TypeAlias = list[tuple[bytes, bytes]]


class BodyTooLarge(Exception):
    """The body is larger than its bound."""


class BodyTooSlow(Exception):
    """The body did not arrive within its bound."""


class Disconnected(Exception):
    """The client closed its connection."""


async def read_body(
    receive: Receive,
    max_bytes: int,
    bound_ms: clock.Millis | None,
) -> bytes:
    """Return the whole body; without a bound where all of it has come.

    Raises ``BodyTooLarge``, ``BodyTooSlow`` or ``Disconnected``.
    """
    if bound_ms is None:
        return await _read_whole(receive, max_bytes)
    try:
        with anyio.fail_after(clock.to_seconds(bound_ms)):
            return await _read_whole(receive, max_bytes)
    except TimeoutError as late:
        raise BodyTooSlow from late


async def respond(
    send: Send,
    status: int,
    headers: HeaderList,
    body: bytes,
) -> None:
    """Send a whole response."""
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers},
    )
    await send({'type': 'http.response.body', 'body': body})


async def respond_json(
    send: Send,
    status: int,
    document: object,
    headers: HeaderList | None = None,
) -> None:
    """Send a JSON document."""
    body = msgspec.json.encode(document)
    fields = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
        *(headers or []),
    ]
    await respond(send, status, fields, body)


async def _read_whole(receive: Receive, max_bytes: int) -> bytes:
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise Disconnected
        chunk = message.get('body', b'')
        size += len(chunk)
        if size > max_bytes:
            raise BodyTooLarge
        chunks.append(chunk)
        if not message.get('more_body', False):
            return b''.join(chunks)
