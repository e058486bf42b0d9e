"""Release notes: reading them, chaining them, and applying them."""

import collections
import hashlib
import typing

import msgspec
import result

from oleanderstair import errors
from oleanderstair.domain.configuration import entries
from oleanderstair.domain.tables import catalogue


class _NoteEntry(msgspec.Struct, forbid_unknown_fields=True):
    number: entries.POSITIVE
    parent: str
    added: entries.Changes = msgspec.field(default_factory=entries.Changes)
    changed: entries.Changes = msgspec.field(default_factory=entries.Changes)
    withdrawn: entries.Withdrawals = msgspec.field(
        default_factory=entries.Withdrawals
    )


NoteResult: typing.TypeAlias = result.Result[catalogue.Note, errors.Problem]
CatalogueResult: typing.TypeAlias = result.Result[
    catalogue.Catalogue,
    errors.Problem,
]


def digest(body: bytes) -> str:
    """Return the digest by which the next note names this one."""
    return hashlib.sha256(body).hexdigest()


def parse(body: bytes) -> NoteResult:
    """Read the published bytes of a note."""
    try:
        entry = msgspec.json.decode(body, type=_NoteEntry)
    except msgspec.MsgspecError as error:
        return result.Err(_problem('note', str(error), 'correct the field'))
    return result.Ok(
        catalogue.Note(
            number=entry.number,
            parent=entry.parent,
            digest=digest(body),
            added_services=entries.services_of(entry.added),
            added_targets=entries.targets_of(entry.added),
            changed_services=entries.services_of(entry.changed),
            changed_targets=entries.targets_of(entry.changed),
            withdrawn_services=tuple(entry.withdrawn.services),
            withdrawn_targets=tuple(entry.withdrawn.targets),
        ),
    )


def apply_note(
    before: catalogue.Catalogue,
    note: catalogue.Note,
) -> CatalogueResult:
    """Return the catalogue after ``note``, or why the note is refused."""
    problem = _find_problem(before, note)
    if problem is not None:
        return result.Err(problem)
    services = dict(before.service_by_name)
    for name in note.withdrawn_services:
        services.pop(name)
    for service in (*note.added_services, *note.changed_services):
        services[service.name] = service
    targets = dict(before.target_by_id)
    for target_id in note.withdrawn_targets:
        targets.pop(target_id)
    for target in (*note.added_targets, *note.changed_targets):
        targets[target.target_id] = target
    after = catalogue.Catalogue(
        note.number,
        note.digest,
        services,
        targets,
        _reindex(before, note, services, targets),
    )
    orphan = _find_orphan(after, note)
    return result.Err(orphan) if orphan else result.Ok(after)


def build(
    number: int,
    note_digest: str,
    parts: typing.Sequence[entries.Changes],
) -> CatalogueResult:
    """Build a whole catalogue from the entries of its parts."""
    note = catalogue.Note(
        1,
        catalogue.GENESIS_DIGEST,
        note_digest,
        tuple(row for part in parts for row in entries.services_of(part)),
        tuple(row for part in parts for row in entries.targets_of(part)),
    )
    applied = apply_note(catalogue.empty(), note)
    return applied.map(lambda whole: whole._replace(number=number))


def _reindex(
    before: catalogue.Catalogue,
    note: catalogue.Note,
    services: dict[str, catalogue.Service],
    targets: dict[str, catalogue.Target],
) -> dict[str, tuple[str, ...]]:
    """Return the index of targets, made anew for touched services only."""
    index = dict(before.target_ids_by_service)
    for name in note.withdrawn_services:
        if name not in services and not index.get(name):
            index.pop(name, None)
    for service in note.added_services:
        index.setdefault(service.name, ())
    present = (*note.added_targets, *note.changed_targets)
    moved = [target.target_id for target in present]
    members_by_service = _members(
        before,
        [*moved, *note.withdrawn_targets],
        {target.service for target in present},
    )
    for target_id in moved:
        members_by_service[targets[target_id].service].add(target_id)
    for touched, members in members_by_service.items():
        index[touched] = tuple(sorted(members))
        if not members and touched not in services:
            index.pop(touched)
    return index


def _members(
    before: catalogue.Catalogue,
    target_ids: list[str],
    services: set[str],
) -> dict[str, set[str]]:
    """Return the targets of all touched services without ``target_ids``."""
    known = before.target_by_id
    left = {known[found].service for found in target_ids if found in known}
    return {
        service: set(before.target_ids_by_service.get(service, ())).difference(
            target_ids,
        )
        for service in sorted(left | services)
    }


def _find_orphan(
    after: catalogue.Catalogue,
    note: catalogue.Note,
) -> errors.Problem | None:
    suspects = [*note.added_targets, *note.changed_targets]
    for name in note.withdrawn_services:
        members = after.target_ids_by_service.get(name, ())
        suspects.extend(after.target_by_id[found] for found in members)
    for target in suspects:
        if target.service not in after.service_by_name:
            return _problem(
                f'target {target.target_id}',
                f'its service {target.service} does not exist',
                'withdraw the target as well, or add the service',
            )
    return None


def _find_problem(
    before: catalogue.Catalogue,
    note: catalogue.Note,
) -> errors.Problem | None:
    if note.number != before.number + 1 or note.parent != before.digest:
        return _problem(
            'parent',
            f'the note does not follow note {before.number}',
            f'publish it as number {before.number + 1} on {before.digest!r}',
        )
    services = before.service_by_name.keys()
    targets = before.target_by_id.keys()
    added = [entry.name for entry in note.added_services]
    added_targets = [entry.target_id for entry in note.added_targets]
    touched = [
        *(entry.name for entry in note.changed_services),
        *note.withdrawn_services,
    ]
    touched_targets = [
        *(entry.target_id for entry in note.changed_targets),
        *note.withdrawn_targets,
    ]
    return (
        _find_duplicate('services', [*added, *touched])
        or _find_duplicate('targets', [*added_targets, *touched_targets])
        or _find_present('added.services', added, services)
        or _find_present('added.targets', added_targets, targets)
        or _find_missing('services', touched, services)
        or _find_missing('targets', touched_targets, targets)
    )


def _find_duplicate(where: str, names: list[str]) -> errors.Problem | None:
    for name, times in collections.Counter(names).items():
        if times > 1:
            return _problem(where, f'{name} is named twice', 'name it once')
    return None


def _find_present(
    where: str,
    names: list[str],
    known: typing.Collection[str],
) -> errors.Problem | None:
    for name in names:
        if name in known:
            return _problem(where, f'{name} exists', 'list it under changed')
    return None


def _find_missing(
    where: str,
    names: list[str],
    known: typing.Collection[str],
) -> errors.Problem | None:
    for name in names:
        if name not in known:
            return _problem(where, f'{name} is unknown', 'correct the name')
    return None


def _problem(where: str, what: str, remedy: str) -> errors.Problem:
    return errors.Problem(errors.ProblemKind.NOTE, where, what, remedy)
