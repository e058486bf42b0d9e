"""The load and latency of each service, as measured by this instance."""

import typing

import msgspec

from oleanderstair import clock


class ServiceLoad(typing.NamedTuple):
    """The latency of a service's calls, and the state of its queue.

    ``high_latency_ms`` is an upper percentile. ``longest_latency_ms`` is the
    longest recent latency; it decays. Slots outside the share of this instance
    are not borrowed before ``borrow_after_ms``. ``borrow_wait_ms`` is the
    length of that pause: each new pause doubles it, and each answer from a
    borrowed slot halves it. No target is ejected before
    ``no_ejection_until_ms``, after most of them failed. ``hedge_win_share`` is
    the share of recent hedges that were answered before the first attempt.
    """

    service: str
    in_flight: int = 0
    answered_count: int = 0
    median_latency_ms: clock.Millis = 0
    mean_latency_ms: clock.Millis = 0
    high_latency_ms: clock.Millis = 0
    longest_latency_ms: clock.Millis = 0
    queued_since_ms: clock.Millis = clock.NEVER_MS
    borrow_after_ms: clock.Millis = clock.NEVER_MS
    borrow_wait_ms: clock.Millis = 0
    no_ejection_until_ms: clock.Millis = clock.NEVER_MS
    hedge_win_share: float = 0.4
    hedged_at_ms: clock.Millis = clock.NEVER_MS


class SlotShare(typing.NamedTuple):
    """This instance's share of the slots of a service.

    ``borrowable_target_ids`` are the targets that it may use when its share is
    full. The share holds for the catalogue ``digest`` and the live instances
    in ``live_instance_ids``.
    """

    digest: str
    live_instance_ids: tuple[str, ...]
    slots_by_target: dict[str, int]
    borrowable_target_ids: tuple[str, ...]


class ServicesTable(msgspec.Struct):
    """Loads and shares by service, and the sorted ids of live instances."""

    load_by_service: dict[str, ServiceLoad] = msgspec.field(
        default_factory=dict,
    )
    share_by_service: dict[str, SlotShare] = msgspec.field(
        default_factory=dict,
    )
    live_instance_ids: tuple[str, ...] = ()
    live_instance_ids_at_ms: clock.Millis | None = None


def load_of(table: ServicesTable, service: str) -> ServiceLoad:
    """Return the load of a service, an empty one if nothing is known."""
    known = table.load_by_service.get(service)
    return known or ServiceLoad(service)


def put_load(table: ServicesTable, load: ServiceLoad) -> None:
    """Store the new load of a service."""
    table.load_by_service[load.service] = load


def create() -> ServicesTable:
    """Create a table without services."""
    return ServicesTable()
