"""The listener for callers: the address answer, calls, and refusals."""

import typing
import urllib.parse

from oleanderstair import settings
from oleanderstair.domain.calls import addresses
from oleanderstair.domain.tables import instances
from oleanderstair.engine import (
    asgi,
    headers,
    incoming,
    listener,
    replies,
    shell,
)

ADDRESSES_PATH: typing.Final = '/-/addresses'
_OK: typing.Final = 200


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
        if _is_declared_above(scope, self._bounds.max_body_bytes):
            await self._reject(scope, send, incoming.BODY_TOO_LARGE)
            return
        bounds = incoming.BodyBounds(
            self._bounds.max_body_bytes,
            self._bounds.request_time_ms,
            'within request_time_ms',
        )
        try:
            body = await incoming.read_body(receive, bounds)
        except asgi.Disconnected:
            self._shell.metrics.count('caller-left', 'in-body')
            return
        if isinstance(body, incoming.BadRequest):
            await self._reject(scope, send, body)
            return
        await self._carry(scope, body, send)

    async def _carry(
        self,
        scope: asgi.Scope,
        body: bytes,
        send: asgi.Send,
    ) -> None:
        carrier = self._shell
        call_id = carrier.pending.claim_id()
        limits = incoming.Limits(
            carrier.state.catalogue.in_force,
            carrier.state.policy.max_depth,
            carrier.ports.clock.now_ms(),
        )
        received = incoming.read_call(scope, body, call_id, limits)
        if isinstance(received, incoming.BadRequest):
            await self._reject(scope, send, received)
            return
        request = incoming.read_request(scope, body)
        with listener.watching(scope, lambda: carrier.leave(call_id)):
            reply = await carrier.call(received, request)
        closing = self._is_stopping()
        await replies.send_reply(send, received.method, reply, closing)

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
        bad: incoming.BadRequest,
    ) -> None:
        self._shell.metrics.count('refused', bad.reason.value)
        reply = replies.reject(scope['headers'], bad.reason, bad.detail)
        closing = self._is_stopping()
        await replies.send_reply(send, scope['method'], reply, closing)

    def _is_stopping(self) -> bool:
        phase = self._shell.state.instances.phase
        return phase is instances.Phase.STOPPING


def _is_declared_above(scope: asgi.Scope, max_bytes: int) -> bool:
    declared = headers.find(scope['headers'], headers.CONTENT_LENGTH)
    return bool(declared) and int(declared) > max_bytes


def create(
    carrier: shell.Shell,
    bounds: settings.CallerSettings,
) -> CallersApp:
    """Create the application for callers."""
    return CallersApp(carrier, bounds)
