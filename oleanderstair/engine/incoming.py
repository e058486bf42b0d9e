"""Parses and validates the requests of callers."""

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
"""Time to the deadline of a call without ``call-deadline-ms`` to a service that
the note in force does not define."""

_SINGLE_FIELDS: typing.Final = frozenset(
    (
        headers.KEY,
        headers.DEADLINE_MS,
        headers.DEPTH,
        headers.SERVICE,
        headers.HOST,
        headers.CONTENT_LENGTH,
    ),
)
_VISIBLE: typing.Final = re.compile(b'[\x21-\x7e]+')
_PATH: typing.Final = re.compile(b'/[\x21\x22\x24-\x7e]*')


class CallLimits(typing.NamedTuple):
    """The catalogue and limits that a request is validated against."""

    in_force: catalogue.Catalogue
    max_depth: int
    now_ms: clock.Millis


class BadRequest(typing.NamedTuple):
    """Why a request is refused before it becomes a call."""

    reason: outcomes.Reason
    detail: str
    retry_after_ms: clock.Millis = 0


BODY_TOO_LARGE: typing.Final = BadRequest(
    outcomes.Reason.TOO_LARGE,
    'the body is larger than max_body_bytes',
)
"""Refusal of a body above the maximum size, declared or received."""


class BodyBounds(typing.NamedTuple):
    """Maximum size and timeout of a body.

    ``time_ms`` is None if the body has arrived completely. ``timeout_text``
    ends the error message of a timeout, such as ``in time``. ``may_grow``
    returns whether there is memory for a body of some size.
    """

    max_bytes: int
    time_ms: clock.Millis | None
    timeout_text: str
    may_grow: asgi.GrowBody | None = None


async def read_body(
    receive: asgi.Receive,
    bounds: BodyBounds,
) -> bytes | BadRequest:
    """Return the whole body, or a refusal if it is too large or too slow.

    Raises ``asgi.BodyNotHeld`` if ``may_grow`` has refused a size, and
    ``asgi.Disconnected`` if the caller has disconnected.
    """
    try:
        return await asgi.read_body(
            receive, bounds.max_bytes, bounds.time_ms, bounds.may_grow
        )
    except asgi.BodyTooLarge:
        return BODY_TOO_LARGE
    except asgi.BodyTooSlow:
        return BadRequest(
            outcomes.Reason.TOO_SLOW,
            f'the body did not arrive {bounds.timeout_text}',
        )


def read_call(
    scope: asgi.Scope,
    body: bytes,
    call_id: int,
    limits: CallLimits,
) -> events.CallReceived | BadRequest:
    """Return the call of a request, or a refusal if the request is invalid."""
    field_index = headers.index_fields(scope['headers'])
    fields = field_index.field_by_name
    method: str = scope['method']
    target = request_target_of(scope)
    error_text = find_request_error(
        field_index, scope['headers'], method, target
    )
    service = _service_of(fields)
    budget_ms = _read_budget_ms(fields, service, limits)
    depth = headers.parse_count(fields.get(headers.DEPTH, b'0'))
    if budget_ms is None:
        error_text = f'call-deadline-ms must be from 1 to {MAX_DEADLINE_MS} ms'
    if depth is None or depth > limits.max_depth:
        error_text = f'call-depth must be from 0 to {limits.max_depth}'
    if error_text or depth is None or budget_ms is None:
        return BadRequest(outcomes.Reason.BAD_REQUEST, error_text)
    path = target.decode('latin-1')
    return events.CallReceived(
        call_id=call_id,
        service=service,
        method=method,
        path=path,
        deadline_ms=limits.now_ms + budget_ms,
        key=fields.get(headers.KEY, b'').strip(b'"').decode('latin-1'),
        depth=depth,
        fingerprint=fingerprints.request_fingerprint(
            service, method, path, body
        ),
    )


def build_target_request(scope: asgi.Scope, body: bytes) -> exchanges.Request:
    """Return the request to the target, without host, deadline and depth."""
    fields = headers.keep_forwarded_fields(scope['headers'])
    if body:
        fields.append((headers.CONTENT_LENGTH, str(len(body)).encode()))
    elif scope['method'] in {'POST', 'PUT', 'PATCH'}:
        fields.append((headers.CONTENT_LENGTH, b'0'))
    return exchanges.Request(
        scope['method'].encode(),
        request_target_of(scope),
        fields,
        body,
    )


def find_request_error(
    field_index: headers.FieldIndex,
    fields: headers.AnyFields,
    method: str,
    target: bytes,
) -> str:
    """Return why a request can't be forwarded, or '' if it can."""
    repeated = field_index.repeated_names & _SINGLE_FIELDS
    if repeated:
        return f'{min(repeated).decode()} came more than once'
    key = field_index.field_by_name.get(headers.KEY)
    if key is not None and not _is_valid_key(key):
        return f'idempotency-key must be 1 to {MAX_KEY_BYTES} visible bytes'
    if method == 'CONNECT' or _PATH.fullmatch(target) is None:
        return 'the method or the path cannot be passed on'
    if not headers.is_free_of_control_characters(fields):
        return 'a header field holds a control character'
    return ''


def _is_valid_key(key: bytes) -> bool:
    if len(key) > MAX_KEY_BYTES:
        return False
    return _VISIBLE.fullmatch(key) is not None


def _read_budget_ms(
    fields: dict[bytes, bytes],
    service: str,
    limits: CallLimits,
) -> int | None:
    text = fields.get(headers.DEADLINE_MS)
    if text is None:
        service_entry = limits.in_force.service_by_name.get(service)
        return (
            service_entry.deadline_ms if service_entry else _DEFAULT_DEADLINE_MS
        )
    remaining_ms = headers.parse_count(text)
    if remaining_ms and remaining_ms <= MAX_DEADLINE_MS:
        return remaining_ms
    return None


def _service_of(fields: dict[bytes, bytes]) -> str:
    service_name = fields.get(headers.SERVICE)
    if service_name:
        return service_name.decode('latin-1')
    host = fields.get(headers.HOST, b'').decode('latin-1')
    return host.partition(':')[0].partition('.')[0]


def request_target_of(scope: asgi.Scope) -> bytes:
    """Return path and query of a request exactly as received."""
    connection = scope.get('extensions', {}).get('connection', {})
    target: bytes = connection.get('target', b'')
    if target:
        return target
    raw_path: bytes = scope['raw_path']
    query: bytes = scope['query_string']
    if query:
        return b'%b?%b' % (raw_path, query)
    return raw_path
