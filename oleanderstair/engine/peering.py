"""Sends to peers and takes what they send, for a shell."""

import typing

import anyio

from oleanderstair import clock, metrics
from oleanderstair.domain import actions
from oleanderstair.engine import peers

_RETRY_MS: typing.Final = 50


class Host(typing.Protocol):
    """What peering needs of the shell."""

    metrics: metrics.Metrics

    def report_fault(self, where: str, error: Exception) -> None:
        """Log and count a fault that was contained."""


class Peering:
    """The link of one instance to its peers."""

    def __init__(
        self,
        host: Host,
        link: peers.Link,
        take: typing.Callable[[peers.Heard], None],
    ) -> None:
        """Hand what comes over ``link`` to ``take``."""
        self._host = host
        self._link = link
        self._take = take

    async def run(self) -> None:
        """Take what peers send until cancelled."""
        while True:
            try:
                self._take(await self._link.receive())
            except Exception as error:
                self._host.report_fault('peers', error)
                await anyio.sleep(clock.to_seconds(_RETRY_MS))

    def send(self, action: actions.SendPeer) -> None:
        """Send a message to a peer; it may be lost."""
        sent = self._link.send(
            action.address,
            action.message,
            action.incarnation,
        )
        kind = type(action.message).__name__
        self._host.metrics.count('peer-messages', kind)
        self._host.metrics.count('peer-bytes', kind, sent)


def create(
    host: Host,
    link: peers.Link,
    take: typing.Callable[[peers.Heard], None],
) -> Peering:
    """Create the peering of a shell."""
    return Peering(host, link, take)
