"""Runs an ASGI application on bound sockets."""

import asyncio
import contextlib
import logging
import socket
import typing

from oleanderstair import logs
from oleanderstair.engine import asgi, bounded, connection

_BACKLOG: typing.Final = 1024
_LAST_WRITE_S: typing.Final = 2
"""How long the last answers may take to be written, in s."""

_LAST_LOOK_S: typing.Final = 0.1
"""How often a server that ends looks whether they are, in s."""

DEFAULT_BOUNDS: typing.Final = bounded.Bounds()


class Server:
    """Accept connections for an application until told to stop."""

    def __init__(self, app: asgi.App, bounds_of: bounded.BoundsOf) -> None:
        """Serve ``app`` within what ``bounds_of`` returns."""
        self._app = app
        self._bounds_of = bounds_of
        self.held = connection.Open()
        self._exit = asyncio.Event()

    @property
    def should_exit(self) -> bool:
        """Return whether the server was told to stop."""
        return self._exit.is_set()

    @should_exit.setter
    def should_exit(self, wanted: bool) -> None:
        if wanted:
            self._exit.set()

    async def serve(self, sockets: typing.Sequence[socket.socket]) -> None:
        """Serve on bound sockets until told to stop, then write answers."""
        loop = asyncio.get_running_loop()
        servers = [
            await loop.create_server(self._open, sock=bound, backlog=_BACKLOG)
            for bound in sockets
        ]
        await self._exit.wait()
        for server in servers:
            server.close()
        for open_connection in list(self.held.connections):
            open_connection.shutdown()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_LAST_WRITE_S):
                await self._finish()
        for task in self.held.tasks:
            task.cancel()

    async def _finish(self) -> None:
        await asyncio.sleep(_LAST_LOOK_S)
        while self.held.connections or self.held.tasks:
            await asyncio.sleep(_LAST_LOOK_S)

    def _open(self) -> bounded.BoundedProtocol:
        return bounded.BoundedProtocol(
            self._bounds_of,
            self._app,
            self.held,
        )


def bind(host: str, port: int) -> socket.socket:
    """Bind a listening socket; port 0 takes any free port."""
    bound = socket.create_server((host, port), backlog=_BACKLOG)
    # Accepted connections inherit it; else a body waits for a delayed ACK.
    bound.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return bound


def address_of(bound: socket.socket) -> str:
    """Return the host and port of a bound socket."""
    host, port = bound.getsockname()[:2]
    return f'{host}:{port}'


@contextlib.contextmanager
def watching(
    scope: asgi.Scope,
    on_lost: typing.Callable[[], None],
) -> typing.Iterator[None]:
    """Call ``on_lost`` where the client goes away inside the block."""
    protocol = protocol_of(scope)
    protocol.on_lost = on_lost
    if protocol.transport.is_closing():
        on_lost()
    try:
        yield
    finally:
        protocol.on_lost = None


def protocol_of(scope: asgi.Scope) -> bounded.BoundedProtocol:
    """Return the connection that a request came by."""
    extension = scope['extensions']['connection']
    return typing.cast(bounded.BoundedProtocol, extension['protocol'])


def create(
    app: asgi.App,
    bounds: bounded.Bounds = DEFAULT_BOUNDS,
) -> Server:
    """Create a server of ``app`` within bounds that stay as they are."""
    return create_bounded(app, lambda: bounds)


def create_bounded(app: asgi.App, bounds_of: bounded.BoundsOf) -> Server:
    """Create a server of ``app`` within bounds that may change."""
    _adopt_logs()
    return Server(app, bounds_of)


def _adopt_logs() -> None:
    logger = logging.getLogger('asyncio')
    if logger.propagate:
        logger.propagate = False
        logger.addHandler(logs.handler())
        logger.setLevel(logging.WARNING)
