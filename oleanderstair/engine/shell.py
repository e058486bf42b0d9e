"""The shell of an instance that is steered by release notes."""

import typing

import anyio.abc

from oleanderstair.domain import actions, balancer, events, messages, world
from oleanderstair.engine import core, keyed, peering, peers, pending, ports

Recorder: typing.TypeAlias = core.Recorder


class Shell(core.Core):
    """One instance with its peers, the platform's values and keyed calls."""

    def __init__(
        self,
        state: world.World,
        outgoing: ports.Ports,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Run I/O for ``state`` as tasks of ``tasks``."""
        super().__init__(state, balancer.step, outgoing, tasks)
        self.ports = outgoing
        self._keyed = keyed.create(self, tasks)
        self._peering = peering.create(self, outgoing.link, self._take)
        self.perform_by(
            {
                actions.RelayRecorded: self.settling.relay_recorded,
                actions.RelayHome: self.settling.relay_home,
                actions.ForwardHome: self._keyed.forward,
                actions.DropRecorded: self.settling.drop_recorded,
                actions.ReadValue: self.start(outgoing.read_value),
                actions.WatchValue: self.start(outgoing.watch_value),
                actions.ReadInstances: self.start(outgoing.read_instances),
                actions.Probe: self.start(outgoing.probe),
                actions.SendPeer: self._peering.send,
            },
        )

    async def run_peers(self) -> None:
        """Take what peers send until cancelled."""
        await self._peering.run()

    def note_read(self, event: events.Event) -> None:
        """Count a read that ended, and how long a probe took."""
        super().note_read(event)
        if isinstance(event, events.ProbeEnded):
            found = 'failed' if event.report is None else 'answered'
            self.metrics.observe('probe-ms', found, event.took_ms)

    def service_of(self, owed: pending.PendingCall) -> str:
        """Return the service of a call where a note has added it.

        Any other name is the caller's own invention.
        """
        received = owed.received
        if isinstance(received, events.CallReceived):
            known = self.state.catalogue.in_force.service_by_name
            return received.service if received.service in known else 'unknown'
        return super().service_of(owed)

    def _take(self, heard: peers.Heard) -> None:
        if isinstance(heard.message, messages.KeyedCall):
            self._keyed.take(heard.sender, heard.message)
        elif isinstance(heard.message, messages.KeyedAnswer):
            self._keyed.take_answer(heard.sender, heard.message)
        else:
            self.handle(events.PeerHeard(heard.sender, heard.message))
