"""Parses release notes, checks their chain and applies them."""

import collections
import hashlib
import typing

import msgspec
import result

from oleanderstair import errors
from oleanderstair.domain.configuration import note_schema
from oleanderstair.domain.tables import catalogue


class _NoteEntry(msgspec.Struct, forbid_unknown_fields=True):
    number: note_schema.POSITIVE
    parent: str
    added: note_schema.Changes = msgspec.field(
        default_factory=note_schema.Changes
    )
    changed: note_schema.Changes = msgspec.field(
        default_factory=note_schema.Changes
    )
    withdrawn: note_schema.Withdrawals = msgspec.field(
        default_factory=note_schema.Withdrawals
    )


NoteResult: typing.TypeAlias = result.Result[catalogue.Note, errors.Problem]
CatalogueResult: typing.TypeAlias = result.Result[
    catalogue.Catalogue,
    errors.Problem,
]


def body_digest(body: bytes) -> str:
    """Return the SHA-256 digest that the next note gives as its parent."""
    return hashlib.sha256(body).hexdigest()


def parse_note(body: bytes) -> NoteResult:
    """Decode the published bytes of a note."""
    try:
        entry = msgspec.json.decode(body, type=_NoteEntry)
    except msgspec.MsgspecError as error:
        return result.Err(
            _note_problem('note', str(error), 'correct the field')
        )
    return result.Ok(
        catalogue.Note(
            number=entry.number,
            parent=entry.parent,
            digest=body_digest(body),
            added_services=note_schema.services_of(entry.added),
            added_targets=note_schema.targets_of(entry.added),
            changed_services=note_schema.services_of(entry.changed),
            changed_targets=note_schema.targets_of(entry.changed),
            withdrawn_services=tuple(entry.withdrawn.services),
            withdrawn_targets=tuple(entry.withdrawn.targets),
        ),
    )


def apply_note(
    before: catalogue.Catalogue,
    note: catalogue.Note,
) -> CatalogueResult:
    """Return the catalogue after ``note``, or the problem if it is invalid."""
    problem = _find_note_problem(before, note)
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
        _reindex_targets(before, note, services, targets),
    )
    orphan = _find_orphan(after, note)
    return result.Err(orphan) if orphan else result.Ok(after)


def build_catalogue(
    number: int,
    note_digest: str,
    parts: typing.Sequence[note_schema.Changes],
) -> CatalogueResult:
    """Build the catalogue after note ``number`` from all of its entries.

    The entries are checked as if the first note had added all of them.
    """
    note = catalogue.Note(
        1,
        catalogue.GENESIS_DIGEST,
        note_digest,
        tuple(row for part in parts for row in note_schema.services_of(part)),
        tuple(row for part in parts for row in note_schema.targets_of(part)),
    )
    applied = apply_note(catalogue.empty_catalogue(), note)
    return applied.map(lambda built: built._replace(number=number))


def _reindex_targets(
    before: catalogue.Catalogue,
    note: catalogue.Note,
    services: dict[str, catalogue.Service],
    targets: dict[str, catalogue.Target],
) -> dict[str, tuple[str, ...]]:
    """Return target ids by service, updated for the affected services only."""
    index = dict(before.target_ids_by_service)
    for name in note.withdrawn_services:
        if name not in services and not index.get(name):
            index.pop(name, None)
    for service in note.added_services:
        index.setdefault(service.name, ())
    updated_targets = (*note.added_targets, *note.changed_targets)
    updated_ids = [target.target_id for target in updated_targets]
    members_by_service = _remaining_targets(
        before,
        [*updated_ids, *note.withdrawn_targets],
        {target.service for target in updated_targets},
    )
    for target_id in updated_ids:
        members_by_service[targets[target_id].service].add(target_id)
    for affected, members in members_by_service.items():
        index[affected] = tuple(sorted(members))
        if not members and affected not in services:
            index.pop(affected)
    return index


def _remaining_targets(
    before: catalogue.Catalogue,
    target_ids: list[str],
    services: set[str],
) -> dict[str, set[str]]:
    """Return the ids of each affected service's targets, minus ``target_ids``.

    The affected services are ``services`` and those that the targets of
    ``target_ids`` belonged to before the note.
    """
    existing = before.target_by_id
    previous_services = {
        existing[target_id].service
        for target_id in target_ids
        if target_id in existing
    }
    return {
        service: set(before.target_ids_by_service.get(service, ())).difference(
            target_ids,
        )
        for service in sorted(previous_services | services)
    }


def _find_orphan(
    after: catalogue.Catalogue,
    note: catalogue.Note,
) -> errors.Problem | None:
    """Return the problem of a target whose service does not exist, if any.

    Only the targets that ``note`` can affect are checked.
    """
    candidates = [*note.added_targets, *note.changed_targets]
    for name in note.withdrawn_services:
        members = after.target_ids_by_service.get(name, ())
        candidates.extend(after.target_by_id[member] for member in members)
    for target in candidates:
        if target.service not in after.service_by_name:
            return _note_problem(
                f'target {target.target_id}',
                f'its service {target.service} does not exist',
                'withdraw the target as well, or add the service',
            )
    return None


def _find_note_problem(
    before: catalogue.Catalogue,
    note: catalogue.Note,
) -> errors.Problem | None:
    if note.number != before.number + 1 or note.parent != before.digest:
        return _note_problem(
            'parent',
            f'the note does not follow note {before.number}',
            f'publish it as number {before.number + 1} on {before.digest!r}',
        )
    services = before.service_by_name.keys()
    targets = before.target_by_id.keys()
    added = [entry.name for entry in note.added_services]
    added_targets = [entry.target_id for entry in note.added_targets]
    affected = [
        *(entry.name for entry in note.changed_services),
        *note.withdrawn_services,
    ]
    affected_targets = [
        *(entry.target_id for entry in note.changed_targets),
        *note.withdrawn_targets,
    ]
    return (
        _find_duplicate('services', [*added, *affected])
        or _find_duplicate('targets', [*added_targets, *affected_targets])
        or _find_existing('added.services', added, services)
        or _find_existing('added.targets', added_targets, targets)
        or _find_unknown('services', affected, services)
        or _find_unknown('targets', affected_targets, targets)
    )


def _find_duplicate(where: str, names: list[str]) -> errors.Problem | None:
    for name, times in collections.Counter(names).items():
        if times > 1:
            return _note_problem(
                where, f'{name} is named twice', 'name it once'
            )
    return None


def _find_existing(
    where: str,
    names: list[str],
    existing: typing.Collection[str],
) -> errors.Problem | None:
    for name in names:
        if name in existing:
            return _note_problem(
                where, f'{name} exists', 'list it under changed'
            )
    return None


def _find_unknown(
    where: str,
    names: list[str],
    existing: typing.Collection[str],
) -> errors.Problem | None:
    for name in names:
        if name not in existing:
            return _note_problem(
                where, f'{name} is unknown', 'correct the name'
            )
    return None


def _note_problem(where: str, what: str, remedy: str) -> errors.Problem:
    return errors.Problem(errors.ProblemKind.NOTE, where, what, remedy)
