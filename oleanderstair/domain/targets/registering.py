"""Adopts what targets register, as read from the store or told by peers."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import registry


def on_read(
    state: world.World,
    event: events.RegistryRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take the whole registry; what it does not name is gone."""
    table = state.registry
    if event.revision < table.revision:
        return []
    before = table.entry_by_id
    table.entry_by_id = {entry.target_id: entry for entry in event.entries}
    _advance(state, event.revision, now_ms)
    return _told(before, table.entry_by_id)


def on_changed(
    state: world.World,
    event: events.RegistryChanged,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take changes that follow on the known revision."""
    table = state.registry
    if event.revision <= table.revision:
        return []
    before = dict(table.entry_by_id)
    for entry in event.entries:
        if not _is_newer(table, entry.target_id, entry.revision):
            continue
        table.entry_by_id[entry.target_id] = entry
    for gone in event.gone:
        if _is_newer(table, gone.target_id, gone.revision):
            table.entry_by_id.pop(gone.target_id, None)
    _advance(state, event.revision, now_ms)
    return _told(before, table.entry_by_id)


def _is_newer(
    table: registry.RegistryTable,
    target_id: str,
    revision: int,
) -> bool:
    """Return whether a change is newer than what a read has shown.

    The pages of a read are no snapshot, so a watch may repeat changes.
    """
    known = table.entry_by_id.get(target_id)
    return known is None or revision > known.revision


def _advance(
    state: world.World,
    revision: int,
    now_ms: clock.Millis,
) -> None:
    state.registry.revision = revision
    state.registry.read_at_ms = now_ms
    registry.index(state.registry)


def _told(
    before: dict[str, registry.Entry],
    after: dict[str, registry.Entry],
) -> list[actions.Action]:
    """Return an audit entry for each target that came, left or went."""
    told: list[actions.Action] = []
    for target_id in before.keys() | after.keys():
        old = before.get(target_id)
        new = after.get(target_id)
        why = _difference(old, new)
        if why:
            told.append(actions.Audit('target', target_id, 'registry', why))
    return told


def _difference(
    old: registry.Entry | None,
    new: registry.Entry | None,
) -> str:
    if new is None:
        return 'gone'
    if old is None or old.born_ms != new.born_ms:
        return 'leaving' if new.leaving else 'joined'
    if new.leaving and not old.leaving:
        return 'leaving'
    return ''
