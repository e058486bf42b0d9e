"""Lets connections whose bytes are slow to parse read one after another.

A body in many small pieces takes long to parse. Many connections with such
bodies would otherwise all be read between two turns of the others.
"""

import asyncio
import collections
import typing

MAX_PIECES: typing.Final = 256
"""The most pieces of bodies in one read that take no turn."""

Resume: typing.TypeAlias = typing.Callable[[], None]


class ReadingTurns:
    """The connections that wait for their turn to read, in order."""

    def __init__(self) -> None:
        """Begin without connections."""
        self._waiting: collections.deque[Resume] = collections.deque()
        self._is_scheduled = False

    def wait(self, resume: Resume) -> None:
        """Call ``resume`` after all others that wait, one in each turn."""
        self._waiting.append(resume)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._resume_first)

    def _resume_first(self) -> None:
        self._is_scheduled = False
        self._waiting.popleft()()
        if self._waiting:
            self._schedule()


def create() -> ReadingTurns:
    """Create the turns of the connections of one pool."""
    return ReadingTurns()
