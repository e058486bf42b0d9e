"""Runs ASGI applications on sockets with uvicorn."""

import asyncio
import contextlib
import functools
import logging
import socket
import typing

from oleanderstair import logs
from oleanderstair.engine import (
    asgi,
    bounded_protocol,
    byte_ledger,
    client_limits,
    uvicorn_parts,
    waiting_connections,
)

if typing.TYPE_CHECKING:
    from uvicorn import config as uvicorn_config
    from uvicorn import server as uvicorn_server
else:
    uvicorn_config = uvicorn_parts.import_part('uvicorn.config')
    uvicorn_server = uvicorn_parts.import_part('uvicorn.server')

_BACKLOG: typing.Final = 2048
"""How many connections the kernel accepts before the program does, at most.
After a loss of power all callers connect at once, and a connection that is
dropped is tried again only after a second. The deployments allow 2,000."""

_ACCEPTED_AT_ONCE: typing.Final = 32
"""How many connections are accepted in one iteration of the event loop, so that
those above the limit are closed before they use up the descriptors."""

_SHUTDOWN_TIMEOUT_S: typing.Final = 2
_MIN_SHUTDOWN_TIMEOUT_S: typing.Final = 0.1
_LOOPS_TO_FIRST_READ: typing.Final = 6
"""After how many iterations of the event loop the first bytes of a connection
that waits to be accepted have been read."""

DEFAULT_BOUNDS: typing.Final = bounded_protocol.ConnectionBounds()


class _Server(uvicorn_server.Server):
    def __init__(self, config: uvicorn_config.Config) -> None:
        self._exit = asyncio.Event()
        super().__init__(config)

    @property
    def should_exit(self) -> bool:
        return self._exit.is_set()

    @should_exit.setter
    def should_exit(self, should_exit: bool) -> None:
        if should_exit:
            self._exit.set()

    def stop_within(self, timeout_s: float) -> None:
        """Stop; answers in progress get ``timeout_s``."""
        # A timeout of 0 would end answers that are about to be written.
        self.config.timeout_graceful_shutdown = typing.cast(
            int, max(timeout_s, _MIN_SHUTDOWN_TIMEOUT_S)
        )
        self.should_exit = True

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        # The event loop limits the backlog to what it accepts at once.
        for listening_socket in sockets or ():
            listening_socket.listen(_BACKLOG)

    async def main_loop(self) -> None:
        # The loop of uvicorn wakes up ten times a second.
        await self._exit.wait()

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        # Where the process has waited for the processor, requests wait in the
        # kernel. Those on new connections would be reset unread.
        await self._accept_waiting()
        await super().shutdown(sockets)

    async def _accept_waiting(self) -> None:
        """Accept and read the connections that wait in the kernel."""
        loops = _LOOPS_TO_FIRST_READ
        for _ in range(_LOOPS_TO_FIRST_READ + _BACKLOG // _ACCEPTED_AT_ONCE):
            before_count = len(self.server_state.connections)
            await asyncio.sleep(0)
            has_accepted = len(self.server_state.connections) > before_count
            loops = _LOOPS_TO_FIRST_READ if has_accepted else loops - 1
            if not loops:
                return

    @contextlib.contextmanager
    def capture_signals(self) -> typing.Iterator[None]:
        # The daemon handles signals itself, because a planned stop takes time.
        yield


def bind_socket(host: str, port: int) -> socket.socket:
    """Return a listening socket; port 0 selects a free port."""
    listening_socket = socket.create_server((host, port), backlog=_BACKLOG)
    # Accepted connections inherit TCP_NODELAY. Without it, a body would
    # wait for the delayed ACK of its head.
    listening_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listening_socket


def address_of(listening_socket: socket.socket) -> str:
    """Return the address of a bound socket as ``host:port``."""
    host, port = listening_socket.getsockname()[:2]
    return f'{host}:{port}'


@contextlib.contextmanager
def watch_disconnect(
    scope: asgi.Scope,
    on_lost: typing.Callable[[], None],
    on_half_close: typing.Callable[[], bool] | None = None,
) -> typing.Iterator[None]:
    """Call ``on_lost`` if the client disconnects within the block.

    It is called at once if the connection is closing already. If the client
    closes only its sending side, ``on_half_close`` returns whether the
    connection must stay open for the answer; without it, it is closed.
    """
    protocol = protocol_of(scope)
    protocol.on_lost = on_lost
    protocol.on_half_close = on_half_close
    if protocol.transport.is_closing():
        on_lost()
    try:
        yield
    finally:
        protocol.on_lost = None
        protocol.on_half_close = None


def protocol_of(scope: asgi.Scope) -> bounded_protocol.BoundedProtocol:
    """Return the protocol object of the connection of a request."""
    extension = scope['extensions']['connection']
    return typing.cast(bounded_protocol.BoundedProtocol, extension['protocol'])


def has_later_request(scope: asgi.Scope) -> bool:
    """Return whether another request came on the connection of a request."""
    return protocol_of(scope).has_later_request()


def has_whole_request(scope: asgi.Scope) -> bool:
    """Return whether a request has been received completely."""
    return 'is_whole' in scope['extensions']['connection']


def create(
    app: typing.Any,
    bounds: bounded_protocol.ConnectionBounds = DEFAULT_BOUNDS,
) -> uvicorn_server.Server:
    """Create a server for ``app`` with constant limits."""
    return create_with_changing_bounds(app, lambda: bounds)


def create_with_changing_bounds(
    app: typing.Any,
    bounds_of: bounded_protocol.BoundsOf,
    ledger: byte_ledger.ByteLedger | None = None,
    on_unanswered: bounded_protocol.OnUnanswered | None = None,
    on_strike: client_limits.OnStrike | None = None,
) -> _Server:
    """Create a server for ``app`` with limits that may change.

    ``bounds_of`` returns the limits in force. What connections hold is counted
    in ``ledger``. ``on_unanswered`` is called for each connection that ends
    before the answer to a whole request, ``on_strike`` where a limit strikes a
    client. The server has no signal handlers and no access log.
    """
    _configure_uvicorn_logs()
    config = uvicorn_config.Config(
        app,
        http=typing.cast(
            typing.Any,
            functools.partial(
                bounded_protocol.BoundedProtocol,
                bounds_of,
                ledger,
                bounded_protocol.Reports(on_unanswered, on_strike),
                waiting_connections.create(),
            ),
        ),
        ws='none',
        loop='asyncio',
        lifespan='off',
        interface='asgi3',
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        backlog=_ACCEPTED_AT_ONCE,
        timeout_graceful_shutdown=_SHUTDOWN_TIMEOUT_S,
    )
    return _Server(config)


def _configure_uvicorn_logs() -> None:
    logger = logging.getLogger('uvicorn')
    if logger.propagate:
        logger.propagate = False
        logger.addHandler(logs.create_handler())
        logger.setLevel(logging.WARNING)
