"""Serves the directory, readiness and metrics requests of the platform."""

import importlib
import typing
import urllib.parse

from oleanderstair.domain.fleet import caller_addresses, readiness
from oleanderstair.engine import (
    asgi,
    byte_ledger,
    gateway_runtime,
    listener,
)
from oleanderstair.explaining import exposition, gauges

_OK: typing.Final = 200
_UNAVAILABLE: typing.Final = 503
_ADDRESSES_PATH: typing.Final = '/-/addresses'
_METRICS_PATH: typing.Final = '/metrics'
_PLACEMENT_PATH: typing.Final = '/where'
_MS_PER_S: typing.Final = 1000


class PlatformApp:
    """The application of the directory, readiness and metrics listeners."""

    def __init__(
        self,
        runtime: gateway_runtime.GatewayRuntime,
        metrics_address: str = '',
    ) -> None:
        """Answer from the state of ``runtime``.

        Metrics, and where a request would go, are served only on the listener
        at ``metrics_address``, host and port; nowhere if it is empty.
        """
        self._runtime = runtime
        self._metrics_address = metrics_address

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Answer one request.

        Any path but those of the metrics and addresses reports the readiness.
        """
        # Answers that their client doesn't read must not become more.
        await listener.protocol_of(scope).wait_until_read()
        if self._is_on_metrics_address(scope):
            if scope['path'] == _METRICS_PATH:
                await self._answer_metrics(send)
                return
            if scope['path'] == _PLACEMENT_PATH:
                await self._answer_placement(scope, send)
                return
        if scope['path'] == _ADDRESSES_PATH:
            await self._answer_addresses(scope, send)
            return
        ready = readiness.is_ready(self._runtime.state)
        status = _OK if ready else _UNAVAILABLE
        document = {
            'ready': ready,
            'waits_for': self._runtime.state.instances.waits_for,
        }
        await asgi.respond_json(send, status, document)

    def _is_on_metrics_address(self, scope: asgi.Scope) -> bool:
        host, port = scope['server']
        return f'{host}:{port}' == self._metrics_address

    async def _answer_metrics(self, send: asgi.Send) -> None:
        runtime = self._runtime
        now_ms = runtime.sides.clock.now_ms()
        samples = [
            *gauges.read(runtime.state, now_ms),
            *_bytes_of(runtime.ledger),
            *gauges.read_start(runtime.times),
        ]
        body = exposition.write(runtime.metrics, samples).encode()
        fields = [
            (b'content-type', exposition.CONTENT_TYPE),
            (b'content-length', str(len(body)).encode()),
        ]
        await asgi.respond(send, _OK, fields, body)

    async def _answer_placement(
        self,
        scope: asgi.Scope,
        send: asgi.Send,
    ) -> None:
        # Imported at its first use, as a start does not need it.
        placement = importlib.import_module(
            'oleanderstair.explaining.placement'
        )
        query = urllib.parse.parse_qs(scope['query_string'].decode('latin-1'))
        explained = placement.explain(
            self._runtime.state,
            query.get('host', [''])[0].lower(),
            query.get('path', ['/'])[0],
            self._runtime.sides.clock.now_ms(),
        )
        await asgi.respond_json(send, _OK, explained)

    async def _answer_addresses(
        self,
        scope: asgi.Scope,
        send: asgi.Send,
    ) -> None:
        query = urllib.parse.parse_qs(scope['query_string'].decode('latin-1'))
        state = self._runtime.state
        data_centres = query.get('data_centre', [state.identity.data_centre])
        host_names = query.get('name', [''])
        addresses = caller_addresses.choose_addresses(
            state, host_names[0], data_centres[0]
        )
        document = {
            'addresses': addresses,
            'valid_s': state.policy.answer_validity_ms / _MS_PER_S,
        }
        await asgi.respond_json(
            send, _OK if addresses else _UNAVAILABLE, document
        )


def create(
    runtime: gateway_runtime.GatewayRuntime,
    metrics_address: str = '',
) -> PlatformApp:
    """Create the application for an instance's platform listeners."""
    return PlatformApp(runtime, metrics_address)


def _bytes_of(ledger: byte_ledger.ByteLedger | None) -> list[gauges.Gauge]:
    if ledger is None:
        return []
    unread_bytes = sum(ledger.unread_by_reader.values())
    sent_bytes = max(ledger.sent_by_target.values(), default=0)
    return [
        gauges.Gauge('buffered_bytes_limit', (), ledger.budget.total_bytes),
        gauges.Gauge('buffered_bytes', (), ledger.used_bytes),
        gauges.Gauge('client_connections', (), ledger.connection_count),
        gauges.Gauge('request_bytes', (), sum(ledger.input_by_sender.values())),
        gauges.Gauge('unfinished_requests', (), len(ledger.unfinished)),
        gauges.Gauge('unread_answer_bytes', (), unread_bytes),
        gauges.Gauge('unread_answers', (), len(ledger.unread_by_reader)),
        gauges.Gauge('paused_answers', (), ledger.waiting_answers),
        gauges.Gauge('target_body_bytes_max', (), sent_bytes),
    ]
