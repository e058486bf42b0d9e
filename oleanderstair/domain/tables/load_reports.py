"""What is known at the moment of each target's load, and of its trust."""

import typing

import msgspec

from oleanderstair import clock


class Report(typing.NamedTuple):
    """A target's own word on its load.

    ``slowness`` is how long work takes on its machine at the moment, as a
    multiple of the usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


class Load(typing.NamedTuple):
    """The newest report of a target and what happened since.

    ``sent_since`` counts this instance's dispatches after the report.
    ``pace`` is how long the target's answers took, as a multiple of the
    usual, and ``doubt`` rises with its failures; both fade with time.
    ``bars`` counts how often in a row it was barred, and ``read_at_ms`` is
    when this instance read its load of late. Until ``rests_until_ms`` the
    target wants nothing from this instance.
    """

    target_id: str
    report: Report | None = None
    reported_at_ms: clock.Millis = clock.NEVER_MS
    sent_since: int = 0
    in_flight: int = 0
    pace: float = 1.0
    paced_at_ms: clock.Millis = clock.NEVER_MS
    doubt: float = 0
    doubted_at_ms: clock.Millis = clock.NEVER_MS
    bars: int = 0
    barred_until_ms: clock.Millis = clock.NEVER_MS
    silent_until_ms: clock.Millis = clock.NEVER_MS
    read_at_ms: tuple[clock.Millis, ...] = ()
    rests_until_ms: clock.Millis = clock.NEVER_MS


Place: typing.TypeAlias = tuple[str, str]


class LoadsTable(msgspec.Struct):
    """Loads by target, and since when a report is being read.

    ``ids_by_place`` are the registered targets by service and data centre,
    worked out from ``indexed``.
    """

    load_by_id: dict[str, Load] = msgspec.field(default_factory=dict)
    asked_at_ms_by_id: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    ids_by_place: dict[Place, tuple[str, ...]] = msgspec.field(
        default_factory=dict,
    )
    data_centres: frozenset[str] = frozenset()
    far_ids_by_service: dict[str, tuple[str, ...]] = msgspec.field(
        default_factory=dict,
    )
    indexed: dict[str, tuple[str, ...]] | None = None


def create() -> LoadsTable:
    """Create a table without loads."""
    return LoadsTable()


def load_of(table: LoadsTable, target_id: str) -> Load:
    """Return what is known of the load of a target."""
    return table.load_by_id.get(target_id) or Load(target_id)


def renew(table: LoadsTable, target_id: str) -> None:
    """Forget what was known of the start before; what is spent stays so."""
    known = table.load_by_id.get(target_id)
    if known is not None:
        table.load_by_id[target_id] = Load(
            target_id,
            in_flight=known.in_flight,
            read_at_ms=known.read_at_ms,
        )


def put_load(table: LoadsTable, load: Load) -> None:
    """Store the new load of a target."""
    table.load_by_id[load.target_id] = load
