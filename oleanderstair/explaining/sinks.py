"""Writes lines without ever waiting for whoever reads them."""

import collections
import os
import select
import typing

_LONGEST_WRITE: typing.Final = 4096
"""Bytes that a pipe which can be written to takes without blocking."""

HELD_BYTES: typing.Final = 262_144
"""Bytes of lines that wait for a slow reader; more are dropped."""


class Sink(typing.Protocol):
    """Take lines; what can't be written is counted."""

    dropped: int

    def put(self, line: str) -> None:
        """Take one line, or drop it and count it."""

    def flush(self) -> None:
        """Write what can be written now."""


class DescriptorSink:
    """Lines that go to a file descriptor."""

    def __init__(self, descriptor: int, held_bytes: int = HELD_BYTES) -> None:
        """Write to ``descriptor``; hold at most ``held_bytes``."""
        self.dropped = 0
        self._descriptor = descriptor
        self._most = held_bytes
        self._held = 0
        self._chunks: collections.deque[bytes] = collections.deque()

    def put(self, line: str) -> None:
        """Take one line, or drop it and count it."""
        encoded = f'{line}\n'.encode('ascii', 'backslashreplace')
        if self._held + len(encoded) > self._most:
            self.dropped += 1
            return
        self._held += len(encoded)
        self._chunks.append(encoded)

    def flush(self) -> None:
        """Write what can be written now."""
        while self._chunks and self._is_writable():
            chunk = self._next_chunk()
            try:
                written = os.write(self._descriptor, chunk)
            except OSError:
                # Nobody reads any more; what was held is lost, and counted.
                self._drop_all()
                return
            if written < len(chunk):
                self._chunks.appendleft(chunk[written:])
            self._held -= written

    def _is_writable(self) -> bool:
        _, writable, _ = select.select([], [self._descriptor], [], 0)
        return bool(writable)

    def _next_chunk(self) -> bytes:
        chunk = self._chunks.popleft()
        while self._chunks:
            if len(chunk) + len(self._chunks[0]) > _LONGEST_WRITE:
                break
            chunk += self._chunks.popleft()
        return chunk[:_LONGEST_WRITE]

    def _drop_all(self) -> None:
        self.dropped += len(self._chunks) + 1
        self._chunks.clear()
        self._held = 0


class NoSink:
    """Nothing is written, and nothing counts as dropped."""

    dropped = 0

    def put(self, line: str) -> None:
        """Take one line and forget it."""

    def flush(self) -> None:
        """Do nothing."""


class ListSink:
    """Lines that stay in memory, for tests and measurements."""

    def __init__(self) -> None:
        """Start without lines."""
        self.dropped = 0
        self.lines: list[str] = []

    def put(self, line: str) -> None:
        """Keep one line."""
        self.lines.append(line)

    def flush(self) -> None:
        """Do nothing; all lines are kept."""


def to_descriptor(descriptor: int) -> DescriptorSink:
    """Create a sink that writes to a file descriptor."""
    return DescriptorSink(descriptor)
