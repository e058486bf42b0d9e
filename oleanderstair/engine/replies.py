"""Sends replies to callers: a relayed answer or a refusal."""

import http
import math
import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain import outcomes
from oleanderstair.engine import asgi, exchanges, headers, pending

_DEFAULT_RETRY_AFTER_MS: typing.Final = 1000
_CONNECTION_CLOSE: typing.Final = (headers.CONNECTION, b'close')
_NOT_MODIFIED: typing.Final = 304
_NO_CONTENT: typing.Final = 204
_RETRYABLE_STATUSES: typing.Final = frozenset(
    (
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        http.HTTPStatus.GATEWAY_TIMEOUT,
    ),
)


class Refusal(typing.TypedDict):
    """The JSON body of a refusal."""

    outcome: str
    reason: str
    remedy: str
    detail: str
    retry_after_ms: int


class HttpRefusal(typing.NamedTuple):
    """The HTTP response of a refusal."""

    status: int
    headers: headers.Fields
    document: Refusal


async def send_reply(
    send: asgi.Send,
    method: str,
    reply: pending.Reply,
    closing: bool,
    whole_seconds: bool = True,
) -> None:
    """Send a reply; with ``closing``, add ``Connection: close``.

    Without ``whole_seconds``, ``Retry-After`` has decimal seconds. HTTP defines
    whole seconds only, so this is for callers known to parse decimals.
    """
    if reply.reason is None and reply.answer is not None:
        fields = _relayed_fields(method, reply.outcome, reply.answer)
        if closing:
            fields.append(_CONNECTION_CLOSE)
        answer = reply.answer
        await asgi.respond(send, answer.status, fields, answer.body)
        return
    response = build_refusal(reply, whole_seconds)
    fields = (
        [*response.headers, _CONNECTION_CLOSE] if closing else response.headers
    )
    await asgi.respond_json(send, response.status, response.document, fields)


def build_refusal(
    reply: pending.Reply,
    whole_seconds: bool = True,
) -> HttpRefusal:
    """Return the HTTP response of a reply without an answer.

    A reply without a reason is sent with ``TARGET_LOST``.
    """
    reason = reply.reason or outcomes.Reason.TARGET_LOST
    standard_response = outcomes.RESPONSE_BY_REASON[reason]
    retry_after_ms = _retry_after_of(reply, standard_response)
    fields = [
        (headers.OUTCOME, reply.outcome.value.encode()),
        (headers.REASON, reason.value.encode()),
    ]
    if retry_after_ms:
        seconds = _format_seconds(retry_after_ms, whole_seconds)
        fields.append((headers.RETRY_AFTER, seconds.encode()))
    document = Refusal(
        outcome=reply.outcome.value,
        reason=reason.value,
        remedy=standard_response.remedy,
        detail=reply.detail,
        retry_after_ms=int(retry_after_ms),
    )
    status = outcomes.refusal_status(reply.outcome, reason)
    return HttpRefusal(status.value, fields, document)


def encode_refusal(reply: pending.Reply) -> bytes:
    """Return the bytes of a refusal after which the connection closes."""
    response = build_refusal(reply)
    body = msgspec.json.encode(response.document)
    fields = [
        *response.headers,
        (headers.CONTENT_TYPE, b'application/json'),
        (headers.CONTENT_LENGTH, str(len(body)).encode()),
        _CONNECTION_CLOSE,
    ]
    phrase = http.HTTPStatus(response.status).phrase
    lines = [f'HTTP/1.1 {response.status} {phrase}'.encode()]
    lines.extend(b'%b: %b' % field for field in fields)
    return b'\r\n'.join([*lines, b'', body])


def not_run_reply(
    reason: outcomes.Reason,
    detail: str,
    retry_after_ms: clock.Millis = 0,
) -> pending.Reply:
    """Return the refusal of a request that did not run."""
    return pending.Reply(
        outcomes.Outcome.NOT_RUN, reason, retry_after_ms, detail
    )


def _format_seconds(duration_ms: clock.Millis, whole: bool) -> str:
    seconds = clock.to_seconds(duration_ms)
    return str(math.ceil(seconds)) if whole else f'{seconds:.3f}'


def _retry_after_of(
    reply: pending.Reply, standard_response: outcomes.RefusalResponse
) -> clock.Millis:
    if (
        reply.retry_after_ms
        or standard_response.status not in _RETRYABLE_STATUSES
    ):
        return reply.retry_after_ms
    return _DEFAULT_RETRY_AFTER_MS


def _relayed_fields(
    method: str,
    outcome: outcomes.Outcome,
    answer: exchanges.Answer,
) -> headers.Fields:
    fields = headers.keep_answer_fields(answer.headers)
    fields.append((headers.OUTCOME, outcome.value.encode()))
    if answer.status in {_NOT_MODIFIED, _NO_CONTENT}:
        return fields
    length = str(len(answer.body)).encode()
    if method == 'HEAD':
        # The target states the length of the body that a GET would return.
        length = headers.find_field(answer.headers, headers.CONTENT_LENGTH)
    if length:
        fields.append((headers.CONTENT_LENGTH, length))
    return fields
