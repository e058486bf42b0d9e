"""Writes the head of an answer together with the first part of its body."""

import asyncio
import typing

if typing.TYPE_CHECKING:
    from uvicorn.protocols.http import httptools_impl

_INTERIM_PREFIX: typing.Final = b'HTTP/1.1 1'
_MAX_JOINED_BYTES: typing.Final = 65536
"""Maximum size of a body that is copied to write it together with its head."""


class JoiningTransport:
    """The transport of one answer; holds the head until the first body part.

    Uvicorn writes the two separately, which costs a system call each.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        on_write: typing.Callable[[int], None],
        on_response: typing.Callable[[], None],
        on_close: typing.Callable[[], None],
    ) -> None:
        """Write to ``transport`` and call ``on_write`` with each size.

        ``on_response`` is called once the answer is complete, ``on_close`` in
        place of a close.
        """
        self._transport = transport
        self._on_close = on_close
        self._on_write = on_write
        self._on_response = on_response
        self._head: bytes | None = None
        self._has_received_head = False

    def write(self, chunk: bytes) -> None:
        """Write a part of the answer, or keep its head."""
        is_head = not self._has_received_head and not chunk.startswith(
            _INTERIM_PREFIX
        )
        if is_head:
            self._has_received_head = True
            self._head = chunk
        elif self._head is not None and len(chunk) <= _MAX_JOINED_BYTES:
            chunk = self._head + chunk
            self._head = None
            self._write(chunk)
        else:
            self._flush()
            self._write(chunk)

    def close(self) -> None:
        """Write the head if it is still kept, then close."""
        self._flush()
        self._on_close()

    def is_closing(self) -> bool:
        """Return whether the connection is closing."""
        return self._transport.is_closing()

    def complete_response(self) -> None:
        """Complete an answer; write its head if it had no body."""
        self._flush()
        self._on_response()

    def _flush(self) -> None:
        if self._head is not None:
            self._write(self._head)
            self._head = None

    def _write(self, chunk: bytes) -> None:
        self._transport.write(chunk)
        self._on_write(len(chunk))


def join(
    cycle: 'httptools_impl.RequestResponseCycle',
    on_write: typing.Callable[[int], None],
    on_close: typing.Callable[[], None],
) -> None:
    """Join the writes of one request's answer.

    ``on_write`` is called with each size, and ``on_close`` in place of the
    close of the connection.
    """
    joined = JoiningTransport(
        cycle.transport, on_write, cycle.on_response, on_close
    )
    cycle.transport = typing.cast(asyncio.Transport, joined)
    cycle.on_response = joined.complete_response
    if cycle.waiting_for_100_continue:
        _close_without_body(cycle)


def _close_without_body(cycle: 'httptools_impl.RequestResponseCycle') -> None:
    """Close after an answer whose client still waits to send the body.

    It may send the next request instead, which would be read as the body.
    """
    send = cycle.send

    async def send_or_close(message: typing.Any) -> None:
        if cycle.waiting_for_100_continue and cycle.more_body:
            cycle.keep_alive = False
        await send(message)

    cycle.send = send_or_close  # type: ignore[method-assign]
