"""The ASGI application for callers of an instance that forwards by routes."""

import typing

from oleanderstair import clock, start_times
from oleanderstair.domain import events, outcomes
from oleanderstair.domain.calls import fingerprints
from oleanderstair.domain.configuration import routing
from oleanderstair.domain.fleet import readiness
from oleanderstair.domain.tables import instances, routes
from oleanderstair.engine import (
    asgi,
    byte_ledger,
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

_ANSWER_SIZE_WEIGHT: typing.Final = 0.2
"""The weight of the newest answer in the expected size of a route's answers."""

_MAX_ANSWER_SIZES: typing.Final = 4096
"""Maximum number of routes whose expected answers are stored."""

_CALLER_BEHIND: typing.Final = incoming.BadRequest(
    outcomes.Reason.OVERLOADED,
    'the deadline passed before the earlier answer was read',
)
"""Refusal of a call that waited for its caller until its deadline."""

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
        self._answer_bytes_by_route: dict[str, float] = {}

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Answer one request, within the memory for buffered bytes."""
        ledger = self._runtime.ledger
        if ledger is None:
            await self._answer(scope, receive, send, None)
            return
        started_ms = self._now_ms()
        # An answer that waits for its caller must not be joined by the next.
        await listener.protocol_of(scope).wait_until_read()
        holding = self._open_holding(scope, ledger)
        if isinstance(holding, incoming.BadRequest):
            await self._reject_and_close(scope, send, holding)
            return
        protocol = listener.protocol_of(scope)
        if not listener.has_whole_request(scope):
            protocol.hold_body(holding)
        try:
            await self._answer(
                scope, receive, send, holding, self._now_ms() - started_ms
            )
        finally:
            protocol.hold_body(None)
            holding.release()

    def _open_holding(
        self, scope: asgi.Scope, ledger: byte_ledger.ByteLedger
    ) -> byte_ledger.Holding | incoming.BadRequest:
        """Hold the declared body and the expected answer, or refuse them."""
        field_index = headers.index_fields(scope['headers'])
        fields = field_index.field_by_name
        declared = fields.get(headers.CONTENT_LENGTH, b'0')
        body_bytes = headers.parse_count(declared) or 0
        if body_bytes > self._caller_limits().max_body_bytes:
            return incoming.BODY_TOO_LARGE
        route = self._route_of(scope)
        route_name = route.name if route else ''
        expected_bytes = self._answer_bytes_by_route.get(route_name, 0)
        opened = ledger.open(
            listener.protocol_of(scope),
            body_bytes,
            int(expected_bytes),
            route.parts[0].service if route else '',
        )
        if isinstance(opened, byte_ledger.Refusal):
            return self._refuse_for_memory(opened)
        return opened

    def _refuse_for_memory(
        self, refusal: byte_ledger.Refusal
    ) -> incoming.BadRequest:
        self._runtime.metrics.count('memory-refused')
        return incoming.BadRequest(
            outcomes.Reason.OVERLOADED, refusal.detail, refusal.retry_after_ms
        )

    async def _answer(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
        holding: byte_ledger.Holding | None,
        waited_ms: clock.Millis = 0,
    ) -> None:
        limits = self._caller_limits()
        bounds = incoming.BodyBounds(
            limits.max_body_bytes,
            None if listener.has_whole_request(scope) else limits.idle_ms,
            'in time',
            None if holding is None else holding.grow_body,
        )
        started_ms = self._now_ms()
        try:
            body = await incoming.read_body(receive, bounds)
        except asgi.BodyNotHeld:
            assert holding is not None  # noqa: S101 (only a holding refuses)
            refusal = self._refuse_for_memory(holding.refuse_more())
            await self._reject_and_close(scope, send, refusal)
            return
        except asgi.Disconnected:
            fields = headers.index_fields(scope['headers']).field_by_name
            self._report_caller_left(
                self._caller_dialect.request_id_of(fields),
                'in-body',
                self._now_ms() - started_ms,
            )
            return
        if isinstance(body, incoming.BadRequest):
            await self._reject_and_close(scope, send, body)
            return
        listener.protocol_of(scope).hold_body(None)
        await self._run_call(scope, body, send, holding, waited_ms)

    async def _run_call(
        self,
        scope: asgi.Scope,
        body: bytes,
        send: asgi.Send,
        holding: byte_ledger.Holding | None,
        behind_ms: clock.Millis,
    ) -> None:
        runtime = self._runtime
        call_id = runtime.pending.claim_call_id()
        received = self._read_call(scope, body, call_id)
        if isinstance(received, incoming.BadRequest):
            await self._reject(scope, send, received)
            return
        # The caller's time passes while its earlier answers are unread.
        received = received._replace(
            deadline_ms=received.deadline_ms - behind_ms
        )
        if behind_ms and received.deadline_ms <= self._now_ms():
            await self._reject(scope, send, _CALLER_BEHIND)
            return
        listener.protocol_of(scope).await_client(
            received.deadline_ms - self._now_ms()
        )
        request = incoming.build_target_request(scope, body)
        waited_ms = await self._wait_for_routes(received)
        if listener.protocol_of(scope).transport.is_closing():
            self._report_caller_left(received.request_id, 'at-start', waited_ms)
            return
        if waited_ms:
            runtime.decisions.hold(call_id, waited_ms)
        with listener.watch_disconnect(
            scope,
            lambda: runtime.report_caller_left(call_id),
            lambda: runtime.report_half_close(call_id),
        ):
            reply = await runtime.run_call(received, request, holding)
        if holding is not None:
            self._record_answer_size(scope, holding, reply)
        await self._send_reply(scope, send, reply)
        if reply.outcome is outcomes.Outcome.RAN:
            runtime.report_phase(start_times.FIRST_ANSWER)

    def _record_answer_size(
        self,
        scope: asgi.Scope,
        holding: byte_ledger.Holding,
        reply: pending.Reply,
    ) -> None:
        """Update the mean size of the answers of a route."""
        if reply.answer is None:
            return
        size = len(reply.answer.body)
        holding.add_complete_answer(size)
        sizes = self._answer_bytes_by_route
        route = self._route_of(scope)
        route_name = route.name if route else ''
        before_bytes = sizes.pop(route_name, size)
        change_bytes = (size - before_bytes) * _ANSWER_SIZE_WEIGHT
        sizes[route_name] = before_bytes + change_bytes
        while len(sizes) > _MAX_ANSWER_SIZES:
            sizes.pop(next(iter(sizes)))

    def _route_of(self, scope: asgi.Scope) -> routes.Route | None:
        in_force = self._runtime.state.routes.in_force
        if in_force is None:
            return None
        fields = headers.index_fields(scope['headers']).field_by_name
        return routing.find_route(
            in_force,
            _host_of(fields),
            incoming.request_target_of(scope).decode('latin-1'),
        )

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
            host=_host_of(field_index.field_by_name),
            request_id=self._caller_dialect.request_id_of(
                field_index.field_by_name
            ),
        )

    async def _reject_and_close(
        self,
        scope: asgi.Scope,
        send: asgi.Send,
        bad_request: incoming.BadRequest,
    ) -> None:
        """Refuse a request; its connection can't send the same again."""
        listener.protocol_of(scope).close_after_answer()
        await self._reject(scope, send, bad_request)

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
        reply = replies.not_run_reply(
            bad_request.reason,
            bad_request.detail,
            bad_request.retry_after_ms,
        )
        await self._send_reply(scope, send, reply)

    async def _send_reply(
        self,
        scope: asgi.Scope,
        send: asgi.Send,
        reply: pending.Reply,
    ) -> None:
        phase = self._runtime.state.instances.phase
        is_stopping = phase is instances.Phase.STOPPING
        await replies.send_reply(
            send,
            scope['method'],
            reply,
            is_stopping and not listener.has_later_request(scope),
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


def _host_of(fields: dict[bytes, bytes]) -> str:
    host = fields.get(headers.HOST, b'').decode('latin-1')
    return host.partition(':')[0].lower()
