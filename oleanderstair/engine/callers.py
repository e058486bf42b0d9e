"""The listener for callers: the address answer, calls, and refusals."""

import math
import typing
import urllib.parse

import anyio

from oleanderstair import clock, settings
from oleanderstair.domain import addresses, events, fingerprints, keys, outcomes
from oleanderstair.engine import asgi, exchanges, headers, pending, shell

ADDRESSES_PATH: typing.Final = '/-/addresses'
_MS_PER_S: typing.Final = 1000
_OK: typing.Final = 200
_MAX_DEADLINE_MS: typing.Final = 600_000


class BadRequest(typing.NamedTuple):
    """Why a request cannot be taken as a call."""

    reason: outcomes.Reason
    detail: str


class CallersApp:
    """An ASGI application that carries calls through a shell."""

    def __init__(
        self,
        carrier: shell.Shell,
        bounds: settings.CallerSettings,
    ) -> None:
        """Carry calls through ``carrier``, each within ``bounds``."""
        self._shell = carrier
        self._bounds = bounds

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Answer one request."""
        if scope['path'] == ADDRESSES_PATH:
            await self._answer_addresses(scope, send)
            return
        try:
            body = await asgi.read_body(
                receive,
                self._bounds.max_body_bytes,
                self._bounds.request_time_ms,
            )
        except asgi.BodyTooLarge:
            await self._reject(
                scope,
                send,
                BadRequest(outcomes.Reason.TOO_LARGE, 'body too large'),
            )
        except asgi.BodyTooSlow:
            await self._reject(
                scope,
                send,
                BadRequest(outcomes.Reason.TOO_SLOW, 'body too slow'),
            )
        except asgi.Disconnected:
            return
        else:
            await self._carry(scope, body, receive, send)

    async def _carry(
        self,
        scope: asgi.Scope,
        body: bytes,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        parsed = self._parse(scope, body)
        if isinstance(parsed, BadRequest):
            await self._reject(scope, send, parsed)
            return
        request = exchanges.Request(
            scope['method'].encode(),
            _target_of(scope).encode(),
            _outgoing_headers(scope, body, parsed),
            body,
        )
        reply: pending.Reply | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks)
            reply = await self._shell.call(parsed, request)
            tasks.cancel_scope.cancel()
        if reply is not None:
            await _send_reply(send, reply)

    def _parse(
        self,
        scope: asgi.Scope,
        body: bytes,
    ) -> events.CallReceived | BadRequest:
        fields = scope['headers']
        now_ms = self._shell.ports.clock.now_ms()
        service = _service_of(fields)
        deadline_ms = self._deadline(fields, service, now_ms)
        depth = _read_count(headers.find(fields, headers.DEPTH) or b'0')
        if deadline_ms is None:
            return BadRequest(
                outcomes.Reason.BAD_REQUEST,
                'call-deadline-ms must be a whole number of ms, at least 1',
            )
        if depth is None or depth > self._shell.state.policy.max_depth:
            return BadRequest(
                outcomes.Reason.BAD_REQUEST,
                'call-depth must be a whole number within the depth limit',
            )
        target = _target_of(scope)
        return events.CallReceived(
            call_id=self._shell.pending.claim_id(),
            service=service,
            method=scope['method'],
            path=target,
            deadline_ms=deadline_ms,
            key=headers.find(fields, headers.KEY).decode('latin-1'),
            depth=depth,
            fingerprint=fingerprints.of_call(
                service,
                scope['method'],
                target,
                body,
            ),
        )

    def _deadline(
        self,
        fields: asgi.HeaderList,
        service: str,
        now_ms: clock.Millis,
    ) -> clock.Millis | None:
        text = headers.find(fields, headers.DEADLINE_MS)
        if not text:
            in_force = self._shell.state.catalogue.in_force
            found = in_force.service_by_name.get(service)
            default_ms = found.deadline_ms if found else _MS_PER_S
            return now_ms + default_ms
        remaining_ms = _read_count(text)
        if not remaining_ms or remaining_ms > _MAX_DEADLINE_MS:
            return None
        return now_ms + remaining_ms

    async def _answer_addresses(
        self,
        scope: asgi.Scope,
        send: asgi.Send,
    ) -> None:
        query = urllib.parse.parse_qs(scope['query_string'].decode('latin-1'))
        own = self._shell.state.identity.data_centre
        data_centre = query.get('data_centre', [own])[0]
        now_ms = self._shell.ports.clock.now_ms()
        document = addresses.answer(self._shell.state, data_centre, now_ms)
        await asgi.respond_json(send, _OK, document)

    async def _reject(
        self,
        scope: asgi.Scope,
        send: asgi.Send,
        bad: BadRequest,
    ) -> None:
        self._shell.metrics.count('refused', bad.reason.value)
        reply = pending.Reply(
            _outcome_of_rejection(scope['headers']),
            bad.reason,
            detail=bad.detail,
        )
        await _send_reply(send, reply)


async def _cancel_on_disconnect(
    receive: asgi.Receive,
    tasks: anyio.abc.TaskGroup,
) -> None:
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            tasks.cancel_scope.cancel()
            return


async def _send_reply(send: asgi.Send, reply: pending.Reply) -> None:
    outcome = (headers.OUTCOME, reply.outcome.value.encode())
    if reply.reason is None and reply.answer is not None:
        fields = [
            field
            for field in headers.end_to_end(reply.answer.headers)
            if field[0] not in {headers.OUTCOME, headers.CONTENT_LENGTH}
        ]
        length = str(len(reply.answer.body)).encode()
        fields += [outcome, (headers.CONTENT_LENGTH, length)]
        await asgi.respond(send, reply.answer.status, fields, reply.answer.body)
        return
    reason = reply.reason or outcomes.Reason.TARGET_LOST
    advice = outcomes.ADVICE[reason]
    extra = [outcome, (headers.REASON, reason.value.encode())]
    if reply.retry_after_ms:
        seconds = math.ceil(reply.retry_after_ms / _MS_PER_S)
        extra.append((headers.RETRY_AFTER, str(seconds).encode()))
    document = {
        'outcome': reply.outcome.value,
        'reason': reason.value,
        'remedy': advice.remedy,
        'detail': reply.detail,
        'retry_after_ms': int(reply.retry_after_ms),
    }
    await asgi.respond_json(send, advice.status.value, document, extra)


def _outcome_of_rejection(fields: asgi.HeaderList) -> outcomes.Outcome:
    """Leave it to the home of a key to say that its call did not run."""
    key = headers.find(fields, headers.KEY).decode('latin-1')
    if keys.split_key(key) is None:
        return outcomes.Outcome.NOT_RUN
    return outcomes.Outcome.UNKNOWN


def _service_of(fields: asgi.HeaderList) -> str:
    named = headers.find(fields, headers.SERVICE)
    if named:
        return named.decode('latin-1')
    host = headers.find(fields, headers.HOST).decode('latin-1')
    return host.partition(':')[0].partition('.')[0]


def _target_of(scope: asgi.Scope) -> str:
    raw_path: str = scope['raw_path'].decode('latin-1')
    query = scope['query_string'].decode('latin-1')
    if query:
        return f'{raw_path}?{query}'
    return raw_path


def _outgoing_headers(
    scope: asgi.Scope,
    body: bytes,
    received: events.CallReceived,
) -> asgi.HeaderList:
    replaced = {headers.DEPTH, headers.CONTENT_LENGTH}
    fields = [
        field
        for field in headers.end_to_end(scope['headers'])
        if field[0] not in replaced
    ]
    fields.append((headers.DEPTH, str(received.depth + 1).encode()))
    if body:
        fields.append((headers.CONTENT_LENGTH, str(len(body)).encode()))
    return fields


def _read_count(text: bytes) -> int | None:
    if not text.isdigit():
        return None
    return int(text)


def create(
    carrier: shell.Shell,
    bounds: settings.CallerSettings,
) -> CallersApp:
    """Create the application for callers."""
    return CallersApp(carrier, bounds)
