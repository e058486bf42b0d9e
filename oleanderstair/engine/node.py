"""Builds one entry instance and runs it until its planned stop ends."""

import random
import secrets
import socket
import typing

import anyio
import anyio.abc
import msgspec

from oleanderstair import clock, logs, settings
from oleanderstair.domain import byte_budgets, events, world
from oleanderstair.domain.tables import identity
from oleanderstair.engine import (
    admin,
    balancer_runtime,
    bounded_protocol,
    byte_ledger,
    caller_app,
    dependencies,
    exchanges,
    http_platform,
    listener,
    machine_limits,
    peers,
    probes,
    recorder,
)

_INCARNATION_BYTES: typing.Final = 4
_SEED_BITS: typing.Final = 64


class Node(msgspec.Struct):
    """One entry instance whose listening sockets are bound."""

    identity: identity.Identity
    admin_address: str
    node_settings: settings.Settings
    caller_socket: socket.socket
    admin_socket: socket.socket
    link: peers.Link
    runtime: balancer_runtime.BalancerRuntime | None = None

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
            self._log_start()
            await self._serve_listeners(self.runtime)
            tasks.cancel_scope.cancel()

    async def _serve_listeners(
        self, runtime: balancer_runtime.BalancerRuntime
    ) -> None:
        memory_mb = self.node_settings.instance.capacity.memory_mb
        ledger = byte_ledger.create(byte_budgets.create_budget(memory_mb))
        runtime.ledger = ledger
        runtime.sides.connections.ledger = ledger
        limits = machine_limits.connection_limits_of(self.node_settings)
        bounds = _bounds_of(self.node_settings.callers, limits.callers)
        admin_bounds = listener.DEFAULT_BOUNDS._replace(
            max_connections=limits.platform
        )
        servers = [
            listener.create_with_changing_bounds(
                caller_app.create(runtime, self.node_settings.callers, ledger),
                lambda: bounds,
                ledger,
            ),
            listener.create_with_changing_bounds(
                admin.create(runtime), lambda: admin_bounds, ledger
            ),
        ]
        sockets = [self.caller_socket, self.admin_socket]
        async with anyio.create_task_group() as tasks:
            for server, listening_socket in zip(servers, sockets, strict=True):
                tasks.start_soon(server.serve, [listening_socket])
            await runtime.exit.wait()
            # Each server completes the responses in progress before it ends.
            for server in servers:
                server.should_exit = True

    def _log_start(self) -> None:
        logs.log_event(
            'started',
            instance=self.identity.incarnation,
            callers=self.identity.caller_address,
            peers=self.identity.peer_address,
            admin=self.admin_address,
        )

    def stop(self) -> None:
        """Begin the planned stop."""
        if self.runtime is not None:
            self.runtime.handle(events.StopRequested())

    def _create_runtime(
        self, tasks: anyio.abc.TaskGroup
    ) -> balancer_runtime.BalancerRuntime:
        policy = settings.policy_of(self.node_settings)
        platform_reader = http_platform.create(
            self.node_settings.platform.configuration_url,
            self.node_settings.platform.instances_url,
            policy.value_bound_ms,
        )
        balancer_dependencies = dependencies.BalancerDependencies(
            clock=clock.create_monotonic(),
            connections=exchanges.create(
                self.node_settings.callers.max_answer_bytes
            ),
            configuration=platform_reader,
            instance_list=platform_reader,
            endpoints=probes.create(),
            link=self.link,
        )
        seed = secrets.randbits(_SEED_BITS)
        state = world.create(self.identity, policy, random.Random(seed))
        runtime = balancer_runtime.BalancerRuntime(
            state, balancer_dependencies, tasks
        )
        connections = balancer_dependencies.connections
        connections.on_excess = runtime.report_excess
        connections.service_of = runtime.service_of
        self.link.count_with(runtime.metrics.count)
        if self.node_settings.trace.max_events:
            runtime.recorder = recorder.create(
                self.identity,
                policy,
                seed,
                self.node_settings.trace.max_events,
            )
        return runtime


def create(node_settings: settings.Settings) -> Node:
    """Create an instance and bind its listening sockets."""
    incarnation = (
        f'{node_settings.instance.id}~{secrets.token_hex(_INCARNATION_BYTES)}'
    )
    caller_socket = listener.bind_socket(
        node_settings.callers.host, node_settings.callers.port
    )
    admin_socket = listener.bind_socket(
        node_settings.admin.host, node_settings.admin.port
    )
    link = _create_link(node_settings, incarnation)
    own_identity = identity.Identity(
        instance_id=node_settings.instance.id,
        incarnation=incarnation,
        region=node_settings.instance.region,
        data_centre=node_settings.instance.data_centre,
        caller_address=(
            node_settings.callers.advertise
            or listener.address_of(caller_socket)
        ),
        peer_address=link.address,
    )
    return Node(
        identity=own_identity,
        admin_address=listener.address_of(admin_socket),
        node_settings=node_settings,
        caller_socket=caller_socket,
        admin_socket=admin_socket,
        link=link,
    )


def _create_link(
    node_settings: settings.Settings, incarnation: str
) -> peers.ZmqLink:
    peer_settings = node_settings.peers
    return peers.create(
        peer_settings.host,
        peer_settings.port,
        incarnation,
        peers.Keys(peer_settings.public_key, peer_settings.secret_key),
    )


def _bounds_of(
    callers_settings: settings.CallerSettings, max_connections: int
) -> bounded_protocol.ConnectionBounds:
    return bounded_protocol.ConnectionBounds(
        max_header_bytes=callers_settings.max_header_bytes,
        request_time_ms=callers_settings.request_time_ms,
        idle_ms=callers_settings.idle_ms,
        answer_time_ms=callers_settings.answer_time_ms,
        max_connections=max_connections,
    )
