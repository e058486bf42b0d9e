"""The listener for operators; nothing here changes anything."""

import typing

from oleanderstair import metrics
from oleanderstair.engine import asgi, shell, status

_TRACE_PATH: typing.Final = '/trace'
_OK: typing.Final = 200
_NOT_FOUND: typing.Final = 404


class AdminApp:
    """An ASGI application that reports on a shell."""

    def __init__(self, reported: shell.Shell) -> None:
        """Report on ``reported``."""
        self._shell = reported
        self._report_by_path: dict[str, typing.Callable[[], object]] = {
            '/status': lambda: status.describe(*self._seen()),
            '/targets': lambda: status.describe_targets(*self._seen()),
            '/instances': lambda: status.describe_instances(*self._seen()),
            '/audit': lambda: list(reported.trail.entries),
            '/metrics': lambda: metrics.describe(reported.metrics),
        }

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Answer one request."""
        if scope['path'] == _TRACE_PATH and self._shell.recorder:
            await _respond_trace(send, self._shell.recorder)
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

    def _seen(self) -> tuple[typing.Any, float]:
        return self._shell.state, self._shell.ports.clock.now_ms()


async def _respond_trace(send: asgi.Send, kept: shell.Recorder) -> None:
    body = kept.export()
    fields = [
        (b'content-type', b'application/x-ndjson'),
        (b'content-length', str(len(body)).encode()),
    ]
    await asgi.respond(send, _OK, fields, body)


def create(reported: shell.Shell) -> AdminApp:
    """Create the application for operators."""
    return AdminApp(reported)
