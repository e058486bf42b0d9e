"""Receives the messages of a ZeroMQ socket on the event loop."""

import asyncio
import typing

import zmq

_MESSAGES_BEFORE_YIELD: typing.Final = 16


class MessageReceiver:
    """Receives the messages of one socket; it must be the only receiver.

    The descriptor of a ZeroMQ socket is edge-triggered, so the socket is read
    until it is empty before the next wait.
    """

    def __init__(self, source: 'zmq.Socket[bytes]') -> None:
        """Receive from ``source``."""
        self._source = source
        self._is_readable = asyncio.Event()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._messages_without_wait = 0

    async def receive(self) -> list[bytes]:
        """Return the frames of the next message.

        Yields to the event loop after every 16 messages without a wait.
        """
        if self._loop is None:
            self._loop = asyncio.get_running_loop()
            self._loop.add_reader(self._source.FD, self._is_readable.set)
        while True:
            frames = self._receive_now()
            if frames is None:
                self._messages_without_wait = 0
                await self._is_readable.wait()
                continue
            self._messages_without_wait += 1
            if self._messages_without_wait % _MESSAGES_BEFORE_YIELD == 0:
                await asyncio.sleep(0)
            return frames

    def close(self) -> None:
        """Stop watching the socket, which stays open."""
        if self._loop is not None and not self._loop.is_closed():
            self._loop.remove_reader(self._source.FD)
        self._loop = None

    def _receive_now(self) -> list[bytes] | None:
        self._is_readable.clear()
        try:
            return self._source.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            return None


def create(source: 'zmq.Socket[bytes]') -> MessageReceiver:
    """Create the receiver of a bound socket."""
    return MessageReceiver(source)
