"""Assembles an entry instance on the users' platform."""

import random
import secrets
import socket
import time
import typing

import anyio
import anyio.abc
import msgspec

from oleanderstair import clock, logs, settings, start_times
from oleanderstair.domain import (
    byte_budgets,
    connection_budgets,
    events,
    policy,
    world,
)
from oleanderstair.domain.fleet import grace_period_stop
from oleanderstair.domain.tables import identity
from oleanderstair.engine import (
    bounded_protocol,
    byte_ledger,
    exchanges,
    gateway_runtime,
    listener,
    machine_limits,
    peers,
    routed_caller_app,
)
from oleanderstair.platform import (
    dialect,
    load_reader,
    platform_app,
    store,
)

_INCARNATION_BYTES: typing.Final = 4
_CONNECTION_PROOF_MS: typing.Final = 200
"""For how long an answer proves that its connection is usable. Calls that must
not be repeated are sent only on such connections or on new ones."""

_COMPETING_CALLERS: typing.Final = 'pressure'
"""The term under which callers compete for too few slots."""

_SEED_BITS: typing.Final = 64
_PEER_SILENCE_MS: typing.Final = 1000
"""The timeout of peers' connections. A connection with a message unanswered
for twice as long is replaced."""

_NS_PER_MS: typing.Final = 1_000_000


class Node(msgspec.Struct):
    """An entry instance with bound sockets.

    ``runtime`` is None until ``run`` has created it.
    """

    identity: identity.Identity
    node_settings: settings.Settings
    caller_socket: socket.socket
    platform_sockets: list[socket.socket]
    link: peers.Link
    times: start_times.StartTimes
    connection_limits: connection_budgets.ConnectionLimits
    metrics_socket: socket.socket | None = None
    runtime: gateway_runtime.GatewayRuntime | None = None

    async def run(self) -> None:
        """Serve until the planned stop is complete."""
        try:
            await self._serve()
        finally:
            self.link.close()

    async def _serve(self) -> None:
        async with anyio.create_task_group() as tasks:
            self.runtime = self._create_runtime(tasks)
            tasks.start_soon(self.runtime.run_ticks)
            tasks.start_soon(self.runtime.run_peers)
            self.times.mark(start_times.STARTED)
            logs.log_event('started', instance=self.identity.incarnation)
            await self._listen(self.runtime)
            tasks.cancel_scope.cancel()

    def stop(self) -> None:
        """Begin the planned stop."""
        if self.runtime is not None:
            self.runtime.handle(events.StopRequested())

    def reload(
        self,
        valid_settings: settings.Settings,
        what: str,
        actor: str,
    ) -> None:
        """Apply changed settings that need no restart.

        ``what`` names the changed fields and ``actor`` the cause of the
        reload, for the audit trail.
        """
        self.node_settings = valid_settings
        self.connection_limits = machine_limits.connection_limits_of(
            valid_settings
        )
        if self.runtime is None:
            return
        self.runtime.state.members.seeds = tuple(valid_settings.peers.seeds)
        connections = self.runtime.sides.connections
        connections.max_answer_bytes = valid_settings.callers.max_answer_bytes
        limits = _policy_of(valid_settings)
        self.runtime.handle(events.LimitsChanged(limits, actor, what))

    async def _listen(self, runtime: gateway_runtime.GatewayRuntime) -> None:
        def bounds_of() -> bounded_protocol.ConnectionBounds:
            limit = self.connection_limits.callers
            return _bounds_of(self.node_settings.callers, runtime, limit)

        def platform_bounds_of() -> bounded_protocol.ConnectionBounds:
            limit = self.connection_limits.platform
            return _bounds_of(self.node_settings.callers, runtime, limit)

        callers = listener.create_with_changing_bounds(
            routed_caller_app.create(runtime, dialect.create()),
            bounds_of,
            runtime.ledger,
            runtime.report_unanswered,
            runtime.report_strike,
        )
        platform_sockets = self.platform_sockets
        metrics_address = ''
        if self.metrics_socket is not None:
            platform_sockets = [*platform_sockets, self.metrics_socket]
            metrics_address = listener.address_of(self.metrics_socket)
        platform = listener.create_with_changing_bounds(
            platform_app.create(runtime, metrics_address),
            platform_bounds_of,
            runtime.ledger,
            on_strike=runtime.report_strike,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(callers.serve, [self.caller_socket])
            tasks.start_soon(platform.serve, platform_sockets)
            await runtime.exit.wait()
            # Each server completes the answers in progress, then ends. Calls
            # may have begun since the decision to exit.
            remaining_ms = grace_period_stop.remaining_ms(
                runtime.state, runtime.sides.clock.now_ms()
            )
            callers.stop_within(
                clock.to_seconds(
                    remaining_ms - grace_period_stop.EXIT_MARGIN_MS
                )
            )
            platform.should_exit = True

    def _create_runtime(
        self, tasks: anyio.abc.TaskGroup
    ) -> gateway_runtime.GatewayRuntime:
        time_source = clock.create_monotonic()
        connections = exchanges.create(
            self.node_settings.callers.max_answer_bytes,
            takes_unframed=True,
            proof_ms=_CONNECTION_PROOF_MS,
        )
        sides = gateway_runtime.GatewayDependencies(
            clock=time_source,
            connections=connections,
            dialect=dialect.create(),
            store=store.create(
                self.node_settings.platform.store_address, time_source
            ),
            load_reader=load_reader.create(connections),
            link=self.link,
        )
        state = world.create(
            self.identity,
            _policy_of(self.node_settings),
            random.Random(secrets.randbits(_SEED_BITS)),
        )
        state.members.seeds = tuple(self.node_settings.peers.seeds)
        state.members.region_by_data_centre = dict(
            self.node_settings.instance.regions
        )
        state.members.started_ms = time.time_ns() // _NS_PER_MS
        runtime = gateway_runtime.GatewayRuntime(
            state, sides, tasks, self.times
        )
        connections.on_answer = _notice_listener_for(runtime)
        connections.on_excess = runtime.report_excess
        connections.service_of = runtime.service_of
        memory_mb = self.node_settings.instance.capacity.memory_mb
        ledger = byte_ledger.create(byte_budgets.create_budget(memory_mb))
        runtime.ledger = ledger
        connections.ledger = ledger
        if ledger is not None:
            ledger.on_cut = runtime.report_cut_reader
        return runtime


def create(
    valid_settings: settings.Settings,
    times: start_times.StartTimes | None = None,
) -> Node:
    """Create an instance and bind its sockets.

    ``times`` records the phases of the start. Raise ``OSError`` if a required
    address can't be bound.
    """
    incarnation = (
        f'{valid_settings.instance.id}~{secrets.token_hex(_INCARNATION_BYTES)}'
    )
    # Not opened before the imports: a caller whose connection waits for a
    # starting instance loses time that its deadline doesn't show, while one
    # that is refused goes to another address at once.
    caller_socket = _bind(valid_settings.callers.address)
    times = times or start_times.create()
    times.mark(start_times.LISTENING)
    own = identity.Identity(
        instance_id=valid_settings.instance.id,
        incarnation=incarnation,
        region=valid_settings.instance.region,
        data_centre=valid_settings.instance.data_centre,
        caller_address=listener.address_of(caller_socket),
        peer_address=valid_settings.peers.address,
        capacity=settings.capacity_of(valid_settings),
    )
    host, _, port = valid_settings.peers.address.rpartition(':')
    return Node(
        identity=own,
        node_settings=valid_settings,
        caller_socket=caller_socket,
        link=peers.create(
            host,
            int(port),
            incarnation,
            peers.Keys(),
            _PEER_SILENCE_MS,
            heartbeats=False,
        ),
        times=times,
        connection_limits=machine_limits.connection_limits_of(valid_settings),
        platform_sockets=[
            _bind(valid_settings.platform.directory_address),
            _bind(valid_settings.platform.readiness_address),
        ],
        metrics_socket=_bind_metrics(valid_settings.admin.metrics_address),
    )


def _policy_of(valid_settings: settings.Settings) -> policy.Policy:
    """Return the limits of the settings, and those that its terms call for."""
    limits = settings.policy_of(valid_settings)
    if _COMPETING_CALLERS in valid_settings.platform.terms:
        return limits._replace(admission_by_rank=True)
    return limits


def _bind(address: str) -> socket.socket:
    host, _, port = address.rpartition(':')
    return listener.bind_socket(host, int(port))


def _bind_metrics(address: str) -> socket.socket | None:
    """Return the socket for metrics, or None if ``address`` is empty.

    If it can't be bound, this is logged and None is returned, as an instance
    can serve calls without it.
    """
    if not address:
        return None
    try:
        return _bind(address)
    except OSError as error:
        logs.log_event('metrics-unavailable', address=address, why=repr(error))
        return None


def _notice_listener_for(
    runtime: gateway_runtime.GatewayRuntime,
) -> exchanges.OnAnswer:
    def on_answer(
        destination: exchanges.Destination, answer: exchanges.Answer
    ) -> None:
        notice = dialect.read_target_notice(answer)
        if notice is not None:
            runtime.handle(
                events.TargetTold(
                    destination.target_id,
                    destination.born_ms,
                    notice.leaving,
                    notice.rest_ms,
                    notice.limit_per_s,
                ),
            )

    return on_answer


def _bounds_of(
    limits: settings.CallerSettings,
    runtime: gateway_runtime.GatewayRuntime,
    max_connections: int,
) -> bounded_protocol.ConnectionBounds:
    """Return the bounds of a listener and of requests to it.

    The configuration in force overrides the settings in the bounds it has.
    """
    bounds = bounded_protocol.ConnectionBounds(
        max_header_bytes=limits.max_header_bytes,
        request_time_ms=limits.request_time_ms,
        idle_ms=limits.idle_ms,
        answer_time_ms=limits.answer_time_ms,
        max_connections=max_connections,
    )
    in_force = runtime.state.routes.in_force
    if in_force is None:
        return bounds
    return bounds._replace(
        max_header_bytes=in_force.limits.max_header_bytes,
        request_time_ms=in_force.limits.header_time_ms,
        idle_ms=in_force.limits.idle_ms,
    )
