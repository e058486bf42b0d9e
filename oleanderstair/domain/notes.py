"""Release notes: reading them, chaining them, and applying them."""

import hashlib
import typing

import msgspec
import result

from oleanderstair import errors
from oleanderstair.domain.tables import catalogue

_NAME = typing.Annotated[
    str,
    msgspec.Meta(pattern='^[a-z0-9][a-z0-9-]{0,62}$'),
]
_LARGEST: typing.Final = 100_000_000
_POSITIVE = typing.Annotated[int, msgspec.Meta(ge=1, le=_LARGEST)]
_SHARE = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]


class _Changes(msgspec.Struct, forbid_unknown_fields=True):
    services: list['_ServiceEntry'] = []
    targets: list['_TargetEntry'] = []


class _Withdrawals(msgspec.Struct, forbid_unknown_fields=True):
    services: list[_NAME] = []
    targets: list[_NAME] = []


class _RuleEntry(msgspec.Struct, forbid_unknown_fields=True):
    path_prefix: str
    method: str = ''
    idempotent: bool | None = None
    call_class: catalogue.CallClass | None = None


class _ServiceEntry(msgspec.Struct, forbid_unknown_fields=True):
    name: _NAME
    region: _NAME
    call_class: catalogue.CallClass = catalogue.CallClass.INTERACTIVE
    deadline_ms: _POSITIVE = 1000
    probe_budget_per_s: _POSITIVE = 20
    retry_share: _SHARE = 0.1
    hedge_share: _SHARE = 0.02
    rules: list[_RuleEntry] = []


class _TargetEntry(msgspec.Struct, forbid_unknown_fields=True):
    id: _NAME
    service: _NAME
    address: typing.Annotated[str, msgspec.Meta(pattern=r'^[\w.:\[\]-]+:\d+$')]
    data_centre: _NAME
    slots: _POSITIVE
    connections: _POSITIVE = 300


class _NoteEntry(msgspec.Struct, forbid_unknown_fields=True):
    number: _POSITIVE
    parent: str
    added: _Changes = msgspec.field(default_factory=_Changes)
    changed: _Changes = msgspec.field(default_factory=_Changes)
    withdrawn: _Withdrawals = msgspec.field(default_factory=_Withdrawals)


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
            added_services=_services(entry.added),
            added_targets=_targets(entry.added),
            changed_services=_services(entry.changed),
            changed_targets=_targets(entry.changed),
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
    targets = dict(before.target_by_id)
    for name in note.withdrawn_services:
        services.pop(name)
    for target_id in note.withdrawn_targets:
        targets.pop(target_id)
    for service in (*note.added_services, *note.changed_services):
        services[service.name] = service
    for target in (*note.added_targets, *note.changed_targets):
        targets[target.target_id] = target
    return _check_whole(note, services, targets)


def assemble(
    number: int,
    note_digest: str,
    services: dict[str, catalogue.Service],
    targets: dict[str, catalogue.Target],
) -> catalogue.Catalogue:
    """Build a catalogue and its index of targets by service."""
    ids_by_service: dict[str, list[str]] = {name: [] for name in services}
    for target in targets.values():
        ids_by_service[target.service].append(target.target_id)
    return catalogue.Catalogue(
        number,
        note_digest,
        services,
        targets,
        {name: tuple(sorted(ids)) for name, ids in ids_by_service.items()},
    )


def _check_whole(
    note: catalogue.Note,
    services: dict[str, catalogue.Service],
    targets: dict[str, catalogue.Target],
) -> CatalogueResult:
    for target in targets.values():
        if target.service not in services:
            return result.Err(
                _problem(
                    f'target {target.target_id}',
                    f'its service {target.service} does not exist',
                    'withdraw the target as well, or add the service',
                ),
            )
    return result.Ok(assemble(note.number, note.digest, services, targets))


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
    for name in names:
        if names.count(name) > 1:
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


def _services(changes: _Changes) -> tuple[catalogue.Service, ...]:
    return tuple(
        catalogue.Service(
            name=entry.name,
            region=entry.region,
            call_class=entry.call_class,
            deadline_ms=entry.deadline_ms,
            probe_budget_per_s=entry.probe_budget_per_s,
            retry_share=entry.retry_share,
            hedge_share=entry.hedge_share,
            rules=tuple(
                catalogue.CallRule(
                    rule.path_prefix,
                    rule.method,
                    rule.idempotent,
                    rule.call_class,
                )
                for rule in entry.rules
            ),
        )
        for entry in changes.services
    )


def _targets(changes: _Changes) -> tuple[catalogue.Target, ...]:
    return tuple(
        catalogue.Target(
            target_id=entry.id,
            service=entry.service,
            address=entry.address,
            data_centre=entry.data_centre,
            slots=entry.slots,
            connections=entry.connections,
        )
        for entry in changes.targets
    )


def _problem(where: str, what: str, remedy: str) -> errors.Problem:
    return errors.Problem(errors.ProblemKind.NOTE, where, what, remedy)
