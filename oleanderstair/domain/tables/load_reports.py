"""The known load of each target, and its recent failures."""

import typing

import msgspec

from oleanderstair import clock


class Report(typing.NamedTuple):
    """A load report of a target.

    ``running`` and ``queued`` count its calls. ``slowness`` is the time that
    work takes on its machine, as a multiple of the usual time.
    ``slow_start_ms`` is how long its slow start still lasts, 0 if it is warm,
    and None if that could not be read.
    """

    running: int
    queued: int
    slots: int
    slowness: float = 1.0
    slow_start_ms: clock.Millis | None = 0


class Load(typing.NamedTuple):
    """The newest load report of a target, and what happened since.

    ``sent_since_report`` counts this instance's dispatches after the report.
    ``latency_ratio`` is the latency of its answers as a multiple of the usual
    one, and ``failure_score`` rises with its failures; both decay with time.
    ``ejection_count`` counts its ejections in a row, and ``ejected_until_ms``
    is the end of the last one. Until ``unreachable_until_ms`` the target is
    not tried, as it didn't answer a read of its load. ``reads_at_ms`` lists
    the recent reads. Until ``backoff_until_ms`` nothing is sent to it, at its
    own request.
    """

    target_id: str
    report: Report | None = None
    reported_at_ms: clock.Millis = clock.NEVER_MS
    sent_since_report: int = 0
    in_flight: int = 0
    latency_ratio: float = 1.0
    latency_ratio_at_ms: clock.Millis = clock.NEVER_MS
    failure_score: float = 0
    failure_score_at_ms: clock.Millis = clock.NEVER_MS
    ejection_count: int = 0
    ejected_until_ms: clock.Millis = clock.NEVER_MS
    unreachable_until_ms: clock.Millis = clock.NEVER_MS
    reads_at_ms: tuple[clock.Millis, ...] = ()
    backoff_until_ms: clock.Millis = clock.NEVER_MS


ServicePlacement: typing.TypeAlias = tuple[str, str]
"""A service and a data centre."""


class LoadsTable(msgspec.Struct):
    """Loads by target, and since when a report is being read.

    ``ids_by_placement`` holds the registered targets by service and data
    centre, and ``remote_ids_by_service`` those in other data centres. Both are
    derived from ``indexed_ids_by_service``, without the targets in
    ``indexed_closed``.
    """

    load_by_id: dict[str, Load] = msgspec.field(default_factory=dict)
    read_started_at_ms_by_id: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    ids_by_placement: dict[ServicePlacement, tuple[str, ...]] = msgspec.field(
        default_factory=dict,
    )
    data_centres: frozenset[str] = frozenset()
    remote_ids_by_service: dict[str, tuple[str, ...]] = msgspec.field(
        default_factory=dict,
    )
    indexed_ids_by_service: dict[str, tuple[str, ...]] | None = None
    indexed_closed: frozenset[str] = frozenset()


def create() -> LoadsTable:
    """Create a table without loads."""
    return LoadsTable()


def load_of(table: LoadsTable, target_id: str) -> Load:
    """Return the load of a target, an empty one if nothing is known."""
    return table.load_by_id.get(target_id) or Load(target_id)


def reset_load(table: LoadsTable, target_id: str) -> None:
    """Reset the load of a restarted target.

    Calls in flight and the recent reads are kept, as they still count.
    """
    known = table.load_by_id.get(target_id)
    if known is not None:
        table.load_by_id[target_id] = Load(
            target_id,
            in_flight=known.in_flight,
            reads_at_ms=known.reads_at_ms,
        )


def put_load(table: LoadsTable, load: Load) -> None:
    """Store the new load of a target."""
    table.load_by_id[load.target_id] = load
