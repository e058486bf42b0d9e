"""Encodes whole catalogues, and splits them into an index and parts.

A part holds complete services with their targets. The index lists the parts
with their digests, so that parts of different catalogues are never mixed.
"""

import typing

import msgspec
import result

from oleanderstair import errors
from oleanderstair.domain.configuration import note_schema, notes
from oleanderstair.domain.tables import catalogue

INDEX_NAME: typing.Final = 'catalogue'
"""The name of the configuration value that holds the index."""

MAX_VALUE_BYTES: typing.Final = 1_000_000
"""The size that a configuration value must stay below."""

_MAX_PART_BYTES: typing.Final = 900_000
"""The size of a part, added up over its services encoded one at a time. It is
below ``MAX_VALUE_BYTES`` to leave a margin."""

_MAX_PARTS: typing.Final = 64
"""How many parts an index may list."""


class Part(msgspec.Struct, forbid_unknown_fields=True):
    """A part of a catalogue: the name of its value and its body digest."""

    name: str
    digest: str


class Index(msgspec.Struct, forbid_unknown_fields=True):
    """The parts of a catalogue, and the last note that it includes."""

    number: note_schema.POSITIVE
    digest: str
    parts: typing.Annotated[
        list[Part],
        msgspec.Meta(min_length=1, max_length=_MAX_PARTS),
    ]


class _CatalogueDocument(msgspec.Struct, forbid_unknown_fields=True):
    number: note_schema.POSITIVE
    digest: str
    entries: note_schema.Changes


class PublishedValue(typing.NamedTuple):
    """A named configuration value that is ready to be published."""

    name: str
    body: bytes


IndexResult: typing.TypeAlias = result.Result[Index, errors.Problem]
ValuesResult: typing.TypeAlias = result.Result[
    list[PublishedValue], errors.Problem
]


def part_name(number: int, position: int) -> str:
    """Return the name of the value with the part at ``position``, from 0."""
    return f'{INDEX_NAME}/{number}/{position}'


def encode_catalogue(whole_catalogue: catalogue.Catalogue) -> bytes:
    """Encode a whole catalogue as one JSON document, as peers exchange it."""
    changes = note_schema.changes_of(
        whole_catalogue.service_by_name.values(),
        whole_catalogue.target_by_id.values(),
    )
    return msgspec.json.encode(
        _CatalogueDocument(
            whole_catalogue.number, whole_catalogue.digest, changes
        )
    )


def parse_catalogue(body: bytes) -> notes.CatalogueResult:
    """Decode a whole catalogue from one JSON document."""
    try:
        document = msgspec.json.decode(body, type=_CatalogueDocument)
    except msgspec.MsgspecError as error:
        return result.Err(_value_problem(INDEX_NAME, str(error)))
    return notes.build_catalogue(
        document.number, document.digest, [document.entries]
    )


def split_catalogue(whole_catalogue: catalogue.Catalogue) -> ValuesResult:
    """Return the values to publish: the parts, then their index.

    Return a problem if a single service reaches ``MAX_VALUE_BYTES``.
    """
    parts: list[PublishedValue] = []
    for group in _group_services(whole_catalogue):
        body = msgspec.json.encode(group)
        if len(body) >= MAX_VALUE_BYTES:
            return result.Err(
                _value_problem(
                    group.services[0].name,
                    f'the service takes {len(body)} bytes',
                    'split the service: a value stays under 1 MB',
                ),
            )
        parts.append(
            PublishedValue(part_name(whole_catalogue.number, len(parts)), body)
        )
    index = Index(
        whole_catalogue.number,
        whole_catalogue.digest,
        [Part(part.name, notes.body_digest(part.body)) for part in parts],
    )
    return result.Ok(
        [*parts, PublishedValue(INDEX_NAME, msgspec.json.encode(index))]
    )


def parse_index(body: bytes) -> IndexResult:
    """Decode the index of a whole catalogue."""
    try:
        return result.Ok(msgspec.json.decode(body, type=Index))
    except msgspec.MsgspecError as error:
        return result.Err(_value_problem(INDEX_NAME, str(error)))


def join_parts(
    index: Index,
    body_by_name: dict[str, bytes],
) -> notes.CatalogueResult:
    """Build the catalogue of ``index`` from the bodies of its parts.

    ``note_values`` has checked the digests of the parts. Return a problem if a
    part can't be decoded or an entry is invalid.
    """
    decoded: list[note_schema.Changes] = []
    for part in index.parts:
        body = body_by_name[part.name]
        try:
            decoded.append(msgspec.json.decode(body, type=note_schema.Changes))
        except msgspec.MsgspecError as error:
            return result.Err(_value_problem(part.name, str(error)))
    return notes.build_catalogue(index.number, index.digest, decoded)


def _group_services(
    whole_catalogue: catalogue.Catalogue,
) -> typing.Iterator[note_schema.Changes]:
    """Group complete services into parts.

    A part exceeds ``_MAX_PART_BYTES`` only if a single service does.
    """
    group = note_schema.Changes()
    size_bytes = 0
    for name, service in whole_catalogue.service_by_name.items():
        members = note_schema.changes_of(
            [service],
            [
                whole_catalogue.target_by_id[target_id]
                for target_id in whole_catalogue.target_ids_by_service[name]
            ],
        )
        added_bytes = len(msgspec.json.encode(members))
        if size_bytes and size_bytes + added_bytes > _MAX_PART_BYTES:
            yield group
            group = note_schema.Changes()
            size_bytes = 0
        group = note_schema.Changes(
            services=[*group.services, *members.services],
            targets=[*group.targets, *members.targets],
        )
        size_bytes += added_bytes
    yield group


def _value_problem(
    where: str,
    what: str,
    remedy: str = 'write it anew with `oleanderstair note compact`',
) -> errors.Problem:
    return errors.Problem(errors.ProblemKind.VALUE, where, what, remedy)
