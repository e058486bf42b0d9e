"""Writes what a caller is told: a relayed answer, or a refusal."""

import http
import math
import typing

from oleanderstair import clock
from oleanderstair.domain import outcomes
from oleanderstair.domain.calls import keys
from oleanderstair.engine import asgi, exchanges, headers, pending

_COME_BACK_MS: typing.Final = 1000
_CLOSE: typing.Final = (headers.CONNECTION, b'close')
_NOT_MODIFIED: typing.Final = 304
_NO_CONTENT: typing.Final = 204
_COME_BACK_STATUS: typing.Final = frozenset(
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


class Written(typing.NamedTuple):
    """A refusal as it goes on the wire."""

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
    """Send a reply; ``closing`` offers to close the connection.

    Without ``whole_seconds`` a caller is told fractions of when to come
    back, for callers that are known to read them.
    """
    if reply.reason is None and reply.answer is not None:
        fields = _relayed_fields(method, reply.outcome, reply.answer)
        if closing:
            fields.append(_CLOSE)
        answer = reply.answer
        await asgi.respond(send, answer.status, fields, answer.body)
        return
    written = write_refusal(reply, whole_seconds)
    fields = [*written.headers, _CLOSE] if closing else written.headers
    await asgi.respond_json(send, written.status, written.document, fields)


def write_refusal(
    reply: pending.Reply,
    whole_seconds: bool = True,
) -> Written:
    """Return status, fields and body of a reply without an answer."""
    reason = reply.reason or outcomes.Reason.TARGET_LOST
    advice = outcomes.ADVICE[reason]
    wait_ms = _wait_of(reply, advice)
    fields = [
        (headers.OUTCOME, reply.outcome.value.encode()),
        (headers.REASON, reason.value.encode()),
    ]
    if wait_ms:
        seconds = _seconds(wait_ms, whole_seconds)
        fields.append((headers.RETRY_AFTER, seconds.encode()))
    document = Refusal(
        outcome=reply.outcome.value,
        reason=reason.value,
        remedy=advice.remedy,
        detail=reply.detail,
        retry_after_ms=int(wait_ms),
    )
    status = outcomes.status_of(reply.outcome, reason)
    return Written(status.value, fields, document)


def not_run(reason: outcomes.Reason, detail: str) -> pending.Reply:
    """Return the reply to a request that never became a call."""
    return pending.Reply(outcomes.Outcome.NOT_RUN, reason, detail=detail)


def reject(
    fields: headers.AnyFields,
    reason: outcomes.Reason,
    detail: str,
) -> pending.Reply:
    """Return the reply to a request that cannot become a call.

    Only the home of a bound key may say that its call did not run.
    """
    key = headers.find(fields, headers.KEY).decode('latin-1')
    if keys.split_key(key) is None:
        return not_run(reason, detail)
    return pending.Reply(outcomes.Outcome.UNKNOWN, reason, detail=detail)


def _seconds(wait_ms: clock.Millis, whole: bool) -> str:
    seconds = clock.to_seconds(wait_ms)
    return str(math.ceil(seconds)) if whole else f'{seconds:.3f}'


def _wait_of(reply: pending.Reply, advice: outcomes.Advice) -> clock.Millis:
    if reply.retry_after_ms or advice.status not in _COME_BACK_STATUS:
        return reply.retry_after_ms
    return _COME_BACK_MS


def _relayed_fields(
    method: str,
    outcome: outcomes.Outcome,
    answer: exchanges.Answer,
) -> headers.Fields:
    fields = headers.for_caller(answer.headers)
    fields.append((headers.OUTCOME, outcome.value.encode()))
    if answer.status in {_NOT_MODIFIED, _NO_CONTENT}:
        return fields
    length = str(len(answer.body)).encode()
    if method == 'HEAD':
        # The length is that of the body which a GET would have had.
        length = headers.find(answer.headers, headers.CONTENT_LENGTH)
    if length:
        fields.append((headers.CONTENT_LENGTH, length))
    return fields
