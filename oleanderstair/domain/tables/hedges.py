"""What an instance remembers of its hedges, by service and by route."""

import collections
import typing

import msgspec

from oleanderstair import clock

MAX_SAMPLES: typing.Final = 256
"""The number of latencies that are kept for each route."""

Timestamps: typing.TypeAlias = collections.deque[clock.Millis]


class Sample(typing.NamedTuple):
    """The latency of an attempt that was not a hedge.

    If the attempt was cancelled, it is the time for which it had run.
    """

    at_ms: clock.Millis
    latency_ms: clock.Millis


class ServiceHedges(msgspec.Struct):
    """The recent hedges of a service and its calls that could be hedged.

    ``shed_share`` is the moving average of attempts that were shed.
    """

    hedges_at_ms: Timestamps = msgspec.field(
        default_factory=collections.deque,
    )
    idempotent_calls_at_ms: Timestamps = msgspec.field(
        default_factory=collections.deque,
    )
    shed_share: float = 0


class RouteLatencies(msgspec.Struct):
    """The newest latencies of a route, and the hedge delay learned from them.

    ``answer_bytes`` is the moving average of the size of its answers, None
    before the first.
    """

    samples: collections.deque[Sample] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES),
    )
    delay_ms: clock.Millis = 0
    learned_at_ms: clock.Millis = clock.NEVER_MS
    answer_bytes: float | None = None


class HedgesTable(msgspec.Struct):
    """The rows by service and by route."""

    hedges_by_service: dict[str, ServiceHedges] = msgspec.field(
        default_factory=dict,
    )
    latencies_by_route: dict[str, RouteLatencies] = msgspec.field(
        default_factory=dict,
    )


def create() -> HedgesTable:
    """Create a table without rows."""
    return HedgesTable()


def hedges_of(table: HedgesTable, service: str) -> ServiceHedges:
    """Return the row of a service; an unknown service gets a new one."""
    known = table.hedges_by_service.get(service)
    if known is None:
        known = table.hedges_by_service.setdefault(service, ServiceHedges())
    return known


def latencies_of(table: HedgesTable, route: str) -> RouteLatencies:
    """Return the row of a route; an unknown route gets a new one."""
    known = table.latencies_by_route.get(route)
    if known is None:
        known = table.latencies_by_route.setdefault(route, RouteLatencies())
    return known
