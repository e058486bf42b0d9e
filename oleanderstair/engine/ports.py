"""The outgoing sides of an instance, and the reads that go through them."""

import msgspec

from oleanderstair import clock
from oleanderstair.domain import actions, events
from oleanderstair.engine import (
    dialects,
    exchanges,
    peers,
    probes,
    publications,
)


class Ports(msgspec.Struct):
    """The clock, and the connections to targets, platform and peers."""

    clock: clock.Clock
    connections: exchanges.Connections
    configuration: publications.Configuration
    instance_list: publications.InstanceList
    endpoints: probes.TargetEndpoints
    link: peers.Link
    dialect: dialects.Dialect = msgspec.field(default_factory=dialects.own)

    async def read_value(self, action: actions.ReadValue) -> events.Event:
        """Read a configuration value once."""
        try:
            body = await self.configuration.get(action.name)
        except publications.PlatformError as error:
            return events.ReadFailed(action.name, str(error))
        return events.ValueRead(action.name, body, action.nonce)

    async def watch_value(self, action: actions.WatchValue) -> events.Event:
        """Wait for another value than the one that is known."""
        try:
            body = await self.configuration.watch(
                action.name,
                action.digest,
                action.bound_ms,
            )
        except publications.PlatformError as error:
            return events.ReadFailed(action.name, str(error))
        return events.ValueRead(action.name, body)

    async def read_instances(
        self,
        action: actions.ReadInstances,
    ) -> events.Event:
        """Read the platform's instance list."""
        try:
            entries = await self.instance_list.read()
        except publications.PlatformError as error:
            return events.ReadFailed('instances', str(error))
        return events.InstancesRead(entries)

    async def probe(self, action: actions.Probe) -> events.Event:
        """Read the health and load endpoints of a target."""
        started_ms = self.clock.now_ms()
        report = await self.endpoints.read(action.address, action.bound_ms)
        took_ms = self.clock.now_ms() - started_ms
        return events.ProbeEnded(action.target_id, report, took_ms)
