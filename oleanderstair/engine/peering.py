"""Sends messages to peers and dispatches those received."""

import typing

import anyio

from oleanderstair import clock, metrics
from oleanderstair.domain import actions
from oleanderstair.engine import peers

_RECEIVE_RETRY_MS: typing.Final = 50


class PeeringHost(typing.Protocol):
    """The part of the runtime that peering uses."""

    metrics: metrics.Metrics

    def report_fault(self, where: str, error: Exception) -> None:
        """Log and count an exception that was caught."""


class PeerMessenger:
    """Sends and receives peer messages for the runtime of an instance."""

    def __init__(
        self,
        host: PeeringHost,
        link: peers.Link,
        on_message: typing.Callable[[peers.ReceivedMessage], None],
    ) -> None:
        """Pass each message received over ``link`` to ``on_message``."""
        self._host = host
        self._link = link
        self._on_message = on_message

    async def run_receiver(self) -> None:
        """Receive messages until cancelled; wait 50 ms after an error."""
        while True:
            try:
                self._on_message(await self._link.receive())
            except Exception as error:
                self._host.report_fault('peers', error)
                await anyio.sleep(clock.to_seconds(_RECEIVE_RETRY_MS))

    def send(self, action: actions.SendPeer) -> None:
        """Send a message to a peer, without a guarantee of delivery."""
        sent_bytes = self._link.send(
            action.address,
            action.message,
            action.incarnation,
        )
        kind = type(action.message).__name__
        self._host.metrics.count('peer-messages', kind)
        self._host.metrics.count('peer-bytes', kind, sent_bytes)


def create(
    host: PeeringHost,
    link: peers.Link,
    on_message: typing.Callable[[peers.ReceivedMessage], None],
) -> PeerMessenger:
    """Create the messenger for the peers of ``host``."""
    return PeerMessenger(host, link, on_message)
