"""The runtime of an instance that forwards calls by routes."""

import typing

import anyio.abc
import msgspec

from oleanderstair import clock, logs, start_times
from oleanderstair.domain import (
    actions,
    byte_budgets,
    events,
    gateway,
    world,
)
from oleanderstair.domain.fleet import readiness
from oleanderstair.domain.tables import load_reports
from oleanderstair.domain.targets import connection_limits
from oleanderstair.engine import (
    client_limits,
    dialects,
    exchanges,
    forwarded_calls,
    peering,
    peers,
    runtime,
    start_queue,
)
from oleanderstair.explaining import decisions


class Store(typing.Protocol):
    """A read-only client of the platform's store."""

    async def read(
        self,
        bound_ms: clock.Millis,
    ) -> events.StoreRead | events.StoreFailed:
        """Return the whole content of the store.

        ``bound_ms`` is the timeout of each page.
        """

    async def watch(
        self,
        after_revision: int,
        bound_ms: clock.Millis,
        slack_ms: clock.Millis,
    ) -> events.StoreChanged | events.HistoryLost | events.StoreFailed:
        """Wait up to ``bound_ms`` for a change after a revision.

        Returns ``StoreFailed`` if there is still no answer ``slack_ms`` after
        that.
        """


class LoadReader(typing.Protocol):
    """A client for the load reports of targets."""

    async def read(
        self,
        action: actions.ReadLoad,
    ) -> load_reports.Report | None:
        """Return the report of a target, or None if it can't be read."""

    def begin_on_idle_connection(
        self,
        action: actions.ReadLoad,
        on_report: typing.Callable[[load_reports.Report | None], None],
    ) -> bool:
        """Start a read on an idle connection, which needs no task.

        Return False, with nothing sent, if there is no usable connection.
        ``on_report`` is called with the report, or with None if the read fails.
        """


class GatewayDependencies(msgspec.Struct):
    """The clock and clients of an instance that forwards calls by routes."""

    clock: clock.Clock
    connections: exchanges.ConnectionPool
    dialect: dialects.Dialect
    store: Store
    load_reader: LoadReader
    link: peers.Link

    async def read_store(self, action: actions.ReadStore) -> events.Event:
        """Read the whole content of the store."""
        return await self.store.read(action.bound_ms)

    async def watch_store(self, action: actions.WatchStore) -> events.Event:
        """Wait for a change in the store."""
        return await self.store.watch(
            action.after_revision,
            action.bound_ms,
            action.slack_ms,
        )

    async def read_load(self, action: actions.ReadLoad) -> events.Event:
        """Read the load report of a target."""
        started_ms = self.clock.now_ms()
        report = await self.load_reader.read(action)
        return _build_load_read_event(self, action, report, started_ms)


def _build_load_read_event(
    dependencies: GatewayDependencies,
    action: actions.ReadLoad,
    report: load_reports.Report | None,
    started_ms: clock.Millis,
) -> events.LoadRead:
    """Return the event for a read that began at ``started_ms``."""
    took_ms = dependencies.clock.now_ms() - started_ms
    return events.LoadRead(action.target_id, report, took_ms)


def _store_failure_of(
    action: actions.ReadStore | actions.WatchStore, error: Exception
) -> events.StoreFailed:
    return events.StoreFailed(repr(error))


def _load_failure_of(
    action: actions.ReadLoad, error: Exception
) -> events.LoadRead:
    return events.LoadRead(action.target_id, None, action.bound_ms)


class GatewayRuntime(runtime.Runtime):
    """Runs the gateway with peers, the platform's store and load reports."""

    def __init__(
        self,
        state: world.World,
        dependencies: GatewayDependencies,
        tasks: anyio.abc.TaskGroup,
        times: start_times.StartTimes,
    ) -> None:
        """Run the I/O for ``state`` in the task group ``tasks``.

        ``times`` records the phases of the start.
        """
        super().__init__(state, gateway.step, dependencies, tasks)
        self.decisions = decisions.create(
            state, logs.current_sink(), self.metrics
        )
        self.observer = self.decisions
        self.times = times
        self.start_queue = start_queue.create()
        self._has_routes = False
        self._dependencies = dependencies
        self._start_read = self.handler_for_read(
            dependencies.read_load, _load_failure_of
        )
        self._forwarded_calls = forwarded_calls.create(
            self, tasks, dependencies.link, self._find_peer_address
        )
        self._messenger = peering.create(
            self, dependencies.link, self._receive_message
        )
        self.add_action_handlers(
            {
                actions.ReadStore: self.handler_for_read(
                    dependencies.read_store, _store_failure_of
                ),
                actions.WatchStore: self.handler_for_read(
                    dependencies.watch_store, _store_failure_of
                ),
                actions.ReadLoad: self._read_load,
                actions.SendPeer: self._messenger.send,
                actions.ForwardHome: self._forwarded_calls.send_to_peer,
                actions.RelayHome: self.settling.relay_home_answer,
            },
        )

    async def run_peers(self) -> None:
        """Handle the messages of peers until cancelled."""
        await self._messenger.run_receiver()

    def handle(self, event: events.Event) -> None:
        """Handle an event; release the calls that waited for routes."""
        super().handle(event)
        if not self._has_routes and readiness.has_store_state(self.state):
            self._has_routes = True
            self.report_phase(start_times.ROUTES)
            in_force = self.state.routes.in_force
            assert in_force is not None  # noqa: S101 (part of the state)
            self.start_queue.release(in_force)

    def report_half_close(self, call_id: int) -> bool:
        """Handle the end of what a caller sends.

        Return whether the answer of its call is still to come, or is there and
        about to be written.
        """
        if call_id not in self.pending.call_by_id:
            return True
        self.handle(events.CallerHalfClosed(call_id))
        is_awaited = call_id in self.pending.call_by_id
        if not is_awaited:
            self.metrics.count('caller-left')
        return is_awaited

    def report_phase(self, phase: str) -> None:
        """Record and log that the start has reached ``phase``, once."""
        if self.times.mark(phase):
            logs.log_event(
                'start-phase', phase=phase, **self.times.as_log_fields()
            )

    def report_cut_reader(self, reader: byte_budgets.Reader) -> None:
        """Log and count a caller that was cut off to free memory."""
        self.metrics.count('readers-cut')
        self.decisions.cut_reader(
            reader.unread_bytes,
            reader.stopped_ms,
            self.sides.clock.now_ms(),
        )

    def log_excess(self, target_id: str, cause: str, size: int) -> None:
        """Log an answer that was given up, at a bounded rate."""
        self.decisions.give_answer_up(
            target_id, cause, size, self.sides.clock.now_ms()
        )

    def service_of(self, target_id: str) -> str:
        """Return the service of a target, or its id if it is unknown."""
        entry = self.state.registry.entry_by_id.get(target_id)
        return target_id if entry is None else entry.service

    def report_strike(self, strike: client_limits.Strike) -> None:
        """Log and count a limit that struck a client."""
        limit = strike.limit.value
        self.metrics.count('client-limited', f'limit={limit}')
        self.decisions.limit_client(
            limit,
            strike.client,
            strike.held_bytes,
            self.sides.clock.now_ms(),
        )

    def report_unanswered(self, why: str, count: int) -> None:
        """Log and count whole requests whose connection ended unanswered."""
        self.metrics.count('closed-unanswered', f'why={why}', count)
        self.decisions.close_unanswered(why, count, self.sides.clock.now_ms())

    def run_maintenance(self, now_ms: clock.Millis) -> None:
        """Update the connection limit, then do the common maintenance."""
        limit = connection_limits.target_connection_limit(self.state)
        self.sides.connections.max_open_per_target = limit
        super().run_maintenance(now_ms)

    def _read_load(self, action: actions.ReadLoad) -> None:
        """Read on an idle connection, or else in a task that may open one."""
        started_ms = self.sides.clock.now_ms()

        def on_report(report: load_reports.Report | None) -> None:
            dependencies = self._dependencies
            self.finish_read(
                _build_load_read_event(dependencies, action, report, started_ms)
            )

        if not self._dependencies.load_reader.begin_on_idle_connection(
            action, on_report
        ):
            self._start_read(action)

    def _receive_message(self, received: peers.ReceivedMessage) -> None:
        if not self._forwarded_calls.receive_message(received):
            self.handle(events.PeerHeard(received.sender, received.message))

    def _find_peer_address(self, incarnation: str) -> str | None:
        row = self.state.members.member_by_incarnation.get(incarnation)
        return row.peer_address if row else None
