"""Puts one entry instance on the users' platform together."""

import random
import secrets
import socket
import time
import typing

import anyio
import anyio.abc
import msgspec

from oleanderstair import clock, logs, settings
from oleanderstair.domain import events, world
from oleanderstair.domain.tables import identity
from oleanderstair.engine import (
    bounded,
    exchanges,
    gateway,
    listener,
    listening,
    peers,
    routed_callers,
)
from oleanderstair.platform import (
    dialect,
    early,
    listeners,
    load_reader,
    store,
)

_INCARNATION_BYTES: typing.Final = 4
_PROOF_MS: typing.Final = 200
"""How fresh an answer proves a connection for a call that runs once."""

_SEED_BITS: typing.Final = 64
_PEER_SILENCE_MS: typing.Final = 1000
_NS_PER_MS: typing.Final = 1_000_000


class Node(msgspec.Struct):
    """One entry instance with bound sockets."""

    identity: identity.Identity
    checked: settings.Settings
    caller_socket: socket.socket
    platform_sockets: list[socket.socket]
    link: peers.Link
    metrics_socket: socket.socket | None = None
    carrier: gateway.Gateway | None = None

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
            logs.event('started', instance=self.identity.incarnation)
            await self._listen(self.carrier)
            tasks.cancel_scope.cancel()

    def stop(self) -> None:
        """Begin the planned stop."""
        if self.carrier is not None:
            self.carrier.handle(events.StopRequested())

    def reload(
        self,
        checked: settings.Settings,
        what: str,
        actor: str,
    ) -> None:
        """Put changed settings in force, as far as that needs no restart."""
        self.checked = checked
        if self.carrier is None:
            return
        self.carrier.state.members.seeds = tuple(checked.peers.seeds)
        connections = self.carrier.sides.connections
        connections.max_answer_bytes = checked.callers.max_answer_bytes
        limits = settings.limits_of(checked)
        self.carrier.handle(events.LimitsChanged(limits, actor, what))

    async def _listen(self, carrier: gateway.Gateway) -> None:
        def bounds_of() -> bounded.Bounds:
            return _bounds_of(self.checked.callers, carrier)

        callers = listener.create_bounded(
            routed_callers.create(carrier, dialect.create()),
            bounds_of,
        )
        asked_sockets = self.platform_sockets
        shown_at = ''
        if self.metrics_socket is not None:
            asked_sockets = [*asked_sockets, self.metrics_socket]
            shown_at = listening.address_of(self.metrics_socket)
        asked = listener.create_bounded(
            listeners.create(carrier, shown_at),
            bounds_of,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(callers.serve, [self.caller_socket])
            tasks.start_soon(asked.serve, asked_sockets)
            await carrier.exit.wait()
            # Each server writes the answers that are under way, then ends.
            callers.should_exit = True
            asked.should_exit = True

    def _create_shell(self, tasks: anyio.abc.TaskGroup) -> gateway.Gateway:
        told = clock.monotonic()
        connections = exchanges.create(
            self.checked.callers.max_answer_bytes,
            takes_unframed=True,
            proof_ms=_PROOF_MS,
        )
        sides = gateway.Sides(
            clock=told,
            connections=connections,
            dialect=dialect.create(),
            store=store.create(self.checked.platform.store_address, told),
            load_reader=load_reader.create(connections),
            link=self.link,
        )
        state = world.create(
            self.identity,
            settings.limits_of(self.checked),
            random.Random(secrets.randbits(_SEED_BITS)),
        )
        state.members.seeds = tuple(self.checked.peers.seeds)
        state.members.started_ms = time.time_ns() // _NS_PER_MS
        carrier = gateway.Gateway(state, sides, tasks)
        connections.listen = _listener_for(carrier)
        return carrier


def create(
    checked: settings.Settings,
    opened: early.Sockets | None = None,
) -> Node:
    """Create an instance and bind its sockets, but for those ``opened``."""
    opened = opened or {}
    incarnation = (
        f'{checked.instance.id}~{secrets.token_hex(_INCARNATION_BYTES)}'
    )
    caller_socket = _bind(checked.callers.address, opened)
    own = identity.Identity(
        instance_id=checked.instance.id,
        incarnation=incarnation,
        region=checked.instance.region,
        data_centre=checked.instance.data_centre,
        caller_address=listening.address_of(caller_socket),
        peer_address=checked.peers.address,
        capacity=settings.capacity_of(checked),
    )
    host, _, port = checked.peers.address.rpartition(':')
    return Node(
        identity=own,
        checked=checked,
        caller_socket=caller_socket,
        link=peers.create(
            host,
            int(port),
            incarnation,
            peers.Keys(),
            _PEER_SILENCE_MS,
            heartbeats=False,
        ),
        platform_sockets=[
            _bind(checked.platform.directory_address, opened),
            _bind(checked.platform.readiness_address, opened),
        ],
        metrics_socket=_bind_metrics(checked.admin.metrics_address),
    )


def _bind(address: str, opened: early.Sockets) -> socket.socket:
    return opened.pop(address, None) or listening.bind_to(address)


def _bind_metrics(address: str) -> socket.socket | None:
    """Return the socket for metrics; an instance serves without it too."""
    if not address:
        return None
    try:
        return listening.bind_to(address)
    except OSError as error:
        logs.event('metrics-unavailable', address=address, why=repr(error))
        return None


def _listener_for(carrier: gateway.Gateway) -> exchanges.Listen:
    def listen(place: exchanges.Place, answer: exchanges.Answer) -> None:
        word = dialect.read_word(answer)
        if word is not None:
            carrier.handle(
                events.TargetTold(
                    place.target_id,
                    place.born_ms,
                    word.leaving,
                    word.rest_ms,
                ),
            )

    return listen


def _bounds_of(
    wanted: settings.CallerSettings,
    carrier: gateway.Gateway,
) -> bounded.Bounds:
    """Return the bounds of the configuration in force, or the settings'."""
    bounds = bounded.Bounds(
        max_header_bytes=wanted.max_header_bytes,
        request_time_ms=wanted.request_time_ms,
        idle_ms=wanted.idle_ms,
        answer_time_ms=wanted.answer_time_ms,
        max_connections=wanted.max_connections,
    )
    in_force = carrier.state.routes.in_force
    if in_force is None:
        return bounds
    return bounds._replace(
        max_header_bytes=in_force.limits.max_header_bytes,
        request_time_ms=in_force.limits.header_time_ms,
        idle_ms=in_force.limits.idle_ms,
    )
