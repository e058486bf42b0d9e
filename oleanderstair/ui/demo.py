"""Brings up a small deployment on loopback and shows its promises held."""

import dataclasses
import sys
import typing

import anyio
import cappa
import httpcore

from oleanderstair import clock
from oleanderstair.domain.tables import instances
from oleanderstair.emulator import fleet
from oleanderstair.engine import headers, node

_INSTANCES: typing.Final = 4
_BOUND_MS: typing.Final = 30_000
_POLL_MS: typing.Final = 50
_LOOKUPS: typing.Final = 20
_OK: typing.Final = 200


def run_demo(command: 'Demo') -> None:
    """Run the demo; exit 0 only where every outcome held."""
    held = anyio.run(_run)
    raise SystemExit(0 if held else 1)


@cappa.command(name='demo', invoke=run_demo)
@dataclasses.dataclass
class Demo:
    """Show the whole path on loopback, without any platform."""


async def _run() -> bool:
    held = False
    with anyio.move_on_after(clock.to_seconds(_BOUND_MS)):
        async with anyio.create_task_group() as tasks:
            deployment = fleet.create(fleet.COOPERATIVE, tasks)
            held = await _show(deployment)
            tasks.cancel_scope.cancel()
    return held


async def _show(deployment: fleet.Fleet) -> bool:
    deployment.platform.publish(deployment.first_note())
    nodes = [
        deployment.start_node(
            f'entry-{number}',
            {'confirm_without_peers': True},
        )
        for number in range(1, _INSTANCES + 1)
    ]
    for started in nodes:
        await _until_serving(started)
    served = 0
    async with httpcore.AsyncConnectionPool() as pool:
        for number in range(_LOOKUPS):
            instance = nodes[number % len(nodes)]
            answer = await pool.request(
                'GET',
                f'http://{instance.identity.caller_address}/listings',
                headers=[(headers.SERVICE, b'burza')],
            )
            served += int(answer.status == _OK)
    sys.stdout.write(f'lookups served: {served} of {_LOOKUPS}\n')
    return served == _LOOKUPS


async def _until_serving(instance: node.Node) -> None:
    while not _is_serving(instance):
        await anyio.sleep(clock.to_seconds(_POLL_MS))


def _is_serving(instance: node.Node) -> bool:
    carrier = instance.carrier
    if carrier is None:
        return False
    return carrier.state.instances.phase is instances.Phase.SERVING
