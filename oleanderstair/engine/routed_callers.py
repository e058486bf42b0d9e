"""The listener for callers of an instance that carries calls on routes."""

import typing

import anyio

from oleanderstair import clock
from oleanderstair.domain import events, outcomes
from oleanderstair.domain.calls import fingerprints
from oleanderstair.domain.tables import instances, routes
from oleanderstair.engine import (
    asgi,
    gateway,
    headers,
    incoming,
    listener,
    pending,
    replies,
)

START_MS: typing.Final = 1500
"""How long after its start an instance lets calls wait for routes."""

_START_SHARE: typing.Final = 1 / 3
_START_CHECK_MS: typing.Final = 10
_DEFAULT_LIMITS: typing.Final = routes.CallerLimits()


class RequestFields(typing.Protocol):
    """Read the fields that a caller states its call by."""

    def find_fault(self, found: headers.Index) -> str:
        """Return what is wrong with the fields of a request, or ''."""

    def request_id_of(self, fields: dict[bytes, bytes]) -> str:
        """Return the caller's own name for the request, or ''."""

    def remaining_ms_of(self, fields: dict[bytes, bytes]) -> int | None:
        """Return how long the caller waits, None where it says nonsense."""


class RoutedCallersApp:
    """An ASGI application that carries routed calls through a shell."""

    def __init__(
        self,
        carrier: gateway.Gateway,
        request_fields: RequestFields,
    ) -> None:
        """Carry calls through ``carrier``."""
        self._shell = carrier
        self._fields = request_fields
        self._created_ms = self._now_ms()

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Answer one request."""
        limits = self._limits()
        bounds = incoming.BodyBounds(
            limits.max_body_bytes,
            None if listener.is_whole(scope) else limits.idle_ms,
            'in time',
        )
        began_ms = self._now_ms()
        try:
            body = await incoming.read_body(receive, bounds)
        except asgi.Disconnected:
            found = headers.index(scope['headers']).field_by_name
            self._note_left(
                self._fields.request_id_of(found),
                'in-body',
                self._now_ms() - began_ms,
            )
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
        received = self._read_call(scope, body, call_id)
        if isinstance(received, incoming.BadRequest):
            await self._reject(scope, send, received)
            return
        request = incoming.read_request(scope, body)
        held_ms = await self._await_start(received)
        if listener.protocol_of(scope).transport.is_closing():
            self._note_left(received.request_id, 'at-start', held_ms)
            return
        if held_ms:
            carrier.decisions.hold(call_id, held_ms)
        with listener.watching(scope, lambda: carrier.leave(call_id)):
            reply = await carrier.call(received, request)
        await self._send(send, scope['method'], reply)

    async def _await_start(
        self,
        received: events.CallReceived,
    ) -> clock.Millis:
        """Give a started instance a moment to learn what is in force.

        Return how long the call was held for it, 0 where it was not.
        """
        if self._knows_routes():
            return 0
        now_ms = self._now_ms()
        left_ms = received.deadline_ms - now_ms
        until_ms = min(
            self._created_ms + START_MS,
            now_ms + left_ms * _START_SHARE,
        )
        while not self._knows_routes() and self._now_ms() < until_ms:
            await anyio.sleep(clock.to_seconds(_START_CHECK_MS))
        return self._now_ms() - now_ms

    def _note_left(
        self,
        request_id: str,
        where: str,
        after_ms: clock.Millis,
    ) -> None:
        """Note that a caller left before its request became a call."""
        self._shell.metrics.count('caller-left', where)
        self._shell.decisions.leave(
            request_id,
            where,
            after_ms,
            self._now_ms(),
        )

    def _knows_routes(self) -> bool:
        state = self._shell.state
        known = state.routes.in_force is not None
        return known and bool(state.registry.revision)

    def _read_call(
        self,
        scope: asgi.Scope,
        body: bytes,
        call_id: int,
    ) -> events.CallReceived | incoming.BadRequest:
        found = headers.index(scope['headers'])
        target = incoming.target_of(scope)
        what = incoming.find_fault(
            found,
            scope['headers'],
            scope['method'],
            target,
        )
        what = what or self._fields.find_fault(found)
        remaining_ms = self._fields.remaining_ms_of(found.field_by_name)
        if remaining_ms is None:
            what = 'the deadline is missing or no whole number of ms'
        if what or remaining_ms is None:
            return incoming.BadRequest(outcomes.Reason.BAD_REQUEST, what)
        host = found.field_by_name.get(headers.HOST, b'').decode('latin-1')
        path = target.decode('latin-1')
        return events.CallReceived(
            call_id=call_id,
            service='',
            method=scope['method'],
            path=path,
            deadline_ms=self._now_ms() + remaining_ms,
            fingerprint=fingerprints.of_call(
                host,
                scope['method'],
                path,
                body,
            ),
            host=host.partition(':')[0].lower(),
            request_id=self._fields.request_id_of(found.field_by_name),
        )

    async def _reject(
        self,
        scope: asgi.Scope,
        send: asgi.Send,
        bad: incoming.BadRequest,
    ) -> None:
        self._shell.metrics.count('refused', bad.reason.value)
        found = headers.index(scope['headers']).field_by_name
        self._shell.decisions.reject(
            self._fields.request_id_of(found),
            bad.reason.value,
            bad.detail,
            self._now_ms(),
        )
        reply = replies.not_run(bad.reason, bad.detail)
        await self._send(send, scope['method'], reply)

    async def _send(
        self,
        send: asgi.Send,
        method: str,
        reply: pending.Reply,
    ) -> None:
        phase = self._shell.state.instances.phase
        closing = phase is instances.Phase.STOPPING
        await replies.send_reply(
            send,
            method,
            reply,
            closing,
            whole_seconds=False,
        )

    def _limits(self) -> routes.CallerLimits:
        in_force = self._shell.state.routes.in_force
        return in_force.limits if in_force else _DEFAULT_LIMITS

    def _now_ms(self) -> clock.Millis:
        return self._shell.sides.clock.now_ms()


def create(
    carrier: gateway.Gateway,
    request_fields: RequestFields,
) -> RoutedCallersApp:
    """Create the application for callers."""
    return RoutedCallersApp(carrier, request_fields)
