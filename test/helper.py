"""Builds the worlds, harnesses and loopback fleets that tests start from."""

import contextlib
import functools
import random
import typing

import anyio
import httpcore
import msgspec

from oleanderstair.domain import actions, policy, world
from oleanderstair.domain.tables import identity, instances
from oleanderstair.emulator import fleet, harness
from oleanderstair.engine import headers, node

BOUND_S = 20
SERVICE = 'burza'


def make_world(
    instance_id: str = 'entry-1', **limits: typing.Any
) -> world.World:
    """Return the empty world of one instance."""
    own = identity.Identity(
        instance_id=instance_id,
        incarnation=f'{instance_id}~1',
        region='west',
        data_centre='trnava',
        caller_address=f'{instance_id}:80',
        peer_address=instance_id,
    )
    return world.create(own, policy.Policy(**limits), random.Random(1))


def make_harness(
    count: int = 1,
    target_count: int = 3,
    seed: int = 1,
    **limits: typing.Any,
) -> harness.Harness:
    """Return serving instances that hold a note with ``target_count``."""
    limits.setdefault('confirm_without_peers', True)
    made = harness.create(seed)
    members = [
        harness.Target(f'{SERVICE}-{number}')
        for number in range(1, target_count + 1)
    ]
    for target in members:
        made.add_target(target)
    made.publish(harness.first_note({SERVICE: members}))
    data_centres = fleet.COOPERATIVE.data_centres
    for number in range(1, count + 1):
        place = data_centres[number % len(data_centres)]
        made.add_instance(f'entry-{number}', place, **limits)
    made.run_for(3000)
    return made


def actions_of(
    made: harness.Harness,
    instance_id: str,
    kind: type[typing.Any],
) -> list[typing.Any]:
    """Return the actions of one kind that an instance has asked for."""
    log = made.instance_by_id[instance_id].action_log
    return [action for _, action in log if isinstance(action, kind)]


def audit_of(made: harness.Harness, instance_id: str) -> list[tuple[str, str]]:
    """Return kind and subject of the audited changes of an instance."""
    found = actions_of(made, instance_id, actions.Audit)
    return [(change.kind, change.subject) for change in found]


@contextlib.asynccontextmanager
async def running_fleet(
    count: int,
    trace_events: int = 0,
    **limits: typing.Any,
) -> typing.AsyncIterator[tuple[fleet.Fleet, list[node.Node]]]:
    """Run real instances, targets and a platform on loopback."""
    limits.setdefault('confirm_without_peers', True)
    with anyio.fail_after(BOUND_S):
        async with anyio.create_task_group() as tasks:
            deployment = fleet.create(fleet.COOPERATIVE, tasks)
            deployment.trace_events = trace_events
            deployment.platform.publish(deployment.first_note())
            nodes = [
                deployment.start_node(f'entry-{number}', limits)
                for number in range(1, count + 1)
            ]
            for started in nodes:
                await until(functools.partial(is_serving, started))
            yield deployment, nodes
            tasks.cancel_scope.cancel()


def is_serving(started: node.Node) -> bool:
    """Return whether an instance takes calls."""
    carrier = started.carrier
    if carrier is None:
        return False
    return carrier.state.instances.phase is instances.Phase.SERVING


async def until(condition: typing.Callable[[], bool]) -> None:
    """Wait until ``condition`` holds; the fleet's bound ends the wait."""
    while not condition():
        await anyio.sleep(0.01)


async def ask(
    address: str,
    method: str = 'GET',
    path: str = '/listings',
    body: bytes = b'',
    **fields: str,
) -> httpcore.Response:
    """Send one request on a connection of its own."""
    named = {'call_service': SERVICE, **fields}
    outgoing = [
        (name.replace('_', '-').encode(), field.encode())
        for name, field in named.items()
    ]
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            method,
            f'http://{address}{path}',
            headers=outgoing,
            content=body,
        )


def outcome_of(answer: httpcore.Response) -> str:
    """Return the outcome that an answer states."""
    return headers.find(answer.headers, headers.OUTCOME).decode()


def encode_json(document: object) -> bytes:
    """Encode a note or value as it is published."""
    return msgspec.json.encode(document)
