"""Whole catalogues as values: an index and parts of whole services.

The index names the parts and their digests, so that parts of different
catalogues are never put together.
"""

import typing

import msgspec
import result

from oleanderstair import errors
from oleanderstair.domain.configuration import entries, notes
from oleanderstair.domain.tables import catalogue

INDEX_NAME: typing.Final = 'catalogue'
VALUE_LIMIT_BYTES: typing.Final = 1_000_000
_PART_LIMIT_BYTES: typing.Final = 900_000
_PART_COUNT_LIMIT: typing.Final = 64


class Part(msgspec.Struct, forbid_unknown_fields=True):
    """The name of a part's value and the digest of its bytes."""

    name: str
    digest: str


class Index(msgspec.Struct, forbid_unknown_fields=True):
    """The note that a whole catalogue stands at, and its parts."""

    number: entries.POSITIVE
    digest: str
    parts: typing.Annotated[
        list[Part],
        msgspec.Meta(min_length=1, max_length=_PART_COUNT_LIMIT),
    ]


class _Whole(msgspec.Struct, forbid_unknown_fields=True):
    number: entries.POSITIVE
    digest: str
    entries: entries.Changes


class Value(typing.NamedTuple):
    """A configuration value to publish."""

    name: str
    body: bytes


IndexResult: typing.TypeAlias = result.Result[Index, errors.Problem]
ValuesResult: typing.TypeAlias = result.Result[list[Value], errors.Problem]


def part_name(number: int, position: int) -> str:
    """Return the name of the value that holds one part."""
    return f'{INDEX_NAME}/{number}/{position}'


def encode(whole: catalogue.Catalogue) -> bytes:
    """Encode a whole catalogue as one document, for peers."""
    changes = entries.changes_of(
        whole.service_by_name.values(),
        whole.target_by_id.values(),
    )
    return msgspec.json.encode(_Whole(whole.number, whole.digest, changes))


def parse(body: bytes) -> notes.CatalogueResult:
    """Read a whole catalogue from one document."""
    try:
        whole = msgspec.json.decode(body, type=_Whole)
    except msgspec.MsgspecError as error:
        return result.Err(_problem(INDEX_NAME, str(error)))
    return notes.build(whole.number, whole.digest, [whole.entries])


def split(whole: catalogue.Catalogue) -> ValuesResult:
    """Return the values to publish: the parts, then their index.

    A service that alone is too large for a value is an error.
    """
    parts: list[Value] = []
    for group in _groups(whole):
        body = msgspec.json.encode(group)
        if len(body) >= VALUE_LIMIT_BYTES:
            return result.Err(
                _problem(
                    group.services[0].name,
                    f'the service takes {len(body)} bytes',
                    'split the service: a value stays under 1 MB',
                ),
            )
        parts.append(Value(part_name(whole.number, len(parts)), body))
    index = Index(
        whole.number,
        whole.digest,
        [Part(part.name, notes.digest(part.body)) for part in parts],
    )
    return result.Ok([*parts, Value(INDEX_NAME, msgspec.json.encode(index))])


def parse_index(body: bytes) -> IndexResult:
    """Read the index of a whole catalogue."""
    try:
        return result.Ok(msgspec.json.decode(body, type=Index))
    except msgspec.MsgspecError as error:
        return result.Err(_problem(INDEX_NAME, str(error)))


def join(
    index: Index,
    body_by_name: dict[str, bytes],
) -> notes.CatalogueResult:
    """Build the catalogue of an index whose parts have been read."""
    read: list[entries.Changes] = []
    for part in index.parts:
        body = body_by_name[part.name]
        try:
            read.append(msgspec.json.decode(body, type=entries.Changes))
        except msgspec.MsgspecError as error:
            return result.Err(_problem(part.name, str(error)))
    return notes.build(index.number, index.digest, read)


def _groups(whole: catalogue.Catalogue) -> typing.Iterator[entries.Changes]:
    """Group whole services into parts that stay below the limit."""
    group = entries.Changes()
    size = 0
    for name, service in whole.service_by_name.items():
        found = entries.changes_of(
            [service],
            [
                whole.target_by_id[target_id]
                for target_id in whole.target_ids_by_service[name]
            ],
        )
        added = len(msgspec.json.encode(found))
        if size and size + added > _PART_LIMIT_BYTES:
            yield group
            group = entries.Changes()
            size = 0
        group = entries.Changes(
            services=[*group.services, *found.services],
            targets=[*group.targets, *found.targets],
        )
        size += added
    yield group


def _problem(
    where: str,
    what: str,
    remedy: str = 'write it anew with `oleanderstair note compact`',
) -> errors.Problem:
    return errors.Problem(errors.ProblemKind.VALUE, where, what, remedy)
