"""The latencies of the last calls of each route at their targets."""

import collections
import typing

import msgspec

from oleanderstair import clock

_KEPT_COUNT: typing.Final = 64
"""The number of latencies that are kept for each route."""

LatencyWindow: typing.TypeAlias = collections.deque[clock.Millis]


class LatenciesTable(msgspec.Struct):
    """The last latencies by route, the newest on the right.

    ``sorted_latencies_by_route`` caches them in ascending order until the
    next one is added.
    """

    latencies_by_route: dict[str, LatencyWindow] = msgspec.field(
        default_factory=dict
    )
    sorted_latencies_by_route: dict[str, list[clock.Millis]] = msgspec.field(
        default_factory=dict,
    )


def create() -> LatenciesTable:
    """Create a table without latencies."""
    return LatenciesTable()


def add_latency(
    table: LatenciesTable,
    route: str,
    latency_ms: clock.Millis,
) -> None:
    """Add the latency of a call; the oldest is dropped if there are many."""
    latencies = table.latencies_by_route.get(route)
    if latencies is None:
        latencies = table.latencies_by_route.setdefault(
            route,
            collections.deque(maxlen=_KEPT_COUNT),
        )
    latencies.append(latency_ms)
    table.sorted_latencies_by_route.pop(route, None)


def sorted_latencies(table: LatenciesTable, route: str) -> list[clock.Millis]:
    """Return the last latencies of a route in ascending order."""
    latencies = table.sorted_latencies_by_route.get(route)
    if latencies is None:
        latencies = sorted(table.latencies_by_route.get(route, ()))
        table.sorted_latencies_by_route[route] = latencies
    return latencies
