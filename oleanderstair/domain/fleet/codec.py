"""The wire format between instances: a version byte, then msgpack.

Large states of the store are compressed, as each is sent to many instances.
"""

import typing
import zlib

import msgspec
import result

from oleanderstair import errors
from oleanderstair.domain import messages

WIRE_VERSION: typing.Final = 1

COMPRESSED_VERSION: typing.Final = 2
"""The version byte of a compressed message."""

MAX_MESSAGE_BYTES: typing.Final = 4_000_000
"""The maximum size of a message after decompression."""

_MIN_COMPRESSED_BYTES: typing.Final = 1000
"""The size from which a state of the store is compressed."""

_COMPRESSION_LEVEL: typing.Final = 1

_LOAD_PREFIX: typing.Final = 'load/'

_Encoded: typing.TypeAlias = tuple[str, typing.Any]
_EncodedFacts: typing.TypeAlias = list[tuple[str, int, float, str, typing.Any]]

_MESSAGE_BY_TAG: typing.Final[dict[str, type[messages.Message]]] = {
    'hb': messages.Heartbeat,
    'pu': messages.Pulse,
    'fa': messages.Facts,
    'fd': messages.FactsDigest,
    'nh': messages.NoteHead,
    'nr': messages.NoteRequest,
    'nb': messages.NoteBody,
    'kc': messages.KeyedCall,
    'ka': messages.KeyedAnswer,
    'xc': messages.CallCancelled,
    'pi': messages.PeerIsolated,
    'cc': messages.CallCrashed,
    'lt': messages.TargetLeft,
    'ls': messages.TargetLimited,
    'tc': messages.TargetCold,
    'ro': messages.Roster,
    'sa': messages.StoreAsk,
    'ss': messages.StoreState,
    'or': messages.OperatorStateRequest,
    'os': messages.OperatorState,
}
_BODY_BY_TAG: typing.Final[dict[str, type[messages.FactBody]]] = {
    'tl': messages.TargetLeaving,
    'rs': messages.RampState,
    'lo': messages.TargetLoad,
    'cs': messages.CallSuspect,
    'ip': messages.InstancePlace,
}
_TAG_BY_MESSAGE: typing.Final = {
    kind: tag for tag, kind in _MESSAGE_BY_TAG.items()
}
_TAG_BY_BODY: typing.Final = {kind: tag for tag, kind in _BODY_BY_TAG.items()}
_VERSION_PREFIX: typing.Final = bytes([WIRE_VERSION])
_COMPRESSED_PREFIX: typing.Final = bytes([COMPRESSED_VERSION])


def encode(message: messages.Message) -> bytes:
    """Encode ``message`` for a peer."""
    fields: typing.Any = message
    if isinstance(message, messages.Facts):
        fields = _encode_facts(message.facts)
    tagged = (_TAG_BY_MESSAGE[type(message)], fields)
    packed = msgspec.msgpack.encode(tagged)
    is_state = isinstance(message, messages.StoreState)
    if is_state and len(packed) >= _MIN_COMPRESSED_BYTES:
        return _COMPRESSED_PREFIX + zlib.compress(packed, _COMPRESSION_LEVEL)
    return _VERSION_PREFIX + packed


def decode(frame: bytes) -> result.Result[messages.Message, errors.Problem]:
    """Decode a frame from a peer.

    Return an error for another wire version, an unknown tag, fields that
    don't fit the message, or more than ``MAX_MESSAGE_BYTES``.
    """
    if frame[:1] not in {_VERSION_PREFIX, _COMPRESSED_PREFIX}:
        return result.Err(_decode_problem('unknown wire version'))
    try:
        return result.Ok(_decode_tagged(_unpack(frame)))
    except (msgspec.MsgspecError, KeyError, ValueError, TypeError) as error:
        return result.Err(_decode_problem(str(error)))


def _unpack(frame: bytes) -> bytes:
    """Return the packed message of a frame.

    Raise ``ValueError`` if it is too large, cut short or malformed.
    """
    if frame[:1] == _VERSION_PREFIX:
        return frame[1:]
    unpacker = zlib.decompressobj()
    try:
        packed = unpacker.decompress(frame[1:], MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not unpacker.eof:
        raise ValueError('a compressed message is too large or incomplete')
    return packed


def _decode_tagged(packed: bytes) -> messages.Message:
    tag, fields = msgspec.msgpack.decode(packed, type=_Encoded)
    if tag == _TAG_BY_MESSAGE[messages.Facts]:
        return messages.Facts(tuple(_decode_facts(fields)))
    return msgspec.convert(fields, _MESSAGE_BY_TAG[tag])


def _encode_facts(
    facts: tuple[messages.Fact, ...],
) -> dict[str, list[typing.Any]]:
    """Group facts by origin, so that the long origin is sent only once."""
    encoded_by_origin: dict[str, list[typing.Any]] = {}
    for fact in facts:
        encoded = encoded_by_origin.setdefault(fact.origin, [])
        encoded.append(_encode_fact(fact))
    return encoded_by_origin


def _encode_fact(fact: messages.Fact) -> tuple[typing.Any, ...]:
    """Return the fields of a fact without its origin.

    The usual subject of a target load is sent as an empty string, as it can
    be derived from the target id.
    """
    subject = fact.subject
    body = fact.body
    if isinstance(body, messages.TargetLoad):
        body = body._replace(report_age_ms=int(body.report_age_ms))
        if subject == f'{_LOAD_PREFIX}{body.target_id}':
            subject = ''
    tag = _TAG_BY_BODY[type(body)]
    return (subject, fact.sequence, int(fact.age_ms), tag, body)


def _decode_facts(
    fields: typing.Any,
) -> typing.Iterator[messages.Fact]:
    encoded_by_origin = msgspec.convert(fields, dict[str, _EncodedFacts])
    for origin, encoded in encoded_by_origin.items():
        for subject, sequence, age_ms, tag, body_fields in encoded:
            body = msgspec.convert(body_fields, _BODY_BY_TAG[tag])
            if isinstance(body, messages.TargetLoad) and not subject:
                subject = f'{_LOAD_PREFIX}{body.target_id}'
            yield messages.Fact(subject, origin, sequence, age_ms, body)


def _decode_problem(detail: str) -> errors.Problem:
    return errors.Problem(
        errors.ProblemKind.CONNECTION,
        'peer message',
        detail,
        'run the same release on all instances',
    )
