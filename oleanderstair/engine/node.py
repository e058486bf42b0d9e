"""Puts one entry instance together and runs it until it stops."""

import random
import secrets
import socket
import typing

import anyio
import anyio.abc
import msgspec

from oleanderstair import clock, logs, settings
from oleanderstair.domain import events, world
from oleanderstair.domain.tables import identity
from oleanderstair.engine import (
    admin,
    bounded,
    callers,
    exchanges,
    listener,
    listening,
    peers,
    publications,
    ports,
    probes,
    recorder,
    shell,
)

_INCARNATION_BYTES: typing.Final = 4
_SEED_BITS: typing.Final = 64


class Node(msgspec.Struct):
    """One entry instance with bound sockets."""

    identity: identity.Identity
    admin_address: str
    checked: settings.Settings
    caller_socket: socket.socket
    admin_socket: socket.socket
    link: peers.Link
    carrier: shell.Shell | None = None

    async def run(self) -> None:
        """Serve until the planned stop is complete."""
        try:
            await self._serve()
        finally:
            self.link.close()

    async def _serve(self) -> None:
        async with anyio.create_task_group() as tasks:
            self.carrier = self._create_shell(tasks)
            tasks.start_soon(self.carrier.run_ticks)
            tasks.start_soon(self.carrier.run_peers)
            self._log_start()
            await self._listen(self.carrier)
            tasks.cancel_scope.cancel()

    async def _listen(self, carrier: shell.Shell) -> None:
        servers = [
            listener.create(
                callers.create(carrier, self.checked.callers),
                _bounds_of(self.checked.callers),
            ),
            listener.create(admin.create(carrier)),
        ]
        sockets = [self.caller_socket, self.admin_socket]
        async with anyio.create_task_group() as tasks:
            for server, bound in zip(servers, sockets, strict=True):
                tasks.start_soon(server.serve, [bound])
            await carrier.exit.wait()
            # Each server writes the answers that are under way, then ends.
            for stopping in servers:
                stopping.should_exit = True

    def _log_start(self) -> None:
        logs.event(
            'started',
            instance=self.identity.incarnation,
            callers=self.identity.caller_address,
            peers=self.identity.peer_address,
            admin=self.admin_address,
        )

    def stop(self) -> None:
        """Begin the planned stop."""
        if self.carrier is not None:
            self.carrier.handle(events.StopRequested())

    def _create_shell(self, tasks: anyio.abc.TaskGroup) -> shell.Shell:
        limits = settings.limits_of(self.checked)
        published = publications.create(
            self.checked.platform.configuration_url,
            self.checked.platform.instances_url,
            limits.value_bound_ms,
        )
        outgoing = ports.Ports(
            clock=clock.monotonic(),
            connections=exchanges.create(self.checked.callers.max_answer_bytes),
            configuration=published,
            instance_list=published,
            endpoints=probes.create(),
            link=self.link,
        )
        seed = secrets.randbits(_SEED_BITS)
        state = world.create(self.identity, limits, random.Random(seed))
        carrier = shell.Shell(state, outgoing, tasks)
        self.link.report_to(carrier.metrics.count)
        if self.checked.trace.max_events:
            carrier.recorder = recorder.create(
                self.identity,
                limits,
                seed,
                self.checked.trace.max_events,
            )
        return carrier


def create(checked: settings.Settings) -> Node:
    """Create an instance and bind its sockets."""
    incarnation = (
        f'{checked.instance.id}~{secrets.token_hex(_INCARNATION_BYTES)}'
    )
    caller_socket = listening.bind(checked.callers.host, checked.callers.port)
    admin_socket = listening.bind(checked.admin.host, checked.admin.port)
    link = _create_link(checked, incarnation)
    own = identity.Identity(
        instance_id=checked.instance.id,
        incarnation=incarnation,
        region=checked.instance.region,
        data_centre=checked.instance.data_centre,
        caller_address=(
            checked.callers.advertise or listening.address_of(caller_socket)
        ),
        peer_address=link.address,
    )
    return Node(
        identity=own,
        admin_address=listening.address_of(admin_socket),
        checked=checked,
        caller_socket=caller_socket,
        admin_socket=admin_socket,
        link=link,
    )


def _create_link(checked: settings.Settings, incarnation: str) -> peers.ZmqLink:
    wanted = checked.peers
    return peers.create(
        wanted.host,
        wanted.port,
        incarnation,
        peers.Keys(wanted.public_key, wanted.secret_key),
    )


def _bounds_of(callers_settings: settings.CallerSettings) -> bounded.Bounds:
    return bounded.Bounds(
        max_header_bytes=callers_settings.max_header_bytes,
        request_time_ms=callers_settings.request_time_ms,
        idle_ms=callers_settings.idle_ms,
        answer_time_ms=callers_settings.answer_time_ms,
        max_connections=callers_settings.max_connections,
    )
