"""The shell of an instance that carries calls on routes."""

import typing

import anyio.abc
import msgspec

from oleanderstair import clock, logs
from oleanderstair.domain import actions, events, gateway, world
from oleanderstair.domain.tables import load_reports
from oleanderstair.domain.targets import connecting
from oleanderstair.engine import core, dialects, exchanges, peering, peers
from oleanderstair.explaining import decisions


class Store(typing.Protocol):
    """The platform's store, which can only be read and watched."""

    async def read(
        self,
        bound_ms: clock.Millis,
    ) -> events.StoreRead | events.StoreFailed:
        """Return all that the store holds; each page within ``bound_ms``."""

    async def watch(
        self,
        after_revision: int,
        bound_ms: clock.Millis,
        slack_ms: clock.Millis,
    ) -> events.StoreChanged | events.HistoryLost | events.StoreFailed:
        """Wait up to ``bound_ms`` for a change after a revision.

        It has failed where no answer has come ``slack_ms`` later.
        """


class LoadReader(typing.Protocol):
    """The load reports of targets."""

    async def read(
        self,
        action: actions.ReadLoad,
    ) -> load_reports.Report | None:
        """Return the report of a target, None where it can't be had."""

    def begin_kept(
        self,
        action: actions.ReadLoad,
        take: typing.Callable[[load_reports.Report | None], None],
    ) -> bool:
        """Read without a task; False where no connection is at hand."""


class Sides(msgspec.Struct):
    """The clock, and the outgoing sides of an instance with routes."""

    clock: clock.Clock
    connections: exchanges.Connections
    dialect: dialects.Dialect
    store: Store
    load_reader: LoadReader
    link: peers.Link

    async def read_store(self, action: actions.ReadStore) -> events.Event:
        """Read the whole of the store."""
        return await self.store.read(action.bound_ms)

    async def watch_store(self, action: actions.WatchStore) -> events.Event:
        """Wait for a change of the store."""
        return await self.store.watch(
            action.after_revision,
            action.bound_ms,
            action.slack_ms,
        )

    async def read_load(self, action: actions.ReadLoad) -> events.Event:
        """Read the load report of a target."""
        started_ms = self.clock.now_ms()
        report = await self.load_reader.read(action)
        return _load_read(self, action, report, started_ms)


def _load_read(
    sides: Sides,
    action: actions.ReadLoad,
    report: load_reports.Report | None,
    started_ms: clock.Millis,
) -> events.LoadRead:
    """Return the end of a read that began at ``started_ms``."""
    took_ms = sides.clock.now_ms() - started_ms
    return events.LoadRead(action.target_id, report, took_ms)


class Gateway(core.Core):
    """One instance with the platform's store and load reports."""

    def __init__(
        self,
        state: world.World,
        outgoing: Sides,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Run I/O for ``state`` as tasks of ``tasks``."""
        super().__init__(state, gateway.step, outgoing, tasks)
        self.decisions = decisions.create(state, logs.sink(), self.metrics)
        self.observer = self.decisions
        self._outgoing = outgoing
        self._start_read = self.start(outgoing.read_load)
        self._peering = peering.create(self, outgoing.link, self._take)
        self.perform_by(
            {
                actions.ReadStore: self.start(outgoing.read_store),
                actions.WatchStore: self.start(outgoing.watch_store),
                actions.ReadLoad: self._read_load,
                actions.SendPeer: self._peering.send,
            },
        )

    async def run_peers(self) -> None:
        """Take what peers send until cancelled."""
        await self._peering.run()

    def sweep(self, now_ms: clock.Millis) -> None:
        """Do what is due about once a second."""
        limit = connecting.limit_of(self.state)
        self.sides.connections.open_limit = limit
        super().sweep(now_ms)

    def _read_load(self, action: actions.ReadLoad) -> None:
        """Read on a kept connection, else in a task that may open one."""
        started_ms = self.sides.clock.now_ms()

        def take(report: load_reports.Report | None) -> None:
            sides = self._outgoing
            self.end_read(_load_read(sides, action, report, started_ms))

        if not self._outgoing.load_reader.begin_kept(action, take):
            self._start_read(action)

    def _take(self, heard: peers.Heard) -> None:
        self.handle(events.PeerHeard(heard.sender, heard.message))
