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
    ) -> None:
        """Run calls in ``runtime``, each within the limits of ``bounds``."""
        self._runtime = runtime
        self._bounds = bounds

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
        if _declares_larger_body(scope, self._bounds.max_body_bytes):
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
            self._runtime.metrics.count('caller-left', 'in-body')
            return
        if isinstance(body, incoming.BadRequest):
            await self._reject(scope, send, body)
            return
        await self._run_call(scope, body, send)

    async def _run_call(
        self,
        scope: asgi.Scope,
        body: bytes,
        send: asgi.Send,
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
            reply = await runtime.run_call(received, request)
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

    async def _reject(
        self,
        scope: asgi.Scope,
        send: asgi.Send,
        bad_request: incoming.BadRequest,
    ) -> None:
        self._runtime.metrics.count('refused', bad_request.reason.value)
        reply = _rejection_reply(
            scope['headers'], bad_request.reason, bad_request.detail
        )
        closing = self._is_closing(scope)
        await replies.send_reply(send, scope['method'], reply, closing)

    def _is_closing(self, scope: asgi.Scope) -> bool:
        """Return whether the answer is the last one on its connection."""
        phase = self._runtime.state.instances.phase
        is_stopping = phase is instances.Phase.STOPPING
        return is_stopping and not listener.has_later_request(scope)


def _declares_larger_body(scope: asgi.Scope, max_bytes: int) -> bool:
    declared = headers.find_field(scope['headers'], headers.CONTENT_LENGTH)
    return bool(declared) and int(declared) > max_bytes


def _rejection_reply(
    fields: headers.AnyFields,
    reason: outcomes.Reason,
    detail: str,
) -> pending.Reply:
    """Return the reply to an invalid request, which may carry a key.

    Only the home of a bound key can state that its call did not run, so a
    request with such a key gets the outcome ``unknown``.
    """
    key = headers.find_field(fields, headers.KEY).decode('latin-1')
    if keys.split_key(key) is None:
        return replies.not_run_reply(reason, detail)
    return pending.Reply(outcomes.Outcome.UNKNOWN, reason, detail=detail)


def create(
    runtime: balancer_runtime.BalancerRuntime,
    bounds: settings.CallerSettings,
) -> CallerApp:
    """Create the application of the callers' listener."""
    return CallerApp(runtime, bounds)
