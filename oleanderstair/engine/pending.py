"""Calls that have no reply yet, with their requests and answers.

The decision code handles call ids only; the bytes are stored here.
"""

import secrets
import typing

import anyio
import msgspec

from oleanderstair import clock
from oleanderstair.domain import events, outcomes
from oleanderstair.engine import (
    byte_ledger,
    exchanges,
    target_connections,
)

_FIRST_ID_BITS: typing.Final = 40


class Reply(typing.NamedTuple):
    """The reply to a caller or to the peer that forwarded a call."""

    outcome: outcomes.Outcome
    reason: outcomes.Reason | None = None
    retry_after_ms: clock.Millis = 0
    detail: str = ''
    answer: exchanges.Answer | None = None


class PendingCall(msgspec.Struct):
    """A call without a reply, and the answers that its attempts received.

    ``home`` is the incarnation that the call was forwarded to, because its key
    is bound to it, and ``home_answer`` is the answer from there.
    ``target_time_ms`` is the total duration of its attempts. ``holding`` counts
    the bytes of the request and of its answer, where these are limited.
    """

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
    target_time_ms: clock.Millis = 0
    attempts: int = 0
    holding: byte_ledger.Holding | None = None


class PendingTable(msgspec.Struct):
    """Pending calls, running attempts, and answers recorded for resent calls.

    Call ids start at a random number, so that an answer to an earlier
    incarnation at the same address matches no call of this incarnation.
    """

    call_by_id: dict[int, PendingCall] = msgspec.field(
        default_factory=dict,
    )
    cancel_by_attempt: dict[int, target_connections.Cancel] = msgspec.field(
        default_factory=dict,
    )
    recorded_answer_by_call_id: dict[int, exchanges.Answer] = msgspec.field(
        default_factory=dict,
    )
    next_call_id: int = msgspec.field(
        default_factory=lambda: secrets.randbits(_FIRST_ID_BITS),
    )

    def claim_call_id(self) -> int:
        """Return a call id that is unique in this process."""
        call_id = self.next_call_id
        self.next_call_id += 1
        return call_id


def create() -> PendingTable:
    """Create an empty table."""
    return PendingTable()
