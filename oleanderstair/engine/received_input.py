"""Keeps the received bytes that have not been parsed yet.

They are parsed in parts that end where a message may end, so that a request
behind another one stays bytes until the answer before it.
"""

import re
import typing

READ_BYTES: typing.Final = 16_384
"""The most that is read from a connection, and parsed, at a time."""

_BLANK_LINE: typing.Final = re.compile(rb'\n\r?\n')
_BLANK_LINE_BYTES: typing.Final = 3
_LINE_ENDS: typing.Final = b'\r\n'


class ReceivedInput:
    """The unparsed bytes of one connection."""

    def __init__(self) -> None:
        """Keep nothing yet."""
        self._received = b''
        # Where the unparsed bytes begin. Some parsed ones stay before, as a
        # blank line may come in two reads.
        self._start = 0

    def __len__(self) -> int:
        """Return how many bytes are unparsed."""
        return len(self._received) - self._start

    def add(self, chunk: bytes) -> None:
        """Keep received bytes."""
        kept_from = max(self._start - _BLANK_LINE_BYTES + 1, 0)
        self._received = self._received[kept_from:] + chunk
        self._start -= kept_from

    def peek(self) -> bytes:
        """Return the unparsed bytes."""
        return self._received[self._start :]

    def clear(self) -> None:
        """Drop the unparsed bytes."""
        self._start = len(self._received)

    def skip_line_ends(self) -> None:
        """Drop line ends between two requests."""
        begins = self.peek().lstrip(_LINE_ENDS)
        self._start = len(self._received) - len(begins)

    def take(self, body_bytes: int | None) -> bytes:
        """Return the unparsed bytes up to where a message may end.

        That is after ``body_bytes`` of a body of known length, after a blank
        line otherwise. A message never ends before the last returned byte.
        """
        end = self._find_end(body_bytes)
        part = self._received[self._start : end]
        self._start = end
        if self._start == len(self._received):
            self._received = self._received[-_BLANK_LINE_BYTES + 1 :]
            self._start = len(self._received)
        return part

    def _find_end(self, body_bytes: int | None) -> int:
        if body_bytes:
            return min(self._start + body_bytes, len(self._received))
        position = max(self._start - _BLANK_LINE_BYTES + 1, 0)
        while found := _BLANK_LINE.search(self._received, position):
            if found.end() > self._start:
                return found.end()
            position = found.start() + 1
        return len(self._received)
