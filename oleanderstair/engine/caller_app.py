"""The ASGI application for callers: calls and the address endpoint."""

import typing
import urllib.parse

from oleanderstair import settings
from oleanderstair.domain import outcomes
from oleanderstair.domain.calls import addresses, keys
from oleanderstair.domain.tables import instances
from oleanderstair.engine import (
    asgi,
    balancer_runtime,
    byte_ledger,
    headers,
    incoming,
    listener,
    pending,
    replies,
)

ADDRESSES_PATH: typing.Final = '/-/addresses'
_OK: typing.Final = 200


class CallerApp:
    """Runs the calls of callers and answers requests for addresses."""

    def __init__(
        self,
        runtime: balancer_runtime.BalancerRuntime,
        bounds: settings.CallerSettings,
        ledger: byte_ledger.ByteLedger | None = None,
    ) -> None:
        """Run calls in ``runtime``, each within the limits of ``bounds``.

        Their bodies and answers are held in ``ledger``, if there is one.
        """
        self._runtime = runtime
        self._bounds = bounds
        self._ledger = ledger

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Answer one request."""
        if scope['path'] == ADDRESSES_PATH:
            await self._send_addresses(scope, send)
            return
        if _declared_bytes_of(scope) > self._bounds.max_body_bytes:
            await self._reject(scope, send, incoming.BODY_TOO_LARGE)
            return
        if self._ledger is None:
            await self._answer(scope, receive, send, None)
            return
        await listener.protocol_of(scope).wait_until_read()
        holding = self._open_holding(scope, self._ledger)
        if isinstance(holding, byte_ledger.Refusal):
            await self._reject_for_memory(scope, send, holding)
            return
        try:
            await self._answer(scope, receive, send, holding)
        finally:
            listener.protocol_of(scope).hold_body(None)
            holding.release()

    def _open_holding(
        self, scope: asgi.Scope, ledger: byte_ledger.ByteLedger
    ) -> byte_ledger.Holding | byte_ledger.Refusal:
        """Hold the declared body, or refuse it."""
        protocol = listener.protocol_of(scope)
        service = headers.find_field(scope['headers'], headers.SERVICE)
        holding = ledger.open(
            protocol, _declared_bytes_of(scope), 0, service.decode('latin-1')
        )
        if isinstance(holding, byte_ledger.Holding):
            if not listener.has_whole_request(scope):
                protocol.hold_body(holding)
        return holding

    async def _answer(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
        holding: byte_ledger.Holding | None,
    ) -> None:
        bounds = incoming.BodyBounds(
            self._bounds.max_body_bytes,
            self._bounds.request_time_ms,
            'within request_time_ms',
            None if holding is None else holding.grow_body,
        )
        try:
            body = await incoming.read_body(receive, bounds)
        except asgi.BodyNotHeld:
            assert holding is not None  # noqa: S101 (only a holding refuses)
            await self._reject_for_memory(scope, send, holding.refuse_more())
            return
        except asgi.Disconnected:
            self._runtime.metrics.count('caller-left', 'in-body')
            return
        if isinstance(body, incoming.BadRequest):
            await self._reject(scope, send, body)
            return
        listener.protocol_of(scope).hold_body(None)
        await self._run_call(scope, body, send, holding)

    async def _run_call(
        self,
        scope: asgi.Scope,
        body: bytes,
        send: asgi.Send,
        holding: byte_ledger.Holding | None,
    ) -> None:
        runtime = self._runtime
        call_id = runtime.pending.claim_call_id()
        limits = incoming.CallLimits(
            runtime.state.catalogue.in_force,
            runtime.state.policy.max_depth,
            runtime.balancer_dependencies.clock.now_ms(),
        )
        received = incoming.read_call(scope, body, call_id, limits)
        if isinstance(received, incoming.BadRequest):
            await self._reject(scope, send, received)
            return
        request = incoming.build_target_request(scope, body)
        with listener.watch_disconnect(
            scope, lambda: runtime.report_caller_left(call_id)
        ):
            reply = await runtime.run_call(received, request, holding)
        if holding is not None and reply.answer is not None:
            holding.add_complete_answer(len(reply.answer.body))
        closing = self._is_closing(scope)
        await replies.send_reply(send, received.method, reply, closing)

    async def _send_addresses(
        self,
        scope: asgi.Scope,
        send: asgi.Send,
    ) -> None:
        query = urllib.parse.parse_qs(scope['query_string'].decode('latin-1'))
        own_data_centre = self._runtime.state.identity.data_centre
        data_centre = query.get('data_centre', [own_data_centre])[0]
        now_ms = self._runtime.balancer_dependencies.clock.now_ms()
        document = addresses.list_addresses(
            self._runtime.state, data_centre, now_ms
        )
        await asgi.respond_json(send, _OK, document)

    async def _reject_for_memory(
        self,
        scope: asgi.Scope,
        send: asgi.Send,
        refusal: byte_ledger.Refusal,
    ) -> None:
        """Refuse a request; its connection can't send the same again."""
        self._runtime.metrics.count('memory-refused')
        listener.protocol_of(scope).close_after_answer()
        bad_request = incoming.BadRequest(
            outcomes.Reason.OVERLOADED, refusal.detail, refusal.retry_after_ms
        )
        await self._reject(scope, send, bad_request)

    async def _reject(
        self,
        scope: asgi.Scope,
        send: asgi.Send,
        bad_request: incoming.BadRequest,
    ) -> None:
        self._runtime.metrics.count('refused', bad_request.reason.value)
        reply = _rejection_reply(scope['headers'], bad_request)
        closing = self._is_closing(scope)
        await replies.send_reply(send, scope['method'], reply, closing)

    def _is_closing(self, scope: asgi.Scope) -> bool:
        """Return whether the answer is the last one on its connection."""
        phase = self._runtime.state.instances.phase
        is_stopping = phase is instances.Phase.STOPPING
        return is_stopping and not listener.has_later_request(scope)


def _declared_bytes_of(scope: asgi.Scope) -> int:
    declared = headers.find_field(scope['headers'], headers.CONTENT_LENGTH)
    return int(declared) if declared else 0


def _rejection_reply(
    fields: headers.AnyFields,
    bad_request: incoming.BadRequest,
) -> pending.Reply:
    """Return the reply to an invalid request, which may carry a key.

    Only the home of a bound key can state that its call did not run, so a
    request with such a key gets the outcome ``unknown``.
    """
    key = headers.find_field(fields, headers.KEY).decode('latin-1')
    if keys.split_key(key) is None:
        return replies.not_run_reply(
            bad_request.reason, bad_request.detail, bad_request.retry_after_ms
        )
    return pending.Reply(
        outcomes.Outcome.UNKNOWN, bad_request.reason, detail=bad_request.detail
    )


def create(
    runtime: balancer_runtime.BalancerRuntime,
    bounds: settings.CallerSettings,
    ledger: byte_ledger.ByteLedger | None = None,
) -> CallerApp:
    """Create the application of the callers' listener."""
    return CallerApp(runtime, bounds, ledger)
