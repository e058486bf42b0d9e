"""Counts what a connection holds of requests, in the ledger of its listener."""

import asyncio
import typing

from oleanderstair.domain import byte_budgets
from oleanderstair.engine import byte_ledger, received_input

_LINE_END: typing.Final = b'\n'
_MS_PER_S: typing.Final = 1000


class HeldInput:
    """The unparsed bytes, the parsed head and the body of one connection.

    ``received_at_s`` is the time of the last input, by the event loop.
    """

    def __init__(
        self,
        sender: byte_ledger.RequestSender,
        ledger: byte_ledger.ByteLedger | None,
    ) -> None:
        """Count for ``sender`` in ``ledger``; without one, count nothing."""
        self.unparsed = received_input.ReceivedInput()
        self.body: byte_ledger.Holding | None = None
        self._sender = sender
        self._ledger = ledger
        self._loop = asyncio.get_running_loop()
        self.received_at_s = self._loop.time()
        self._head_bytes = 0

    def add(self, chunk: bytes) -> None:
        """Keep received bytes."""
        self.received_at_s = self._loop.time()
        self.unparsed.add(chunk)

    def take_head(self, part: bytes) -> byte_ledger.Refusal | None:
        """Count a part of a head before it is parsed, or refuse it."""
        self._head_bytes += byte_budgets.head_bytes(
            len(part), part.count(_LINE_END)
        )
        return self.hold()

    def hold(self) -> byte_ledger.Refusal | None:
        """Count what is kept now, or return why it doesn't fit."""
        if self._ledger is None:
            return None
        return self._ledger.hold_input(self._sender, self._size())

    def release_head(self) -> None:
        """Count a head no more, as its request has been answered."""
        self._head_bytes = 0

    def release(self, is_unfinished: bool) -> None:
        """Count only what is still kept.

        ``is_unfinished`` is whether a request is incomplete or unparsed, so
        that it can be refused for others.
        """
        if self._ledger is not None:
            self._ledger.note_unfinished(self._sender, is_unfinished)
            self._ledger.release_input(self._sender, self._size())

    def measure(self) -> byte_budgets.Sender:
        """Return what is held, and for how long nothing has come."""
        held_bytes = self._size()
        if self.body is not None:
            held_bytes += self.body.size
        stopped_s = self._loop.time() - self.received_at_s
        return byte_budgets.Sender(held_bytes, stopped_s * _MS_PER_S)

    def _size(self) -> int:
        return self._head_bytes + len(self.unparsed)


def create(
    sender: byte_ledger.RequestSender,
    ledger: byte_ledger.ByteLedger | None,
) -> HeldInput:
    """Create the count of a new connection."""
    return HeldInput(sender, ledger)
