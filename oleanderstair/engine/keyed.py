"""Keyed calls between a caller's instance and the home of their key."""

import typing

import anyio.abc

from oleanderstair import metrics
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.engine import exchanges, forwarding, pending, ports


Reply: typing.TypeAlias = pending.Reply


class Host(typing.Protocol):
    """What keyed calls need of the shell."""

    state: world.World
    ports: ports.Ports
    pending: pending.PendingTable
    metrics: metrics.Metrics

    async def call(
        self,
        received: events.CallReceived,
        request: exchanges.Request,
    ) -> Reply:
        """Carry one call and return what its caller is told."""

    def handle(self, event: events.Event) -> None:
        """Step the decision code and perform what it asks for."""

    def report_fault(self, where: str, error: Exception) -> None:
        """Log and count a fault that was contained."""


class KeyedCalls:
    """The keyed calls that come from peers or go to them."""

    def __init__(self, host: Host, tasks: anyio.abc.TaskGroup) -> None:
        """Serve peers for ``host`` as tasks of ``tasks``."""
        self._host = host
        self._tasks = tasks

    def take(self, sender: str, message: messages.KeyedCall) -> None:
        """Run a peer's keyed call here, at the home of its key."""
        self._tasks.start_soon(self._serve, sender, message)

    def forward(self, action: actions.ForwardHome) -> None:
        """Send a call to the home of its key."""
        owed = self._host.pending.call_by_id[action.call_id]
        owed.home = action.home
        message = forwarding.to_message(owed, action.home, action.budget_ms)
        self._host.ports.link.send(action.address, message, action.home)

    async def _serve(
        self,
        sender: str,
        message: messages.KeyedCall,
    ) -> None:
        try:
            await self._run(sender, message)
        except Exception as error:
            self._host.report_fault('keyed-call', error)

    async def _run(
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
        received = forwarding.to_event(
            message,
            self._host.pending.claim_id(),
            sender,
            self._host.ports.clock.now_ms(),
        )
        request = forwarding.to_request(message)
        reply = await self._host.call(received, request)
        self._host.ports.link.send(
            peer.peer_address,
            forwarding.to_answer_message(sender, message, reply),
        )

    def take_answer(
        self,
        sender: str,
        message: messages.KeyedAnswer,
    ) -> None:
        """Take what the home of a forwarded call answered."""
        owed = self._host.pending.call_by_id.get(message.correlation)
        event = forwarding.to_home_reply(sender, message)
        own = self._host.state.identity.incarnation
        is_asked = owed is not None and (sender, own) == (
            owed.home,
            message.asker,
        )
        if owed is None or event is None or not is_asked:
            self._host.metrics.count('peer-dropped', 'keyed-answer')
            return
        try:
            owed.home_answer = forwarding.to_answer(message)
        except ValueError as error:
            self._host.report_fault('keyed-answer', error)
            return
        self._host.handle(event)


def create(host: Host, tasks: anyio.abc.TaskGroup) -> KeyedCalls:
    """Create the keyed calls of a shell, none under way."""
    return KeyedCalls(host, tasks)
