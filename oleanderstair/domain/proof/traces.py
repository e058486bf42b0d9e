"""A recorded trace: who the instance was, and each event that it handled.

A trace is JSON lines: a header, one array for each event, and a trailer
that shows that nothing is missing.
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
_RERECORD: typing.Final = 'record the trace again with this release'

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
_EVENT_BY_TAG: typing.Final = {tag: kind for kind, tag in _TAG_BY_EVENT.items()}


class Header(msgspec.Struct, forbid_unknown_fields=True):
    """The first line: all that a world is created from."""

    trace: int
    identity: identity.Identity
    limits: dict[str, typing.Any]
    seed: int


class Trailer(msgspec.Struct, forbid_unknown_fields=True):
    """The last line: the number of events, and whether more were left out."""

    events: int
    full: bool


class TracedEvent(typing.NamedTuple):
    """An event, when it was handled, and a digest of what was decided."""

    at_ms: clock.Millis
    event: events.Event
    decided: int


class Trace(typing.NamedTuple):
    """A whole trace of one instance incarnation."""

    header: Header
    events: tuple[TracedEvent, ...]
    full: bool


_Line: typing.TypeAlias = tuple[float, str, typing.Any, int]
_PeerFields: typing.TypeAlias = tuple[str, bytes]


def digest(done: typing.Sequence[actions.Action]) -> int:
    """Return a digest of actions that does not depend on the process."""
    described = [
        (type(action).__name__, _plain(msgspec.to_builtins(action)))
        for action in done
    ]
    return zlib.crc32(msgspec.json.encode(described))


def encode_event(traced: TracedEvent) -> bytes:
    """Return the line of an event."""
    event: typing.Any = traced.event
    tag = _TAG_BY_EVENT[type(event)]
    if isinstance(event, events.PeerHeard):
        event = (event.sender, codec.encode(event.message))
    return msgspec.json.encode((traced.at_ms, tag, event, traced.decided))


def encode(
    header: Header,
    lines: typing.Iterable[bytes],
    trailer: Trailer,
) -> bytes:
    """Return the bytes of a whole trace."""
    first = msgspec.json.encode(header)
    last = msgspec.json.encode(trailer)
    return b'\n'.join((first, *lines, last, b''))


def decode(body: bytes) -> result.Result[Trace, errors.Problem]:
    """Read a trace; a foreign, cut or malformed one is an error."""
    lines = body.splitlines()
    if len(lines) < 2:
        return result.Err(_problem('line 1', 'no header and trailer'))
    try:
        header = msgspec.json.decode(lines[0], type=Header)
    except msgspec.MsgspecError as error:
        return result.Err(_problem('line 1', str(error)))
    unknown = sorted(set(header.limits) - set(policy.Policy._fields))
    if header.trace != FORMAT_VERSION or unknown:
        what = f'format {header.trace}, not {FORMAT_VERSION}; {unknown}'
        return result.Err(_problem('line 1', what))
    return _decode_rest(header, lines)


def _decode_rest(
    header: Header,
    lines: list[bytes],
) -> result.Result[Trace, errors.Problem]:
    try:
        trailer = msgspec.json.decode(lines[-1], type=Trailer)
    except msgspec.MsgspecError as error:
        return result.Err(
            _problem(f'line {len(lines)}', f'cut off: {error}'),
        )
    if trailer.events != len(lines) - 2:
        what = f'{len(lines) - 2} events where {trailer.events} are due'
        return result.Err(_problem('trailer', what))
    kept: list[TracedEvent] = []
    for number, line in enumerate(lines[1:-1], start=2):
        try:
            kept.append(_decode_event(line))
        except (msgspec.MsgspecError, KeyError, ValueError) as error:
            return result.Err(_problem(f'line {number}', repr(error)))
    return result.Ok(Trace(header, tuple(kept), trailer.full))


def _decode_event(line: bytes) -> TracedEvent:
    at_ms, tag, fields, decided = msgspec.json.decode(line, type=_Line)
    kind = _EVENT_BY_TAG[tag]
    if kind is not events.PeerHeard:
        event = msgspec.convert(fields, kind, builtin_types=())
        return TracedEvent(at_ms, event, decided)
    sender, packed = msgspec.convert(fields, _PeerFields)
    decoded = codec.decode(packed)
    if isinstance(decoded, result.Err):
        raise ValueError(decoded.err_value.message)
    message: messages.Message = decoded.ok_value
    return TracedEvent(at_ms, events.PeerHeard(sender, message), decided)


def _plain(node: typing.Any) -> typing.Any:
    """Return a value in which equal numbers have one spelling."""
    if isinstance(node, int) and not isinstance(node, bool):
        return float(node)
    if isinstance(node, list | tuple):
        return [_plain(member) for member in node]
    if isinstance(node, dict):
        return sorted((str(name), _plain(node[name])) for name in node)
    return node


def _problem(where: str, what: str) -> errors.Problem:
    return errors.Problem(errors.ProblemKind.TRACE, where, what, _RERECORD)
