"""Holds calls that arrive before routes and targets are known."""

import typing

import anyio

from oleanderstair import clock
from oleanderstair.domain import events
from oleanderstair.domain.configuration import routing
from oleanderstair.domain.tables import routes


class _HeldCall(typing.NamedTuple):
    received: events.CallReceived
    released: anyio.Event


class StartQueue:
    """The calls that are held, by call id."""

    def __init__(self) -> None:
        """Start without calls."""
        self._held_call_by_id: dict[int, _HeldCall] = {}

    async def wait(
        self, received: events.CallReceived, max_ms: clock.Millis
    ) -> None:
        """Hold a call until the release, for ``max_ms`` at most."""
        held = _HeldCall(received, anyio.Event())
        self._held_call_by_id[received.call_id] = held
        try:
            with anyio.move_on_after(clock.to_seconds(max_ms)):
                await held.released.wait()
        finally:
            self._held_call_by_id.pop(received.call_id, None)

    def release(self, in_force: routes.Routing) -> None:
        """Release all calls, the most urgent first.

        Calls of equal rank go by deadline. Calls without a route, which are
        refused, go last.
        """
        held_calls = sorted(
            self._held_call_by_id.values(),
            key=lambda held: _urgency_of(held.received, in_force),
        )
        for held in held_calls:
            held.released.set()


def _urgency_of(
    received: events.CallReceived, in_force: routes.Routing
) -> tuple[float, clock.Millis]:
    route = routing.find_route(in_force, received.host, received.path)
    rank = float('inf') if route is None else route.rank
    return (rank, received.deadline_ms)


def create() -> StartQueue:
    """Create an empty queue."""
    return StartQueue()
