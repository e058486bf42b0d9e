"""Forwards keyed calls to the home of their key, and serves those of peers.

The home of a key is the instance that the key is bound to.
"""

import typing

import anyio.abc

from oleanderstair import metrics
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.engine import dependencies, exchanges, forwarding, pending


Reply: typing.TypeAlias = pending.Reply


class KeyedCallHost(typing.Protocol):
    """The part of the runtime that keyed calls use."""

    state: world.World
    balancer_dependencies: dependencies.BalancerDependencies
    pending: pending.PendingTable
    metrics: metrics.Metrics

    async def run_call(
        self,
        received: events.CallReceived,
        request: exchanges.Request,
    ) -> Reply:
        """Run one call and return the reply for its caller."""

    def handle(self, event: events.Event) -> None:
        """Pass an event to the decision code and perform its actions."""

    def report_fault(self, where: str, error: Exception) -> None:
        """Log and count an exception that was caught."""


class KeyedCallExchange:
    """Exchanges keyed calls and their answers with peers."""

    def __init__(self, host: KeyedCallHost, tasks: anyio.abc.TaskGroup) -> None:
        """Serve peers for ``host`` in the task group ``tasks``."""
        self._host = host
        self._tasks = tasks

    def receive_call(self, sender: str, message: messages.KeyedCall) -> None:
        """Run a forwarded call; this instance is the home of its key."""
        self._tasks.start_soon(self._serve_call, sender, message)

    def send_to_home(self, action: actions.ForwardHome) -> None:
        """Forward a call to the home of its key."""
        pending_call = self._host.pending.call_by_id[action.call_id]
        pending_call.home = action.home
        message = forwarding.build_call_message(
            pending_call, action.home, action.budget_ms
        )
        self._host.balancer_dependencies.link.send(
            action.address, message, action.home
        )

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
        peer = self._host.state.instances.peer_by_incarnation.get(sender)
        if (
            peer is None
            or message.home != self._host.state.identity.incarnation
        ):
            self._host.metrics.count('peer-dropped', 'keyed-call')
            return
        received = forwarding.build_received_event(
            message,
            self._host.pending.claim_call_id(),
            sender,
            self._host.balancer_dependencies.clock.now_ms(),
        )
        request = forwarding.build_target_request(message)
        reply = await self._host.run_call(received, request)
        self._host.balancer_dependencies.link.send(
            peer.peer_address,
            forwarding.build_answer_message(sender, message, reply),
        )

    def receive_answer(
        self,
        sender: str,
        message: messages.KeyedAnswer,
    ) -> None:
        """Handle the answer to a forwarded call.

        An answer is dropped unless it is valid, comes from the home that the
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


def create(
    host: KeyedCallHost, tasks: anyio.abc.TaskGroup
) -> KeyedCallExchange:
    """Create the exchange of keyed calls for ``host``."""
    return KeyedCallExchange(host, tasks)
