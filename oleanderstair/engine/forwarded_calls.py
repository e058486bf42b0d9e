"""Forwards calls to peers, and serves those that peers forward.

A keyed call goes to its home, the instance that its key is bound to. A call on
a route goes to any peer while this instance reaches no target.
"""

import typing

import anyio.abc

from oleanderstair import metrics
from oleanderstair.domain import (
    actions,
    events,
    messages,
    outcomes,
    world,
)
from oleanderstair.engine import (
    attempting,
    byte_ledger,
    exchanges,
    forwarding,
    peers,
    pending,
)

_MAX_ENDED_CALLS: typing.Final = 4096
"""How many ended calls of peers are remembered, to drop later copies."""

PeerCall: typing.TypeAlias = tuple[str, int]
"""The incarnation that forwarded a call, and its correlation number."""

FindPeerAddress: typing.TypeAlias = typing.Callable[[str], str | None]
"""Return the address of a known incarnation, or None."""

Reply: typing.TypeAlias = pending.Reply


class ForwardedCallHost(typing.Protocol):
    """The part of the runtime that forwarded calls use."""

    state: world.World
    sides: attempting.AttemptDependencies
    pending: pending.PendingTable
    metrics: metrics.Metrics
    ledger: byte_ledger.ByteLedger | None

    async def run_call(
        self,
        received: events.CallReceived,
        request: exchanges.Request,
        holding: byte_ledger.Holding | None = None,
    ) -> Reply:
        """Run one call and return the reply for its caller."""

    def handle(self, event: events.Event) -> None:
        """Pass an event to the decision code and perform its actions."""

    def report_caller_left(self, call_id: int) -> None:
        """Handle the disconnect of a caller; ignore a settled call."""

    def report_fault(self, where: str, error: Exception) -> None:
        """Log and count an exception that was caught."""


class ForwardedCallExchange:
    """Exchanges forwarded calls and their answers with peers."""

    def __init__(
        self,
        host: ForwardedCallHost,
        tasks: anyio.abc.TaskGroup,
        link: peers.Link,
        find_peer_address: FindPeerAddress,
    ) -> None:
        """Serve peers for ``host`` in the task group ``tasks``."""
        self._host = host
        self._tasks = tasks
        self._link = link
        self._find_peer_address = find_peer_address
        self._call_id_by_peer_call: dict[PeerCall, int] = {}
        self._ended_peer_calls: dict[PeerCall, None] = {}
        link.report_drops_to(self._handle_drop)

    def receive_message(self, received: peers.ReceivedMessage) -> bool:
        """Handle a message about a forwarded call; return whether it is one."""
        sender, message = received
        if isinstance(message, messages.KeyedCall):
            self._tasks.start_soon(self._serve_call, sender, message)
        elif isinstance(message, messages.KeyedAnswer):
            self._receive_answer(sender, message)
        elif isinstance(message, messages.CallCancelled):
            self._cancel_call(sender, message)
        else:
            return False
        return True

    def send_to_peer(self, action: actions.ForwardHome) -> None:
        """Forward a call to a peer; the home of its key if it has one.

        A call whose message is dropped at once was not sent, so the peer
        counts as unable to serve it.
        """
        pending_call = self._host.pending.call_by_id[action.call_id]
        pending_call.home = action.home
        message = forwarding.build_call_message(pending_call, action)
        is_too_large = len(message.body) > forwarding.MAX_BODY_BYTES
        if not is_too_large and self._link.send(
            action.address, message, action.home
        ):
            return
        if pending_call.received.key:
            # The home alone may say that a keyed call did not run.
            return
        self._tasks.start_soon(self._report_unsent, action.call_id, action.home)

    def _handle_drop(self, message: messages.Message) -> None:
        """Handle a message that no connection to its peer could take.

        A call of this instance was not sent then, as one dropped at once.
        """
        if isinstance(message, messages.KeyedCall) and not message.key:
            self._tasks.start_soon(
                self._report_unsent, message.correlation, message.home
            )

    async def _report_unsent(self, call_id: int, home: str) -> None:
        self._host.metrics.count('forwards-dropped')
        self._host.handle(forwarding.build_unsent_event(call_id, home))

    async def _serve_call(
        self,
        sender: str,
        message: messages.KeyedCall,
    ) -> None:
        try:
            await self._run_received_call(sender, message)
        except Exception as error:
            self._host.report_fault('keyed-call', error)

    async def _run_received_call(
        self,
        sender: str,
        message: messages.KeyedCall,
    ) -> None:
        peer_address = self._find_peer_address(sender)
        peer_call = (sender, message.correlation)
        if (
            peer_address is None
            or message.home != self._host.state.identity.incarnation
            or (not message.key and self._is_known(peer_call))
        ):
            self._host.metrics.count('peer-dropped', 'keyed-call')
            return
        received = forwarding.build_received_event(
            message,
            self._host.pending.claim_call_id(),
            sender,
            self._host.sides.clock.now_ms(),
        )
        request = forwarding.build_target_request(message)
        self._call_id_by_peer_call[peer_call] = received.call_id
        try:
            reply = await self._run_within_memory(sender, received, request)
        finally:
            self._call_id_by_peer_call.pop(peer_call, None)
            self._remember_ended(peer_call)
        self._link.send(
            peer_address,
            forwarding.build_answer_message(sender, message, reply),
        )

    async def _run_within_memory(
        self,
        sender: str,
        received: events.CallReceived,
        request: exchanges.Request,
    ) -> Reply:
        """Run a call on a route, or refuse it if its body doesn't fit.

        A call with a key runs in any case: only its record tells whether it
        has run before.
        """
        ledger = self._host.ledger
        if ledger is None:
            return await self._host.run_call(received, request)
        opened = _open_holding(ledger, sender, received, request)
        if isinstance(opened, byte_ledger.Refusal):
            reason = outcomes.Reason.OVERLOADED
            self._host.metrics.count('memory-refused')
            return Reply(
                outcomes.Outcome.NOT_RUN,
                reason,
                opened.retry_after_ms,
                opened.detail,
            )
        try:
            return await self._host.run_call(received, request, opened)
        finally:
            opened.release()

    def _is_known(self, peer_call: PeerCall) -> bool:
        """Return whether a call runs here, or has ended not long ago."""
        return (
            peer_call in self._call_id_by_peer_call
            or peer_call in self._ended_peer_calls
        )

    def _remember_ended(self, peer_call: PeerCall) -> None:
        while len(self._ended_peer_calls) >= _MAX_ENDED_CALLS:
            self._ended_peer_calls.pop(next(iter(self._ended_peer_calls)))
        self._ended_peer_calls[peer_call] = None

    def _cancel_call(
        self, sender: str, message: messages.CallCancelled
    ) -> None:
        call_id = self._call_id_by_peer_call.get((sender, message.correlation))
        if call_id is not None:
            self._host.report_caller_left(call_id)

    def _receive_answer(
        self,
        sender: str,
        message: messages.KeyedAnswer,
    ) -> None:
        """Handle the answer to a forwarded call.

        An answer is dropped unless it is valid, comes from the peer that the
        call was sent to, and names this incarnation as the asker.
        """
        pending_call = self._host.pending.call_by_id.get(message.correlation)
        event = forwarding.build_home_reply_event(sender, message)
        own_incarnation = self._host.state.identity.incarnation
        is_expected = pending_call is not None and (
            sender,
            own_incarnation,
        ) == (
            pending_call.home,
            message.asker,
        )
        if pending_call is None or event is None or not is_expected:
            self._host.metrics.count('peer-dropped', 'keyed-answer')
            return
        try:
            pending_call.home_answer = forwarding.read_target_answer(message)
        except ValueError as error:
            self._host.report_fault('keyed-answer', error)
            return
        self._host.handle(event)


def _open_holding(
    ledger: byte_ledger.ByteLedger,
    sender: str,
    received: events.CallReceived,
    request: exchanges.Request,
) -> byte_ledger.Holding | byte_ledger.Refusal:
    """Hold the body of a call; refuse it if that doesn't fit, unless keyed."""
    if not received.key:
        return ledger.open(sender, len(request.body), 0, received.service)
    holding = byte_ledger.Holding(ledger, sender)
    holding.add_body(len(request.body))
    return holding


def create(
    host: ForwardedCallHost,
    tasks: anyio.abc.TaskGroup,
    link: peers.Link,
    find_peer_address: FindPeerAddress,
) -> ForwardedCallExchange:
    """Create the exchange of forwarded calls for ``host``."""
    return ForwardedCallExchange(host, tasks, link, find_peer_address)
