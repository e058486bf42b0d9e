"""ASGI types and helpers that the listeners share."""

import typing

import anyio
import msgspec

from oleanderstair import clock

Scope: typing.TypeAlias = typing.MutableMapping[str, typing.Any]
Message: typing.TypeAlias = typing.MutableMapping[str, typing.Any]
Receive: typing.TypeAlias = typing.Callable[[], typing.Awaitable[Message]]
GrowBody: typing.TypeAlias = typing.Callable[[int], bool]
"""Return whether the body may grow to a size."""

Send: typing.TypeAlias = typing.Callable[[Message], typing.Awaitable[None]]

HeaderList: typing.TypeAlias = list[tuple[bytes, bytes]]


class BodyTooLarge(Exception):
    """The body is larger than the maximum size."""


class BodyNotHeld(Exception):
    """The body did not fit into the memory for bodies."""


class BodyTooSlow(Exception):
    """The body did not arrive within the timeout."""


class Disconnected(Exception):
    """The client closed its connection before the body was complete."""


async def read_body(
    receive: Receive,
    max_bytes: int,
    bound_ms: clock.Millis | None,
    may_grow: GrowBody | None = None,
) -> bytes:
    """Return the whole body.

    ``bound_ms`` is the timeout. None means no timeout; it is for requests that
    have arrived completely. Raises ``BodyTooLarge``, ``BodyNotHeld``,
    ``BodyTooSlow`` or ``Disconnected``.
    """
    if bound_ms is None:
        return await _read_to_end(receive, max_bytes, may_grow)
    try:
        with anyio.fail_after(clock.to_seconds(bound_ms)):
            return await _read_to_end(receive, max_bytes, may_grow)
    except TimeoutError as error:
        raise BodyTooSlow from error


async def respond(
    send: Send,
    status: int,
    headers: HeaderList,
    body: bytes,
) -> None:
    """Send a complete response."""
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
    """Send a complete response with a JSON body."""
    body = msgspec.json.encode(document)
    fields = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
        *(headers or []),
    ]
    await respond(send, status, fields, body)


async def _read_to_end(
    receive: Receive, max_bytes: int, may_grow: GrowBody | None
) -> bytes:
    body = bytearray()
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise Disconnected
        chunk = message.get('body', b'')
        _check_size(len(body) + len(chunk), max_bytes, may_grow)
        # Pieces of one byte that are kept apart take a hundred times as much.
        body += chunk
        if not message.get('more_body', False):
            return bytes(body)


def _check_size(size: int, max_bytes: int, may_grow: GrowBody | None) -> None:
    if size > max_bytes:
        raise BodyTooLarge
    if may_grow is not None and not may_grow(size):
        raise BodyNotHeld
