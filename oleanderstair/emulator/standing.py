"""Serves stand-ins on loopback."""

import typing

import anyio.abc

from oleanderstair import clock
from oleanderstair.engine import bounded, listener, listening

IDLE_MS: typing.Final[clock.Millis] = 60_000
"""How long idle connections stay open here: longer than any scene, as one
that is closed in the moment in which it is chosen looks like a cut call."""


def serve(app: typing.Any, tasks: anyio.abc.TaskGroup) -> str:
    """Serve ``app`` on a free port in ``tasks`` and return its address."""
    bound = listening.bind('127.0.0.1', 0)
    bounds = bounded.Bounds(idle_ms=IDLE_MS)
    tasks.start_soon(listener.create(app, bounds).serve, [bound])
    return listening.address_of(bound)
