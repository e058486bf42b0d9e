"""The ASGI application for callers of an instance that forwards by routes."""

import typing

from oleanderstair import clock, start_times
from oleanderstair.domain import events, outcomes
from oleanderstair.domain.calls import fingerprints
from oleanderstair.domain.fleet import readiness
from oleanderstair.domain.tables import instances, routes
from oleanderstair.engine import (
    asgi,
    gateway_runtime,
    headers,
    incoming,
    listener,
    pending,
    replies,
)

MAX_START_WAIT_MS: typing.Final = 1500
"""Time from the start of an instance in which calls may wait for routes."""

_MAX_START_WAIT_SHARE: typing.Final = 1 / 3
"""Share of the time to its deadline for which a call may wait for routes."""

_DEFAULT_LIMITS: typing.Final = routes.CallerLimits()


class CallerDialect(typing.Protocol):
    """Parses the header fields of callers."""

    def find_fault(self, field_index: headers.FieldIndex) -> str:
        """Return why the fields of a request are invalid, or ''."""

    def request_id_of(self, fields: dict[bytes, bytes]) -> str:
        """Return the request id that the caller set, or ''."""

    def remaining_ms_of(self, fields: dict[bytes, bytes]) -> int | None:
        """Return the time until the caller's deadline, None if invalid."""


class RoutedCallerApp:
    """Runs the calls of callers in a gateway runtime."""

    def __init__(
        self,
        runtime: gateway_runtime.GatewayRuntime,
        caller_dialect: CallerDialect,
    ) -> None:
        """Run calls in ``runtime``; ``caller_dialect`` parses their fields."""
        self._runtime = runtime
        self._caller_dialect = caller_dialect
        self._created_ms = self._now_ms()

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Answer one request."""
        limits = self._caller_limits()
        bounds = incoming.BodyBounds(
            limits.max_body_bytes,
            None if listener.has_whole_request(scope) else limits.idle_ms,
            'in time',
        )
        started_ms = self._now_ms()
        try:
            body = await incoming.read_body(receive, bounds)
        except asgi.Disconnected:
            fields = headers.index_fields(scope['headers']).field_by_name
            self._report_caller_left(
                self._caller_dialect.request_id_of(fields),
                'in-body',
                self._now_ms() - started_ms,
            )
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
        received = self._read_call(scope, body, call_id)
        if isinstance(received, incoming.BadRequest):
            await self._reject(scope, send, received)
            return
        request = incoming.build_target_request(scope, body)
        waited_ms = await self._wait_for_routes(received)
        if listener.protocol_of(scope).transport.is_closing():
            self._report_caller_left(received.request_id, 'at-start', waited_ms)
            return
        if waited_ms:
            runtime.decisions.hold(call_id, waited_ms)
        with listener.watch_disconnect(
            scope, lambda: runtime.report_caller_left(call_id)
        ):
            reply = await runtime.run_call(received, request)
        await self._send_reply(send, scope['method'], reply)
        if reply.outcome is outcomes.Outcome.RAN:
            runtime.report_phase(start_times.FIRST_ANSWER)

    async def _wait_for_routes(
        self,
        received: events.CallReceived,
    ) -> clock.Millis:
        """Wait until routes and targets are known, shortly after the start.

        The wait ends 1.5 s after the start, or earlier after a third of the
        time to the deadline. Return its duration, 0 if there was none.
        """
        if readiness.has_store_state(self._runtime.state):
            return 0
        now_ms = self._now_ms()
        remaining_ms = received.deadline_ms - now_ms
        until_ms = min(
            self._created_ms + MAX_START_WAIT_MS,
            now_ms + remaining_ms * _MAX_START_WAIT_SHARE,
        )
        await self._runtime.start_queue.wait(received, until_ms - now_ms)
        return self._now_ms() - now_ms

    def _report_caller_left(
        self,
        request_id: str,
        where: str,
        after_ms: clock.Millis,
    ) -> None:
        """Count and log a caller that left before its call was started."""
        self._runtime.metrics.count('caller-left', where)
        self._runtime.decisions.leave(
            request_id,
            where,
            after_ms,
            self._now_ms(),
        )

    def _read_call(
        self,
        scope: asgi.Scope,
        body: bytes,
        call_id: int,
    ) -> events.CallReceived | incoming.BadRequest:
        field_index = headers.index_fields(scope['headers'])
        target = incoming.request_target_of(scope)
        error_text = incoming.find_request_error(
            field_index,
            scope['headers'],
            scope['method'],
            target,
        )
        error_text = error_text or self._caller_dialect.find_fault(field_index)
        remaining_ms = self._caller_dialect.remaining_ms_of(
            field_index.field_by_name
        )
        if remaining_ms is None:
            error_text = 'the deadline is missing or no whole number of ms'
        if error_text or remaining_ms is None:
            return incoming.BadRequest(outcomes.Reason.BAD_REQUEST, error_text)
        host = field_index.field_by_name.get(headers.HOST, b'').decode(
            'latin-1'
        )
        path = target.decode('latin-1')
        return events.CallReceived(
            call_id=call_id,
            service='',
            method=scope['method'],
            path=path,
            deadline_ms=self._now_ms() + remaining_ms,
            fingerprint=fingerprints.request_fingerprint(
                host,
                scope['method'],
                path,
                body,
            ),
            host=host.partition(':')[0].lower(),
            request_id=self._caller_dialect.request_id_of(
                field_index.field_by_name
            ),
        )

    async def _reject(
        self,
        scope: asgi.Scope,
        send: asgi.Send,
        bad_request: incoming.BadRequest,
    ) -> None:
        self._runtime.metrics.count('refused', bad_request.reason.value)
        fields = headers.index_fields(scope['headers']).field_by_name
        self._runtime.decisions.reject(
            self._caller_dialect.request_id_of(fields),
            bad_request.reason.value,
            bad_request.detail,
            self._now_ms(),
        )
        reply = replies.not_run_reply(bad_request.reason, bad_request.detail)
        await self._send_reply(send, scope['method'], reply)

    async def _send_reply(
        self,
        send: asgi.Send,
        method: str,
        reply: pending.Reply,
    ) -> None:
        phase = self._runtime.state.instances.phase
        closing = phase is instances.Phase.STOPPING
        await replies.send_reply(
            send,
            method,
            reply,
            closing,
            whole_seconds=False,
        )

    def _caller_limits(self) -> routes.CallerLimits:
        in_force = self._runtime.state.routes.in_force
        return in_force.limits if in_force else _DEFAULT_LIMITS

    def _now_ms(self) -> clock.Millis:
        return self._runtime.sides.clock.now_ms()


def create(
    runtime: gateway_runtime.GatewayRuntime,
    caller_dialect: CallerDialect,
) -> RoutedCallerApp:
    """Create the application of the callers' listener."""
    return RoutedCallerApp(runtime, caller_dialect)
