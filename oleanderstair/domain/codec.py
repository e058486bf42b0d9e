"""The wire format between instances: a version byte, then msgpack."""

import typing

import msgspec
import result

from oleanderstair import errors
from oleanderstair.domain import messages

WIRE_VERSION: typing.Final = 1

_Encoded: typing.TypeAlias = tuple[str, typing.Any]

_MESSAGE_BY_TAG: typing.Final[dict[str, type[messages.Message]]] = {
    'hb': messages.Heartbeat,
    'fa': messages.Facts,
    'fd': messages.FactsDigest,
    'nh': messages.NoteHead,
    'nr': messages.NoteRequest,
    'nb': messages.NoteBody,
    'kc': messages.KeyedCall,
    'ka': messages.KeyedAnswer,
}
_BODY_BY_TAG: typing.Final[dict[str, type[messages.FactBody]]] = {
    'tl': messages.TargetLeaving,
    'rs': messages.RampState,
    'lo': messages.TargetLoad,
    'cs': messages.CallSuspect,
    'is': messages.InstanceState,
}
_TAG_BY_MESSAGE: typing.Final = {
    kind: tag for tag, kind in _MESSAGE_BY_TAG.items()
}
_TAG_BY_BODY: typing.Final = {kind: tag for tag, kind in _BODY_BY_TAG.items()}
_VERSION_PREFIX: typing.Final = bytes([WIRE_VERSION])


def encode(message: messages.Message) -> bytes:
    """Encode ``message`` for a peer."""
    fields: typing.Any = message
    if isinstance(message, messages.Facts):
        fields = [_encode_fact(fact) for fact in message.facts]
    tagged = (_TAG_BY_MESSAGE[type(message)], fields)
    return _VERSION_PREFIX + msgspec.msgpack.encode(tagged)


def decode(frame: bytes) -> result.Result[messages.Message, errors.Problem]:
    """Decode a peer's frame; a foreign version or shape is an error."""
    if frame[:1] != _VERSION_PREFIX:
        return result.Err(_problem('unknown wire version'))
    try:
        return result.Ok(_decode_tagged(frame[1:]))
    except (msgspec.MsgspecError, KeyError, ValueError, TypeError) as error:
        return result.Err(_problem(str(error)))


def _decode_tagged(packed: bytes) -> messages.Message:
    tag, fields = msgspec.msgpack.decode(packed, type=_Encoded)
    if tag == _TAG_BY_MESSAGE[messages.Facts]:
        return messages.Facts(tuple(_decode_fact(fact) for fact in fields))
    return msgspec.convert(fields, _MESSAGE_BY_TAG[tag])


def _encode_fact(fact: messages.Fact) -> tuple[typing.Any, ...]:
    return (*fact[:-1], _TAG_BY_BODY[type(fact.body)], fact.body)


def _decode_fact(fields: list[typing.Any]) -> messages.Fact:
    subject, origin, sequence, age_ms, tag, body = fields
    return messages.Fact(
        msgspec.convert(subject, str),
        msgspec.convert(origin, str),
        msgspec.convert(sequence, int),
        msgspec.convert(age_ms, float),
        msgspec.convert(body, _BODY_BY_TAG[tag]),
    )


def _problem(what: str) -> errors.Problem:
    return errors.Problem(
        errors.ProblemKind.CONNECTION,
        'peer message',
        what,
        'run the same release on all instances',
    )
