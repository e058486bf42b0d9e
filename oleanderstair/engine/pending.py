"""Calls whose answer is owed, with the bytes that the core never sees."""

import dataclasses
import typing

import anyio

from oleanderstair import clock
from oleanderstair.domain import events, outcomes
from oleanderstair.engine import exchanges


class Reply(typing.NamedTuple):
    """What a caller or an asking peer is told."""

    outcome: outcomes.Outcome
    reason: outcomes.Reason | None = None
    retry_after_ms: clock.Millis = 0
    detail: str = ''
    answer: exchanges.Answer | None = None


class PeerOrigin(typing.NamedTuple):
    """Where the answer of a forwarded call goes."""

    incarnation: str
    address: str
    correlation: int


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A call that is owed a reply, and the attempts under way for it."""

    received: events.CallReceived
    request: exchanges.Request
    arrived_ms: clock.Millis
    origin: PeerOrigin | None = None
    replied: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    reply: Reply | None = None
    scope_by_attempt: dict[int, anyio.CancelScope] = dataclasses.field(
        default_factory=dict,
    )
    answer_by_attempt: dict[int, exchanges.Answer] = dataclasses.field(
        default_factory=dict,
    )
    home_answer: exchanges.Answer | None = None
    target_ms: clock.Millis = 0


@dataclasses.dataclass(slots=True)
class PendingTable:
    """Pending calls by id, and the answers recorded for resends."""

    call_by_id: dict[int, PendingCall] = dataclasses.field(
        default_factory=dict,
    )
    recorded_by_call_id: dict[int, exchanges.Answer] = dataclasses.field(
        default_factory=dict,
    )
    next_call_id: int = 1

    def claim_id(self) -> int:
        """Return an id that no other call of this process has."""
        call_id = self.next_call_id
        self.next_call_id += 1
        return call_id


def create() -> PendingTable:
    """Create an empty table."""
    return PendingTable()
