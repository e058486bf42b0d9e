"""The targets as they register themselves with the platform."""

import dataclasses
import typing

from oleanderstair import clock


class Entry(typing.NamedTuple):
    """A registered target.

    ``born_ms`` is the wall time of the target's start in ms since 1970, by
    the target's own clock: a later one is another incarnation.
    ``warm_at_ms`` is when it stops being slow after its start, on this
    instance's clock.
    """

    target_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    born_ms: int
    warm_at_ms: clock.Millis
    revision: int


@dataclasses.dataclass(slots=True)
class RegistryTable:
    """Entries by target, as of ``revision``; 0 before the first read."""

    revision: int = 0
    read_at_ms: clock.Millis = clock.NEVER_MS
    entry_by_id: dict[str, Entry] = dataclasses.field(default_factory=dict)
    ids_by_service: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict,
    )


def create() -> RegistryTable:
    """Create a table that knows of no target."""
    return RegistryTable()


def index(table: RegistryTable) -> None:
    """Derive the ids by service from the entries."""
    ids: dict[str, list[str]] = {}
    for target_id, entry in table.entry_by_id.items():
        ids.setdefault(entry.service, []).append(target_id)
    table.ids_by_service = {
        service: tuple(sorted(found)) for service, found in ids.items()
    }
