"""The listener for operators; nothing here changes anything."""

import typing

from oleanderstair.domain import standing
from oleanderstair.domain.tables import targets
from oleanderstair.engine import asgi, shell

_OK: typing.Final = 200
_NOT_FOUND: typing.Final = 404


class AdminApp:
    """An ASGI application that reports on a shell."""

    def __init__(self, reported: shell.Shell) -> None:
        """Report on ``reported``."""
        self._shell = reported
        self._report_by_path: dict[str, typing.Callable[[], object]] = {
            '/status': self._status,
            '/targets': self._targets,
            '/instances': self._instances,
            '/audit': self._audit,
            '/metrics': self._metrics,
        }

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Answer one request."""
        report = self._report_by_path.get(scope['path'])
        if report is None or scope['method'] != 'GET':
            document = {'error': 'unknown', 'remedy': 'GET one of the paths'}
            await asgi.respond_json(send, _NOT_FOUND, document)
            return
        await asgi.respond_json(send, _OK, report())

    def _status(self) -> object:
        state = self._shell.state
        in_force = state.catalogue.in_force
        return {
            'instance': state.identity.instance_id,
            'incarnation': state.identity.incarnation,
            'phase': state.instances.phase.value,
            'note': {'number': in_force.number, 'digest': in_force.digest},
            'highest_heard': state.catalogue.highest_heard,
            'services': len(in_force.service_by_name),
            'targets': len(in_force.target_by_id),
            'calls_in_flight': len(state.calls.call_by_id),
            **standing.report(state, self._shell.ports.clock.now_ms()),
        }

    def _targets(self) -> object:
        state = self._shell.state
        return [
            {
                'target': target.target_id,
                'service': target.service,
                'address': target.address,
                'data_centre': target.data_centre,
                'slots': target.slots,
                **targets.condition_of(
                    state.targets,
                    target.target_id,
                )._asdict(),
            }
            for target in state.catalogue.in_force.target_by_id.values()
        ]

    def _instances(self) -> object:
        table = self._shell.state.instances
        return [peer._asdict() for peer in table.peer_by_incarnation.values()]

    def _audit(self) -> object:
        return list(self._shell.trail.entries)

    def _metrics(self) -> object:
        found = self._shell.metrics
        return {
            'counters': [
                {'name': name, 'label': label, 'count': count}
                for (name, label), count in sorted(found.count_by_name.items())
            ],
            'histograms': found.summaries(),
        }


def create(reported: shell.Shell) -> AdminApp:
    """Create the application for operators."""
    return AdminApp(reported)
