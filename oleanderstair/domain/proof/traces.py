"""Traces: the identity and limits of an instance and the events it handled.

A trace consists of JSON lines: a header, an array for each event, and a
trailer with the number of events, by which a truncated file is detected.
"""

import typing
import zlib

import msgspec
import result

from oleanderstair import clock, errors
from oleanderstair.domain import actions, events, messages, policy
from oleanderstair.domain.fleet import codec
from oleanderstair.domain.tables import identity

FORMAT_VERSION: typing.Final = 1
_REMEDY: typing.Final = 'record the trace again with this release'

_TAG_BY_EVENT: typing.Final[dict[type[typing.Any], str]] = {
    events.CallReceived: 'call',
    events.CallerLeft: 'left',
    events.AttemptEnded: 'ended',
    events.HomeReplied: 'home',
    events.ValueRead: 'value',
    events.ReadFailed: 'failed',
    events.InstancesRead: 'instances',
    events.ProbeEnded: 'probe',
    events.PeerHeard: 'peer',
    events.Tick: 'tick',
    events.StopRequested: 'stop',
}
_EVENT_BY_TAG: typing.Final = {
    tag: event_type for event_type, tag in _TAG_BY_EVENT.items()
}


class Header(msgspec.Struct, forbid_unknown_fields=True):
    """The first line: the values from which a world is created.

    ``trace`` is the format version. ``limits`` are the fields of the policy.
    """

    trace: int
    identity: identity.Identity
    limits: dict[str, typing.Any]
    seed: int


class Trailer(msgspec.Struct, forbid_unknown_fields=True):
    """The last line: the number of events, and whether the limit was reached.

    Events after the limit are not recorded.
    """

    events: int
    full: bool


class TracedEvent(typing.NamedTuple):
    """An event, the time of its handling and a digest of the actions taken."""

    at_ms: clock.Millis
    event: events.Event
    actions_digest: int


class Trace(typing.NamedTuple):
    """A complete trace of one instance incarnation."""

    header: Header
    events: tuple[TracedEvent, ...]
    full: bool


_Line: typing.TypeAlias = tuple[float, str, typing.Any, int]
_PeerFields: typing.TypeAlias = tuple[str, bytes]


def digest_actions(taken: typing.Sequence[actions.Action]) -> int:
    """Return a digest of actions that is the same in every process."""
    described = [
        (type(action).__name__, _normalise(msgspec.to_builtins(action)))
        for action in taken
    ]
    return zlib.crc32(msgspec.json.encode(described))


def encode_event(traced: TracedEvent) -> bytes:
    """Return the encoded line of an event."""
    event: typing.Any = traced.event
    tag = _TAG_BY_EVENT[type(event)]
    if isinstance(event, events.PeerHeard):
        event = (event.sender, codec.encode(event.message))
    return msgspec.json.encode(
        (traced.at_ms, tag, event, traced.actions_digest)
    )


def encode_trace(
    header: Header,
    lines: typing.Iterable[bytes],
    trailer: Trailer,
) -> bytes:
    """Return the bytes of a trace with its header and trailer."""
    first = msgspec.json.encode(header)
    last = msgspec.json.encode(trailer)
    return b'\n'.join((first, *lines, last, b''))


def decode_trace(body: bytes) -> result.Result[Trace, errors.Problem]:
    """Decode a trace.

    Return an error if it is truncated or malformed, or was recorded in
    another format or with limits that this release does not have.
    """
    lines = body.splitlines()
    if len(lines) < 2:
        return result.Err(_make_problem('line 1', 'header or trailer missing'))
    try:
        header = msgspec.json.decode(lines[0], type=Header)
    except msgspec.MsgspecError as error:
        return result.Err(_make_problem('line 1', str(error)))
    unknown = sorted(set(header.limits) - set(policy.Policy._fields))
    if header.trace != FORMAT_VERSION or unknown:
        problem = (
            f'format {header.trace}, expected {FORMAT_VERSION};'
            f' unknown limits {unknown}'
        )
        return result.Err(_make_problem('line 1', problem))
    return _decode_events(header, lines)


def _decode_events(
    header: Header,
    lines: list[bytes],
) -> result.Result[Trace, errors.Problem]:
    """Decode the trailer and the events of a trace."""
    try:
        trailer = msgspec.json.decode(lines[-1], type=Trailer)
    except msgspec.MsgspecError as error:
        return result.Err(
            _make_problem(f'line {len(lines)}', f'no trailer: {error}'),
        )
    if trailer.events != len(lines) - 2:
        problem = f'{len(lines) - 2} events, expected {trailer.events}'
        return result.Err(_make_problem('trailer', problem))
    decoded: list[TracedEvent] = []
    for number, line in enumerate(lines[1:-1], start=2):
        try:
            decoded.append(_decode_event(line))
        except (msgspec.MsgspecError, KeyError, ValueError) as error:
            return result.Err(_make_problem(f'line {number}', repr(error)))
    return result.Ok(Trace(header, tuple(decoded), trailer.full))


def _decode_event(line: bytes) -> TracedEvent:
    at_ms, tag, fields, actions_digest = msgspec.json.decode(line, type=_Line)
    event_type = _EVENT_BY_TAG[tag]
    if event_type is not events.PeerHeard:
        event = msgspec.convert(fields, event_type, builtin_types=())
        return TracedEvent(at_ms, event, actions_digest)
    sender, packed = msgspec.convert(fields, _PeerFields)
    decoded = codec.decode(packed)
    if isinstance(decoded, result.Err):
        raise ValueError(decoded.err_value.message)
    message: messages.Message = decoded.ok_value
    return TracedEvent(at_ms, events.PeerHeard(sender, message), actions_digest)


def _normalise(node: typing.Any) -> typing.Any:
    """Return a value in which equal values have the same encoding.

    Integers become floats and mappings become sorted pairs.
    """
    if isinstance(node, int) and not isinstance(node, bool):
        return float(node)
    if isinstance(node, list | tuple):
        return [_normalise(member) for member in node]
    if isinstance(node, dict):
        return sorted((str(name), _normalise(node[name])) for name in node)
    return node


def _make_problem(where: str, problem: str) -> errors.Problem:
    return errors.Problem(errors.ProblemKind.TRACE, where, problem, _REMEDY)
