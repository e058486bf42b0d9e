"""The read-only listener for operators."""

import typing

from oleanderstair import metrics
from oleanderstair.engine import asgi, balancer_runtime, status

_TRACE_PATH: typing.Final = '/trace'
_OK: typing.Final = 200
_NOT_FOUND: typing.Final = 404


class AdminApp:
    """An ASGI application that reports the state of a runtime."""

    def __init__(self, runtime: balancer_runtime.BalancerRuntime) -> None:
        """Report the state of ``runtime``."""
        self._runtime = runtime
        self._report_by_path: dict[str, typing.Callable[[], object]] = {
            '/status': lambda: status.describe(*self._state_and_time()),
            '/targets': lambda: status.describe_targets(
                *self._state_and_time()
            ),
            '/instances': lambda: status.describe_instances(
                *self._state_and_time()
            ),
            '/audit': lambda: list(runtime.audit_trail.entries),
            '/metrics': lambda: metrics.create_report(runtime.metrics),
        }

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Answer one request with a report or with status 404."""
        if scope['path'] == _TRACE_PATH and self._runtime.recorder:
            await _send_trace(send, self._runtime.recorder)
            return
        report = self._report_by_path.get(scope['path'])
        if report is None or scope['method'] != 'GET':
            document = {
                'error': 'no such report',
                'remedy': f'GET one of {" ".join(self._report_by_path)}',
            }
            await asgi.respond_json(send, _NOT_FOUND, document)
            return
        await asgi.respond_json(send, _OK, report())

    def _state_and_time(self) -> tuple[typing.Any, float]:
        return (
            self._runtime.state,
            self._runtime.balancer_dependencies.clock.now_ms(),
        )


async def _send_trace(
    send: asgi.Send, recorder: balancer_runtime.Recorder
) -> None:
    body = recorder.export()
    fields = [
        (b'content-type', b'application/x-ndjson'),
        (b'content-length', str(len(body)).encode()),
    ]
    await asgi.respond(send, _OK, fields, body)


def create(runtime: balancer_runtime.BalancerRuntime) -> AdminApp:
    """Create the application of the operators' listener."""
    return AdminApp(runtime)
