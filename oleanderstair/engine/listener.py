"""Runs an ASGI application on a socket, by uvicorn."""

import asyncio
import contextlib
import functools
import logging
import typing

import uvicorn

from oleanderstair import logs
from oleanderstair.engine import asgi, bounded, listening

_LAST_WRITE_S: typing.Final = 2
DEFAULT_BOUNDS: typing.Final = bounded.Bounds()


class _Server(uvicorn.Server):
    def __init__(self, config: uvicorn.Config) -> None:
        self._exit = asyncio.Event()
        super().__init__(config)

    @property
    def should_exit(self) -> bool:
        return self._exit.is_set()

    @should_exit.setter
    def should_exit(self, wanted: bool) -> None:
        if wanted:
            self._exit.set()

    async def main_loop(self) -> None:
        # The library's own loop wakes up ten times a second.
        await self._exit.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> typing.Iterator[None]:
        # The daemon handles signals itself: a planned stop is not an exit.
        yield


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


def is_whole(scope: asgi.Scope) -> bool:
    """Return whether all of a request has come."""
    return 'is_whole' in scope['extensions']['connection']


def create(
    app: typing.Any,
    bounds: bounded.Bounds = DEFAULT_BOUNDS,
) -> uvicorn.Server:
    """Create a server of ``app`` within bounds that stay as they are."""
    return create_bounded(app, lambda: bounds)


def create_bounded(
    app: typing.Any,
    bounds_of: bounded.BoundsOf,
) -> uvicorn.Server:
    """Create a server of ``app`` within bounds that may change.

    It has no signal handlers and no access log.
    """
    _adopt_logs()
    config = uvicorn.Config(
        app,
        http=typing.cast(
            typing.Any,
            functools.partial(bounded.BoundedProtocol, bounds_of),
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
        backlog=listening.BACKLOG,
        timeout_graceful_shutdown=_LAST_WRITE_S,
    )
    return _Server(config)


def _adopt_logs() -> None:
    logger = logging.getLogger('uvicorn')
    if logger.propagate:
        logger.propagate = False
        logger.addHandler(logs.handler())
        logger.setLevel(logging.WARNING)
