"""The header names between callers, this system and targets."""

import typing

Headers: typing.TypeAlias = tuple[tuple[bytes, bytes], ...]

SERVICE: typing.Final = b'call-service'
DEADLINE_MS: typing.Final = b'call-deadline-ms'
DEPTH: typing.Final = b'call-depth'
OUTCOME: typing.Final = b'call-outcome'
REASON: typing.Final = b'call-reason'
KEY: typing.Final = b'idempotency-key'
RETRY_AFTER: typing.Final = b'retry-after'
CONTENT_LENGTH: typing.Final = b'content-length'
CONTENT_TYPE: typing.Final = b'content-type'
HOST: typing.Final = b'host'
LEAVING: typing.Final = b'call-target-leaving'

_HOP_BY_HOP: typing.Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)


def find(headers: typing.Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Return the first field of ``name`` (lower case), or empty bytes."""
    for field_name, field in headers:
        if field_name.lower() == name:
            return field
    return b''


def end_to_end(
    headers: typing.Iterable[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return the fields that a proxy passes on, names in lower case."""
    lowered = [(name.lower(), field) for name, field in headers]
    named = {
        token.strip().lower()
        for token in find(lowered, b'connection').split(b',')
    }
    dropped = _HOP_BY_HOP | named
    return [(name, field) for name, field in lowered if name not in dropped]
