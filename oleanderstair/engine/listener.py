"""Runs an ASGI application on a socket, by uvicorn."""

import contextlib
import socket
import typing

import uvicorn

_BACKLOG: typing.Final = 1024


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> typing.Iterator[None]:
        # The daemon handles signals itself: a planned stop is not an exit.
        yield


def bind(host: str, port: int) -> socket.socket:
    """Bind a listening socket; port 0 takes any free port."""
    return socket.create_server((host, port), backlog=_BACKLOG)


def address_of(bound: socket.socket) -> str:
    """Return the host and port of a bound socket."""
    host, port = bound.getsockname()[:2]
    return f'{host}:{port}'


def create(app: typing.Any) -> uvicorn.Server:
    """Create a server of ``app`` without signal handlers and access logs."""
    config = uvicorn.Config(
        app,
        http='httptools',
        ws='none',
        loop='asyncio',
        lifespan='off',
        interface='asgi3',
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        backlog=_BACKLOG,
        timeout_graceful_shutdown=1,
    )
    return _Server(config)
