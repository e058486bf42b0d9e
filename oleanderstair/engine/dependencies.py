"""The clock and clients of an instance, and the reads that use them."""

import msgspec

from oleanderstair import clock
from oleanderstair.domain import actions, events
from oleanderstair.domain.configuration import read_schedule
from oleanderstair.engine import (
    dialects,
    exchanges,
    http_platform,
    peers,
    probes,
)


class BalancerDependencies(msgspec.Struct):
    """The clock, and the clients for targets, the platform and peers."""

    clock: clock.Clock
    connections: exchanges.ConnectionPool
    configuration: http_platform.ConfigurationService
    instance_list: http_platform.InstanceList
    endpoints: probes.TargetEndpoints
    link: peers.Link
    dialect: dialects.Dialect = msgspec.field(
        default_factory=dialects.create_default
    )

    async def read_value(self, action: actions.ReadValue) -> events.Event:
        """Read a configuration value once."""
        try:
            body = await self.configuration.get(action.name)
        except http_platform.PlatformError as error:
            return events.ReadFailed(action.name, str(error))
        return events.ValueRead(action.name, body, action.nonce)

    async def watch_value(self, action: actions.WatchValue) -> events.Event:
        """Wait until a configuration value differs from the known one."""
        try:
            body = await self.configuration.watch(
                action.name,
                action.digest,
                action.bound_ms,
            )
        except http_platform.PlatformError as error:
            return events.ReadFailed(action.name, str(error))
        return events.ValueRead(action.name, body)

    async def read_instances(
        self,
        action: actions.ReadInstances,
    ) -> events.Event:
        """Read the instance list of the platform."""
        try:
            entries = await self.instance_list.read()
        except http_platform.PlatformError as error:
            return events.ReadFailed(
                read_schedule.INSTANCE_LIST_NAME, str(error)
            )
        return events.InstancesRead(entries)

    async def probe(self, action: actions.Probe) -> events.Event:
        """Read the health and load endpoints of a target."""
        started_ms = self.clock.now_ms()
        report = await self.endpoints.read(action.address, action.bound_ms)
        took_ms = self.clock.now_ms() - started_ms
        return events.ProbeEnded(action.target_id, report, took_ms)
