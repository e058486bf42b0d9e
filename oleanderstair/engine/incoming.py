"""Reads a caller's request as a call, or says what is wrong with it."""

import re
import typing

from oleanderstair import clock
from oleanderstair.domain import events, outcomes
from oleanderstair.domain.calls import fingerprints
from oleanderstair.domain.tables import catalogue
from oleanderstair.engine import asgi, exchanges, headers

MAX_DEADLINE_MS: typing.Final = 600_000
MAX_KEY_BYTES: typing.Final = 256
_DEFAULT_DEADLINE_MS: typing.Final = 1000
_ONLY_ONCE: typing.Final = frozenset(
    (
        headers.KEY,
        headers.DEADLINE_MS,
        headers.DEPTH,
        headers.SERVICE,
        headers.HOST,
        headers.CONTENT_LENGTH,
    ),
)
_PRINTABLE: typing.Final = re.compile(b'[\x21-\x7e]+')
_PATH: typing.Final = re.compile(b'/[\x21\x22\x24-\x7e]*')


class Limits(typing.NamedTuple):
    """What a request is checked against."""

    in_force: catalogue.Catalogue
    max_depth: int
    now_ms: clock.Millis


class BadRequest(typing.NamedTuple):
    """Why a request cannot be taken as a call."""

    reason: outcomes.Reason
    detail: str


BODY_TOO_LARGE: typing.Final = BadRequest(
    outcomes.Reason.TOO_LARGE,
    'the body is larger than max_body_bytes',
)
"""What a caller is told whose body is too large, declared or sent."""


class BodyBounds(typing.NamedTuple):
    """What a body may hold and take; ``within`` names the time to callers.

    ``time_ms`` is None where all of it has come.
    """

    max_bytes: int
    time_ms: clock.Millis | None
    within: str


async def read_body(
    receive: asgi.Receive,
    bounds: BodyBounds,
) -> bytes | BadRequest:
    """Return the whole body, or why it can't be taken.

    Raises ``asgi.Disconnected`` where the caller has left.
    """
    try:
        return await asgi.read_body(receive, bounds.max_bytes, bounds.time_ms)
    except asgi.BodyTooLarge:
        return BODY_TOO_LARGE
    except asgi.BodyTooSlow:
        return BadRequest(
            outcomes.Reason.TOO_SLOW,
            f'the body did not arrive {bounds.within}',
        )


def read_call(
    scope: asgi.Scope,
    body: bytes,
    call_id: int,
    limits: Limits,
) -> events.CallReceived | BadRequest:
    """Return the call that a request states."""
    found = headers.index(scope['headers'])
    fields = found.field_by_name
    method: str = scope['method']
    target = target_of(scope)
    what = find_fault(found, scope['headers'], method, target)
    service = _service_of(fields)
    budget_ms = _read_budget(fields, service, limits)
    depth = headers.read_count(fields.get(headers.DEPTH, b'0'))
    if budget_ms is None:
        what = f'call-deadline-ms must be from 1 to {MAX_DEADLINE_MS} ms'
    if depth is None or depth > limits.max_depth:
        what = f'call-depth must be from 0 to {limits.max_depth}'
    if what or depth is None or budget_ms is None:
        return BadRequest(outcomes.Reason.BAD_REQUEST, what)
    path = target.decode('latin-1')
    return events.CallReceived(
        call_id=call_id,
        service=service,
        method=method,
        path=path,
        deadline_ms=limits.now_ms + budget_ms,
        key=fields.get(headers.KEY, b'').strip(b'"').decode('latin-1'),
        depth=depth,
        fingerprint=fingerprints.of_call(service, method, path, body),
    )


def read_request(scope: asgi.Scope, body: bytes) -> exchanges.Request:
    """Return what the target shall receive, but for the bounds."""
    fields = headers.from_caller(scope['headers'])
    if body:
        fields.append((headers.CONTENT_LENGTH, str(len(body)).encode()))
    elif scope['method'] in {'POST', 'PUT', 'PATCH'}:
        fields.append((headers.CONTENT_LENGTH, b'0'))
    return exchanges.Request(
        scope['method'].encode(),
        target_of(scope),
        fields,
        body,
    )


def find_fault(
    found: headers.Index,
    fields: headers.AnyFields,
    method: str,
    target: bytes,
) -> str:
    """Return what keeps a request from being passed on, or ''."""
    twice = found.repeated & _ONLY_ONCE
    if twice:
        return f'{min(twice).decode()} came more than once'
    key = found.field_by_name.get(headers.KEY)
    if key is not None and not _is_key(key):
        return f'idempotency-key must be 1 to {MAX_KEY_BYTES} visible bytes'
    if method == 'CONNECT' or _PATH.fullmatch(target) is None:
        return 'the method or the path cannot be passed on'
    if not headers.are_clean(fields):
        return 'a header field holds a control character'
    return ''


def _is_key(key: bytes) -> bool:
    if len(key) > MAX_KEY_BYTES:
        return False
    return _PRINTABLE.fullmatch(key) is not None


def _read_budget(
    fields: dict[bytes, bytes],
    service: str,
    limits: Limits,
) -> int | None:
    text = fields.get(headers.DEADLINE_MS)
    if text is None:
        known = limits.in_force.service_by_name.get(service)
        return known.deadline_ms if known else _DEFAULT_DEADLINE_MS
    remaining_ms = headers.read_count(text)
    if remaining_ms and remaining_ms <= MAX_DEADLINE_MS:
        return remaining_ms
    return None


def _service_of(fields: dict[bytes, bytes]) -> str:
    named = fields.get(headers.SERVICE)
    if named:
        return named.decode('latin-1')
    host = fields.get(headers.HOST, b'').decode('latin-1')
    return host.partition(':')[0].partition('.')[0]


def target_of(scope: asgi.Scope) -> bytes:
    """Return the path and query as they came, byte for byte."""
    connection = scope.get('extensions', {}).get('connection', {})
    target: bytes = connection.get('target', b'')
    if target:
        return target
    raw_path: bytes = scope['raw_path']
    query: bytes = scope['query_string']
    if query:
        return b'%b?%b' % (raw_path, query)
    return raw_path
