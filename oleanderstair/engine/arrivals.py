"""Awaits the frames that arrive at a ZeroMQ socket."""

import asyncio
import typing

import zmq

_IN_A_ROW: typing.Final = 16


class Arrivals:
    """The frames of one socket, which nothing else may receive from.

    The socket's descriptor tells of a change only once, so that it is read
    until it is empty before anything is awaited.
    """

    def __init__(self, origin: 'zmq.Socket[bytes]') -> None:
        """Receive from ``origin``."""
        self._origin = origin
        self._changed = asyncio.Event()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._row = 0

    async def next(self) -> list[bytes]:
        """Return the frames of the next message."""
        if self._loop is None:
            self._loop = asyncio.get_running_loop()
            self._loop.add_reader(self._origin.FD, self._changed.set)
        while True:
            frames = self._receive()
            if frames is None:
                self._row = 0
                await self._changed.wait()
                continue
            self._row += 1
            if self._row % _IN_A_ROW == 0:
                await asyncio.sleep(0)
            return frames

    def close(self) -> None:
        """Stop watching the socket."""
        if self._loop is not None and not self._loop.is_closed():
            self._loop.remove_reader(self._origin.FD)
        self._loop = None

    def _receive(self) -> list[bytes] | None:
        self._changed.clear()
        try:
            return self._origin.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            return None


def create(origin: 'zmq.Socket[bytes]') -> Arrivals:
    """Create the arrivals of a bound socket."""
    return Arrivals(origin)
