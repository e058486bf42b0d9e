"""Which targets are in slow start, and which instances may send to them."""

import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain.tables import budgets


class Warmth(typing.NamedTuple):
    """What is known of the slow start of one incarnation of a target.

    ``cold_until_ms`` is the end of a slow start that the target has stated.
    ``doubted_at_ms`` is when the target last started, failed or was stated to
    be cold: only a health response that was requested later shows that it is
    warm. ``warm_at_ms`` is when the last such response was requested.
    """

    born_ms: int
    cold_until_ms: clock.Millis = clock.NEVER_MS
    doubted_at_ms: clock.Millis = clock.NEVER_MS
    warm_at_ms: clock.Millis = clock.NEVER_MS


class KnownInstance(typing.NamedTuple):
    """An instance that was live at ``seen_at_ms``."""

    data_centre: str
    capacity: int
    seen_at_ms: clock.Millis


class PoolSize(typing.NamedTuple):
    """The largest recent number of instances assigned to a host."""

    size: int
    counted_at_ms: clock.Millis


HostPlacement: typing.TypeAlias = tuple[str, str]
"""A host and a data centre."""


class SlowStartsTable(msgspec.Struct):
    """Warmth and token buckets by target, and the recently known instances.

    ``version`` changes with the instances and pool sizes from which
    ``candidate_ids_by_target`` is derived, as of ``derived_from``.
    ``no_share_until_ms`` is until when this instance may not know all others.
    The instances were last recorded at ``recorded_at_ms``, as of
    ``recorded_version`` of the members. ``cold_until_ms_by_service`` is the
    latest end of a stated slow start.
    """

    warmth_by_id: dict[str, Warmth] = msgspec.field(default_factory=dict)
    bucket_by_id: dict[str, budgets.TokenBucket] = msgspec.field(
        default_factory=dict
    )
    known_by_id: dict[str, KnownInstance] = msgspec.field(default_factory=dict)
    pool_size_by_placement: dict[HostPlacement, PoolSize] = msgspec.field(
        default_factory=dict
    )
    candidate_ids_by_target: dict[str, tuple[str, ...]] = msgspec.field(
        default_factory=dict
    )
    pool_by_placement: dict[HostPlacement, tuple[str, ...]] = msgspec.field(
        default_factory=dict
    )
    cold_until_ms_by_service: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict
    )
    version: int = 0
    derived_from: tuple[int, int] = (-1, -1)
    ready_ids: frozenset[str] = frozenset()
    ready_ids_version: int = -1
    first_reviewed_at_ms: clock.Millis | None = None
    reviewed_at_ms: clock.Millis = clock.NEVER_MS
    recorded_version: int = -1
    recorded_at_ms: clock.Millis = clock.NEVER_MS
    no_share_until_ms: clock.Millis = 0


def create() -> SlowStartsTable:
    """Create a table in which no target and no instance is known."""
    return SlowStartsTable()
