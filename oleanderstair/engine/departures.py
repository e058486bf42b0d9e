"""Looks for the close by a client whose input is not read."""

import asyncio
import typing

from oleanderstair import clock
from oleanderstair.engine import socket_state

_CHECK_MS: typing.Final = 150
"""Time between two looks. A request may not be passed on later than 500 ms
after the close."""

IsReadingPaused: typing.TypeAlias = typing.Callable[[], bool]
OnDeparture: typing.TypeAlias = typing.Callable[[socket_state.End], None]
"""Handle how the client ended the connection."""


class DepartureWatch:
    """Looks at one connection for as long as its reading is paused."""

    def __init__(
        self, is_reading_paused: IsReadingPaused, on_departure: OnDeparture
    ) -> None:
        """Call ``on_departure`` once the client has ended the connection."""
        self._is_reading_paused = is_reading_paused
        self._on_departure = on_departure
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def start(self, transport: asyncio.Transport) -> None:
        """Look from now on, unless reading goes on."""
        if self._timer is None and self._is_reading_paused():
            self._timer = self._loop.call_later(
                clock.to_seconds(_CHECK_MS), self._check, transport
            )

    def stop(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self, transport: asyncio.Transport) -> None:
        self._timer = None
        if not self._is_reading_paused():
            return
        end = socket_state.find_end(transport)
        if end is None:
            self.start(transport)
        else:
            self._on_departure(end)


def create(
    is_reading_paused: IsReadingPaused, on_departure: OnDeparture
) -> DepartureWatch:
    """Create the watch of a new connection."""
    return DepartureWatch(is_reading_paused, on_departure)
