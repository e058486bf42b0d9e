"""Records a small trace of real work of each example deployment."""

import pathlib
import sys
import typing

import anyio
import httpcore

from oleanderstair import clock
from oleanderstair.domain.tables import instances
from oleanderstair.emulator import fleet
from oleanderstair.engine import headers, node

EXAMPLES: typing.Final = pathlib.Path('examples')
_PLAN_BY_FOLDER: typing.Final = {
    'cooperative': fleet.COOPERATIVE,
    'cotopaxi': fleet.COTOPAXI,
}
_EVENTS: typing.Final = 600
_INSTANCES: typing.Final = 3
_CALLS: typing.Final = 24
_PAUSE_MS: typing.Final = 20
_BOUND_MS: typing.Final = 30_000
_ORDER_EVERY: typing.Final = 4


async def record(plan: fleet.Plan) -> bytes:
    """Serve lookups and orders on loopback; return one instance's trace."""
    with anyio.fail_after(clock.to_seconds(_BOUND_MS)):
        async with anyio.create_task_group() as tasks:
            deployment = fleet.create(plan, tasks)
            deployment.trace_events = _EVENTS
            deployment.platform.publish(deployment.first_note())
            nodes = [
                deployment.start_node(f'entry-{number}')
                for number in range(1, _INSTANCES + 1)
            ]
            while not all(_is_serving(started) for started in nodes):
                await anyio.sleep(clock.to_seconds(_PAUSE_MS))
            await _call_all(plan, nodes)
            kept = nodes[0].runtime and nodes[0].runtime.recorder
            body = kept.export() if kept else b''
            tasks.cancel_scope.cancel()
    return body


async def _call_all(plan: fleet.Plan, nodes: list[node.Node]) -> None:
    home = nodes[0].identity.incarnation
    async with httpcore.AsyncConnectionPool() as pool:
        for number in range(_CALLS):
            service = plan.services[number % len(plan.services)]
            is_order = number % _ORDER_EVERY == 0
            fields = [(headers.SERVICE, service.name.encode())]
            if is_order:
                key = f'{home}.1.order-{number}'
                fields.append((headers.KEY, key.encode()))
                fields.append((headers.CONTENT_LENGTH, b'0'))
            entry = nodes[number % len(nodes)].identity.caller_address
            await pool.request(
                'POST' if is_order else 'GET',
                f'http://{entry}/item/{number}',
                headers=fields,
            )
            await anyio.sleep(clock.to_seconds(_PAUSE_MS))


def _is_serving(started: node.Node) -> bool:
    carrier = started.runtime
    if carrier is None:
        return False
    return carrier.state.instances.phase is instances.Phase.SERVING


def main() -> None:
    """Write the trace of each deployment below ``examples``."""
    for folder, plan in _PLAN_BY_FOLDER.items():
        body = anyio.run(record, plan)
        path = EXAMPLES / folder / 'traces' / 'entry.jsonl'
        path.parent.mkdir(exist_ok=True)
        path.write_bytes(body)
        sys.stdout.write(f'{path}: {len(body)} bytes\n')


if __name__ == '__main__':
    main()
