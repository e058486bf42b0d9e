"""What this instance knows of the load and latency of each service."""

import typing

import msgspec

from oleanderstair import clock


class ServiceLoad(typing.NamedTuple):
    """Latency of a service's calls, and the state of its entry queue.

    ``longest_ms`` is the longest recent latency; it fades. Targets that
    other instances use more are left alone until ``spill_after_ms``, and
    ``spill_wait_ms`` is how long the next refusal keeps them so.
    ``hedge_gain`` is the share of recent hedges that came first.
    """

    service: str
    in_flight: int = 0
    answered: int = 0
    median_ms: clock.Millis = 0
    mean_ms: clock.Millis = 0
    high_ms: clock.Millis = 0
    longest_ms: clock.Millis = 0
    queued_since_ms: clock.Millis = clock.NEVER_MS
    spill_after_ms: clock.Millis = clock.NEVER_MS
    spill_wait_ms: clock.Millis = 0
    doubted_until_ms: clock.Millis = clock.NEVER_MS
    hedge_gain: float = 0.4
    hedged_at_ms: clock.Millis = clock.NEVER_MS


class Share(typing.NamedTuple):
    """The slots of a service that this instance prefers.

    ``others`` are the targets that it may use when its share is full.
    ``digest`` and ``roster`` are the catalogue and instances it is for.
    """

    digest: str
    roster: tuple[str, ...]
    slots_by_target: dict[str, int]
    others: tuple[str, ...]


class ServicesTable(msgspec.Struct):
    """Loads and shares by service, and the live instances."""

    load_by_service: dict[str, ServiceLoad] = msgspec.field(
        default_factory=dict,
    )
    share_by_service: dict[str, Share] = msgspec.field(
        default_factory=dict,
    )
    roster: tuple[str, ...] = ()
    roster_at_ms: clock.Millis | None = None


def load_of(table: ServicesTable, service: str) -> ServiceLoad:
    """Return what is known of the load of a service."""
    known = table.load_by_service.get(service)
    return known or ServiceLoad(service)


def put_load(table: ServicesTable, load: ServiceLoad) -> None:
    """Store the new load of a service."""
    table.load_by_service[load.service] = load


def create() -> ServicesTable:
    """Create a table without services."""
    return ServicesTable()
