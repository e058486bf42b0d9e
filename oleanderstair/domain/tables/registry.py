"""The targets as they register themselves with the platform."""

import typing

import msgspec

from oleanderstair import clock

MAX_SLOTS: typing.Final = 10_000
"""The most slots of a target. The time to find how many of them add throughput
grows with their number."""


class Entry(typing.NamedTuple):
    """A registered target.

    ``born_ms`` is the wall time of the target's start in ms since 1970, by the
    target's own clock; a later one is another incarnation.
    ``slow_start_until_ms`` is the end of its slow start, on this instance's
    clock.
    """

    target_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    born_ms: int
    slow_start_until_ms: clock.Millis
    revision: int


class RemovedEntry(typing.NamedTuple):
    """The removal of an entry at a revision of the store.

    The entry is kept for ``doubt_ms`` more, as it may have been removed by
    error and may return.
    """

    target_id: str
    revision: int
    doubt_ms: clock.Millis = 0


class PendingRemoval(typing.NamedTuple):
    """An entry that the store removed, and when it is removed here."""

    revision: int
    remove_at_ms: clock.Millis


class RegistryTable(msgspec.Struct):
    """Entries by target, as of ``revision``; 0 before the first read.

    ``removal_revision_by_id`` holds the revisions of removals that came after
    the revision ``removals_since_revision``, and ``removed_born_ms_by_id`` the
    ``born_ms`` of the removed entries. ``leaving_born_ms_by_id`` holds the
    ``born_ms`` of each target that announced its leaving. A target in
    ``held_until_ms_by_id`` gets no calls until then, as its entry came back
    only with a restore of the store. ``ids_by_service`` omits a target whose
    address now belongs to a newer one.
    """

    revision: int = 0
    removals_since_revision: int = 0
    read_at_ms: clock.Millis = clock.NEVER_MS
    entry_by_id: dict[str, Entry] = msgspec.field(default_factory=dict)
    removal_revision_by_id: dict[str, int] = msgspec.field(default_factory=dict)
    pending_removal_by_id: dict[str, PendingRemoval] = msgspec.field(
        default_factory=dict
    )
    removed_born_ms_by_id: dict[str, int] = msgspec.field(default_factory=dict)
    held_until_ms_by_id: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict
    )
    leaving_born_ms_by_id: dict[str, int] = msgspec.field(default_factory=dict)
    ids_by_service: dict[str, tuple[str, ...]] = msgspec.field(
        default_factory=dict,
    )


def create() -> RegistryTable:
    """Create a table without targets."""
    return RegistryTable()


def index_by_service(table: RegistryTable) -> None:
    """Derive ``ids_by_service`` from the entries.

    Of several targets with one address only the newest is included.
    """
    newest_by_address: dict[str, Entry] = {}
    for entry in table.entry_by_id.values():
        other = newest_by_address.get(entry.address)
        if other is None or _start_order(entry) > _start_order(other):
            newest_by_address[entry.address] = entry
    ids_by_service: dict[str, list[str]] = {}
    for holder in newest_by_address.values():
        ids_by_service.setdefault(holder.service, []).append(holder.target_id)
    table.ids_by_service = {
        service: tuple(sorted(ids)) for service, ids in ids_by_service.items()
    }


def mark_leaving(table: RegistryTable, target_id: str, born_ms: int) -> bool:
    """Mark one incarnation of a target as leaving.

    Return false if that is known already, or if the registered incarnation
    is another one.
    """
    if table.leaving_born_ms_by_id.get(target_id) == born_ms:
        return False
    entry = table.entry_by_id.get(target_id)
    if entry is not None and entry.born_ms != born_ms:
        return False
    table.leaving_born_ms_by_id[target_id] = born_ms
    if entry is not None:
        table.entry_by_id[target_id] = entry._replace(leaving=True)
    return True


def is_leaving(table: RegistryTable, target_id: str) -> bool:
    """Return whether a target is leaving or is no longer registered."""
    entry = table.entry_by_id.get(target_id)
    return entry is None or entry.leaving


def _start_order(entry: Entry) -> tuple[int, int]:
    """Return a key that sorts entries of an address, the newest last."""
    return entry.born_ms, entry.revision
