"""Adopts registry changes that are read from the store or sent by peers."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import load_reports, registry, revisions
from oleanderstair.domain.targets import slow_start_limits

MAX_REMEMBERED_TARGETS: typing.Final = 4096
"""The maximum number of removed entries, and of leaving targets, in memory."""

RESTORED_HOLD_MS: typing.Final[clock.Millis] = 8000
"""How long a removed target that is back after a restore gets no calls.

The entry of a target that has ended expires again within this time.
"""


def on_registry_read(
    state: world.World,
    event: events.RegistryRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Adopt a read of the whole registry; entries not in it are removed.

    They are removed after ``doubt_ms``, as they may come back after an
    outage. An unreadable entry counts as present, so the last good one is
    kept. After a restore of the store, an entry of an earlier incarnation
    than the known one is ignored.
    """
    table = state.registry
    if event.revision < table.revision:
        return []
    restores = _record_era(state, event.revision, now_ms)
    present = event.unreadable.union(entry.target_id for entry in event.entries)
    missing = tuple(
        registry.RemovedEntry(entry.target_id, event.revision, event.doubt_ms)
        for entry in table.entry_by_id.values()
        if entry.target_id not in present and entry.revision <= event.revision
    )
    entries = tuple(
        entry for entry in event.entries if not _is_superseded(table, entry)
    )
    changed = events.RegistryChanged(
        event.revision,
        entries,
        (*missing, *event.gone),
    )
    return [*restores, *_apply_change(state, changed, now_ms)]


def on_registry_changed(
    state: world.World,
    event: events.RegistryChanged,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Adopt registry changes that are newer than the known revision."""
    if event.revision <= state.registry.revision:
        return []
    return _apply_change(state, event, now_ms)


def _record_era(
    state: world.World,
    revision: int,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Note that the known changes begin with a read of a new era.

    Removals are then in doubt, as after an outage. Return an audit entry if
    the store was restored, nothing at a first read.
    """
    table = state.registry
    era = revisions.era_of(revision)
    if table.revision and era == revisions.era_of(table.revision):
        return []
    table.removals_since_revision = revision
    if not table.revision:
        return []
    state.store.returned_at_ms = now_ms
    why = 'restored from a copy; the whole store was read'
    return [actions.Audit('store', str(era), 'registry', why)]


def _is_superseded(
    table: registry.RegistryTable, entry: registry.Entry
) -> bool:
    """Return whether a later incarnation is known from before a restore."""
    known = table.entry_by_id.get(entry.target_id)
    if known is None or entry.born_ms >= known.born_ms:
        return False
    return revisions.era_of(known.revision) < revisions.era_of(entry.revision)


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Remove the entries whose scheduled removal after an outage is due."""
    table = state.registry
    due_removals = [
        registry.RemovedEntry(target_id, pending.revision)
        for target_id, pending in table.pending_removal_by_id.items()
        if now_ms >= pending.remove_at_ms
    ]
    if not due_removals:
        return []
    records = [
        _apply_removal(table, removal, now_ms) for removal in due_removals
    ]
    registry.index_by_service(table)
    return [action for action in records if action is not None]


def _apply_change(
    state: world.World,
    event: events.RegistryChanged,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    table = state.registry
    records = [_apply_entry(state, entry, now_ms) for entry in event.entries]
    records.extend(
        _apply_removal(table, removal, now_ms) for removal in event.gone
    )
    table.revision = event.revision
    table.read_at_ms = now_ms
    _drop_oldest_remembered(table)
    if event.entries or event.gone:
        registry.index_by_service(table)
    return [action for action in records if action is not None]


def _apply_entry(
    state: world.World,
    entry: registry.Entry,
    now_ms: clock.Millis,
) -> actions.Action | None:
    """Adopt an entry if it is newer than the known state of its target.

    The pages of a read are not a snapshot, so a watch may repeat changes that
    were read. An update of a known target is refused if its service is not
    configured.
    Return the audit record of a change, None if there is none.
    """
    table = state.registry
    target_id = entry.target_id
    previous = table.entry_by_id.get(target_id)
    previous_revision = previous.revision if previous else 0
    newest_revision = max(
        previous_revision, table.removal_revision_by_id.get(target_id, 0)
    )
    if entry.revision <= newest_revision:
        return None
    if previous is not None and not _is_service_configured(state, entry):
        return actions.Audit(
            'target',
            target_id,
            'registry',
            f'refused: no service {entry.service!r}; the last good one stays',
        )
    if table.leaving_born_ms_by_id.get(target_id) == entry.born_ms:
        # A target that has announced its leaving returns only by a restart.
        entry = entry._replace(leaving=True)
    if entry.leaving:
        table.leaving_born_ms_by_id[target_id] = entry.born_ms
    if previous is not None and previous.born_ms != entry.born_ms:
        load_reports.reset_load(state.loads, target_id)
    if previous is None or previous.born_ms != entry.born_ms:
        slow_start_limits.record_entry(state, entry, now_ms)
    table.entry_by_id[target_id] = entry
    is_held = _hold_if_restored(table, entry, now_ms)
    table.removal_revision_by_id.pop(target_id, None)
    table.removed_born_ms_by_id.pop(target_id, None)
    table.pending_removal_by_id.pop(target_id, None)
    if is_held:
        return _audit_target(target_id, 'back with a restore; gets no calls')
    return _audit_target(target_id, _describe_change(previous, entry))


def _hold_if_restored(
    table: registry.RegistryTable,
    entry: registry.Entry,
    now_ms: clock.Millis,
) -> bool:
    """Hold back a removed target whose entry only a restore has brought back.

    A later change of the entry comes from the target itself and ends that.
    """
    target_id = entry.target_id
    removed_born_ms = table.removed_born_ms_by_id.get(target_id)
    removal_era = revisions.era_of(
        table.removal_revision_by_id.get(target_id, entry.revision)
    )
    is_held = (
        removed_born_ms is not None
        and entry.born_ms <= removed_born_ms
        and removal_era < revisions.era_of(entry.revision)
    )
    if is_held:
        table.held_until_ms_by_id[target_id] = now_ms + RESTORED_HOLD_MS
    else:
        table.held_until_ms_by_id.pop(target_id, None)
    return is_held


def _apply_removal(
    table: registry.RegistryTable,
    removal: registry.RemovedEntry,
    now_ms: clock.Millis,
) -> actions.Action | None:
    """Remove an entry, or schedule its removal if it may come back."""
    target_id = removal.target_id
    previous = table.entry_by_id.get(target_id)
    if previous is not None and removal.revision <= previous.revision:
        return None
    table.removal_revision_by_id.pop(target_id, None)
    table.removal_revision_by_id[target_id] = removal.revision
    if previous is None:
        return None
    if removal.doubt_ms:
        remove_at_ms = now_ms + removal.doubt_ms
        table.pending_removal_by_id[target_id] = registry.PendingRemoval(
            removal.revision, remove_at_ms
        )
        return _audit_target(target_id, 'missing after an outage')
    table.pending_removal_by_id.pop(target_id, None)
    table.entry_by_id.pop(target_id)
    table.removed_born_ms_by_id[target_id] = previous.born_ms
    return _audit_target(target_id, 'gone')


def _is_service_configured(state: world.World, entry: registry.Entry) -> bool:
    """Return whether the configuration has the entry's service.

    Also true as long as no configuration is in force.
    """
    in_force = state.routes.in_force
    return in_force is None or entry.service in in_force.service_by_name


def _drop_oldest_remembered(table: registry.RegistryTable) -> None:
    """Keep at most ``MAX_REMEMBERED_TARGETS`` removals and leaving targets.

    Raise ``removals_since_revision`` to the revision of each dropped removal.
    """
    while len(table.removal_revision_by_id) > MAX_REMEMBERED_TARGETS:
        oldest = next(iter(table.removal_revision_by_id))
        revision = table.removal_revision_by_id.pop(oldest)
        table.removed_born_ms_by_id.pop(oldest, None)
        table.removals_since_revision = max(
            table.removals_since_revision, revision
        )
    while len(table.leaving_born_ms_by_id) > MAX_REMEMBERED_TARGETS:
        table.leaving_born_ms_by_id.pop(next(iter(table.leaving_born_ms_by_id)))


def _audit_target(target_id: str, change: str) -> actions.Action | None:
    """Return the audit record of a change, None if the change is empty."""
    if not change:
        return None
    return actions.Audit('target', target_id, 'registry', change)


def _describe_change(
    previous: registry.Entry | None,
    current: registry.Entry,
) -> str:
    """Return the change to audit, an empty string if there is none."""
    if previous is None or previous.born_ms != current.born_ms:
        return 'leaving' if current.leaving else 'joined'
    if current.leaving and not previous.leaving:
        return 'leaving'
    return ''
