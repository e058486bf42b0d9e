"""Calls whose answer is owed, with the bytes that the core never sees."""

import secrets
import typing

import anyio
import msgspec

from oleanderstair import clock
from oleanderstair.domain import events, outcomes
from oleanderstair.engine import exchanges, streams

_ID_START_BITS: typing.Final = 40


class Reply(typing.NamedTuple):
    """What a caller or an asking peer is told."""

    outcome: outcomes.Outcome
    reason: outcomes.Reason | None = None
    retry_after_ms: clock.Millis = 0
    detail: str = ''
    answer: exchanges.Answer | None = None


class PendingCall(msgspec.Struct):
    """A call that is owed a reply, and the answers it may get."""

    received: events.CallReceived
    request: exchanges.Request
    arrived_ms: clock.Millis
    replied: anyio.Event = msgspec.field(default_factory=anyio.Event)
    reply: Reply | None = None
    answer_by_attempt: dict[int, exchanges.Answer] = msgspec.field(
        default_factory=dict,
    )
    home: str = ''
    home_answer: exchanges.Answer | None = None
    target_ms: clock.Millis = 0
    attempts: int = 0


class PendingTable(msgspec.Struct):
    """Pending calls, running attempts, and answers kept for resends.

    Call ids start at a random number, so that an answer meant for an
    earlier incarnation at this address matches no call of this one.
    """

    call_by_id: dict[int, PendingCall] = msgspec.field(
        default_factory=dict,
    )
    cancel_by_attempt: dict[int, streams.Cancel] = msgspec.field(
        default_factory=dict,
    )
    recorded_by_call_id: dict[int, exchanges.Answer] = msgspec.field(
        default_factory=dict,
    )
    next_call_id: int = msgspec.field(
        default_factory=lambda: secrets.randbits(_ID_START_BITS),
    )

    def claim_id(self) -> int:
        """Return an id that no other call of this process has."""
        call_id = self.next_call_id
        self.next_call_id += 1
        return call_id


def create() -> PendingTable:
    """Create an empty table."""
    return PendingTable()
