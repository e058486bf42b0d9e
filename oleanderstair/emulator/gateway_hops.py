"""Calls that instances forward to peers, on the virtual clock."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes
from oleanderstair.emulator import gateway_attempts, links


class Told(typing.Protocol):
    """What the caller of a call is told."""

    @property
    def outcome(self) -> outcomes.Outcome:
        """Return whether the call ran."""

    @property
    def reason(self) -> outcomes.Reason | None:
        """Return why it was refused, None if it was not."""

    @property
    def retry_after_ms(self) -> clock.Millis:
        """Return when to call again, 0 if that is not said."""


class Host(typing.Protocol):
    """The part of the fleet that hops use."""

    links: links.Links
    attempts: gateway_attempts.Attempts
    member_by_id: dict[str, typing.Any]
    member_by_incarnation: dict[str, typing.Any]

    def claim_call_id(self) -> int:
        """Return the id of another call."""

    def tell_later(
        self,
        delay_ms: clock.Millis,
        member: typing.Any,
        event: events.Event,
    ) -> None:
        """Give an event to one incarnation after a time."""


class Hop(typing.NamedTuple):
    """A call that a peer holds for the instance that forwarded it."""

    asker: typing.Any
    peer: typing.Any
    call_id: int


class Hops:
    """The forwarded calls of a fleet, and the answers on their way back."""

    def __init__(self, host: Host) -> None:
        """Start without forwarded calls."""
        self.count = 0
        self._host = host
        self._hop_by_call: dict[int, Hop] = {}
        self._answer_by_call: dict[int, typing.Any] = {}

    def forward(self, asker: typing.Any, action: actions.ForwardHome) -> None:
        """Give a call to the peer that has the address."""
        self.count += 1
        peer = self._host.member_by_id[action.address]
        received = self._host.attempts.received_of(action.call_id)
        delay_ms = self._host.links.delay_ms(
            asker.instance_id, peer.instance_id
        )
        if self._host.links.loses(asker.instance_id, peer.instance_id):
            return
        call_id = self._host.claim_call_id()
        self._hop_by_call[call_id] = Hop(asker, peer, action.call_id)
        forwarded = received._replace(
            call_id=call_id,
            service=action.service,
            from_peer=asker.incarnation,
            configuration=action.configuration,
            max_attempts=action.max_attempts,
        )
        self._host.tell_later(delay_ms, peer, forwarded)

    def answer(self, peer: typing.Any, call_id: int, told: Told) -> bool:
        """Answer a forwarded call; return False if the call is none."""
        hop = self._hop_by_call.pop(call_id, None)
        if hop is None:
            return False
        ends = peer.instance_id, hop.asker.instance_id
        if self._host.links.loses(*ends):
            return True
        self._answer_by_call[hop.call_id] = told
        replied = events.HomeReplied(
            hop.call_id,
            told.outcome,
            told.reason,
            told.retry_after_ms,
            peer.incarnation,
        )
        delay_ms = self._host.links.delay_ms(*ends)
        self._host.tell_later(delay_ms, hop.asker, replied)
        return True

    def take_answer(self, call_id: int) -> typing.Any:
        """Return the answer that came for a call."""
        return self._answer_by_call.pop(call_id)

    def cancel(self, call_id: int) -> None:
        """Tell the peer that holds a call that its caller has left."""
        for peer_call_id, hop in tuple(self._hop_by_call.items()):
            if hop.call_id == call_id:
                left = events.CallerLeft(peer_call_id)
                self._host.tell_later(1, hop.peer, left)


def create(host: Host) -> Hops:
    """Create the hops of a fleet."""
    return Hops(host)
