"""Header names and parsing for requests and answers."""

import re
import typing

from oleanderstair import clock

Fields: typing.TypeAlias = list[tuple[bytes, bytes]]
AnyFields: typing.TypeAlias = typing.Iterable[tuple[bytes, bytes]]

SERVICE: typing.Final = b'call-service'
DEADLINE_MS: typing.Final = b'call-deadline-ms'
DEPTH: typing.Final = b'call-depth'
OUTCOME: typing.Final = b'call-outcome'
REASON: typing.Final = b'call-reason'
KEY: typing.Final = b'idempotency-key'
RETRY_AFTER: typing.Final = b'retry-after'
CONNECTION: typing.Final = b'connection'
CONTENT_LENGTH: typing.Final = b'content-length'
CONTENT_TYPE: typing.Final = b'content-type'
KEEP_ALIVE: typing.Final = b'keep-alive'
HOST: typing.Final = b'host'
LEAVING: typing.Final = b'call-target-leaving'
TRANSFER_ENCODING: typing.Final = b'transfer-encoding'

MAX_COUNT_DIGITS: typing.Final = 9
"""Maximum number of digits of a whole number in a header field."""

_MS_PER_S: typing.Final = 1000
_HOP_BY_HOP: typing.Final = frozenset(
    (
        CONNECTION,
        TRANSFER_ENCODING,
        KEEP_ALIVE,
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'upgrade',
    ),
)
_REPLACED_REQUEST_FIELDS: typing.Final = frozenset(
    (HOST, SERVICE, DEADLINE_MS, DEPTH, CONTENT_LENGTH, b'expect'),
)
"""Request fields that are set anew or, like Expect, handled by this system."""

_REPLACED_ANSWER_FIELDS: typing.Final = frozenset(
    (OUTCOME, REASON, CONTENT_LENGTH)
)
_CONTROL_CHARACTER: typing.Final = re.compile(b'[\x00-\x08\x0a-\x1f\x7f]')


class FieldIndex(typing.NamedTuple):
    """Fields by lower-case name; ``repeated_names`` occur more than once."""

    field_by_name: dict[bytes, bytes]
    repeated_names: frozenset[bytes]


def index_fields(fields: AnyFields) -> FieldIndex:
    """Return the first field of each name, and the repeated names."""
    field_by_name: dict[bytes, bytes] = {}
    repeated = []
    for name, field in fields:
        lower_name = name.lower()
        if lower_name in field_by_name:
            repeated.append(lower_name)
        else:
            field_by_name[lower_name] = field
    return FieldIndex(field_by_name, frozenset(repeated))


def find_field(fields: AnyFields, name: bytes) -> bytes:
    """Return the value of the first field ``name`` (lower case), or b''."""
    for field_name, field in fields:
        if field_name.lower() == name:
            return field
    return b''


def keep_forwarded_fields(fields: AnyFields) -> Fields:
    """Return the fields of a request that are forwarded to its target.

    Hop-by-hop fields, and those that this system sets itself, are left out.
    """
    return _drop_fields(fields, _REPLACED_REQUEST_FIELDS)


def build_target_fields(
    forwarded: Fields,
    service: str,
    depth: int,
    remaining_ms: clock.Millis,
) -> Fields:
    """Return the request fields of an attempt.

    These are host, remaining time (at least 1 ms) and depth, followed by
    ``forwarded``, the fields of the caller's request.
    """
    return [
        (HOST, service.encode()),
        (DEADLINE_MS, str(max(int(remaining_ms), 1)).encode()),
        (DEPTH, str(depth + 1).encode()),
        *forwarded,
    ]


def keep_answer_fields(fields: AnyFields) -> Fields:
    """Return the answer fields that are forwarded to the caller.

    Hop-by-hop fields, and those that this system sets itself, are left out.
    """
    return _drop_fields(fields, _REPLACED_ANSWER_FIELDS)


def parse_count(text: bytes) -> int | None:
    """Return a whole number of up to 9 digits, or None for anything else."""
    if not text.isdigit() or len(text) > MAX_COUNT_DIGITS:
        return None
    return int(text)


def parse_decimal(text: bytes) -> float | None:
    """Return a decimal number of up to 9 whole digits, or None if invalid."""
    whole, _, fraction = text.partition(b'.')
    if fraction and not fraction.isdigit():
        return None
    if parse_count(whole) is None:
        return None
    return float(text)


def parse_duration_ms(text: bytes) -> clock.Millis | None:
    """Return a duration given in decimal seconds, or None if invalid."""
    seconds = parse_decimal(text)
    return None if seconds is None else seconds * _MS_PER_S


def parse_retry_after_ms(fields: AnyFields) -> clock.Millis:
    """Return ``retry-after`` in ms, 0 if it is missing or a date."""
    seconds = parse_count(find_field(fields, RETRY_AFTER).strip())
    return (seconds or 0) * _MS_PER_S


def is_free_of_control_characters(fields: AnyFields) -> bool:
    """Return whether no field value has a control character except tab."""
    return (
        _CONTROL_CHARACTER.search(b''.join(field for _, field in fields))
        is None
    )


def _drop_fields(fields: AnyFields, also_dropped: frozenset[bytes]) -> Fields:
    lower_fields = [(name.lower(), field) for name, field in fields]
    dropped = set(_HOP_BY_HOP | also_dropped)
    for connection_field in _values_of(lower_fields, CONNECTION):
        dropped.update(
            token.strip().lower() for token in connection_field.split(b',')
        )
    return [
        (name, field) for name, field in lower_fields if name not in dropped
    ]


def _values_of(lower_fields: Fields, lower_name: bytes) -> list[bytes]:
    return [field for name, field in lower_fields if name == lower_name]
