"""Creates worlds, harnesses and loopback fleets for tests."""

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

TIMEOUT_S = 20
SERVICE = 'burza'


def make_world(
    instance_id: str = 'entry-1', **limits: typing.Any
) -> world.World:
    """Return the empty world of an instance with these limits."""
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
    """Return a harness of serving instances, after 3 s of virtual time.

    The note in force has one service with ``target_count`` targets.
    """
    limits.setdefault('confirm_without_peers', True)
    sim = harness.create(seed)
    targets = [
        harness.Target(f'{SERVICE}-{number}')
        for number in range(1, target_count + 1)
    ]
    for target in targets:
        sim.add_target(target)
    sim.publish(harness.first_note({SERVICE: targets}))
    data_centres = fleet.COOPERATIVE.data_centres
    for number in range(1, count + 1):
        data_centre = data_centres[number % len(data_centres)]
        sim.add_instance(f'entry-{number}', data_centre, **limits)
    sim.run_for(3000)
    return sim


def actions_of(
    sim: harness.Harness,
    instance_id: str,
    kind: type[typing.Any],
) -> list[typing.Any]:
    """Return the actions of type ``kind`` that an instance has emitted."""
    log = sim.instance_by_id[instance_id].action_log
    return [action for _, action in log if isinstance(action, kind)]


def audit_of(sim: harness.Harness, instance_id: str) -> list[tuple[str, str]]:
    """Return the kind and subject of each change that an instance audited."""
    found = actions_of(sim, instance_id, actions.Audit)
    return [(change.kind, change.subject) for change in found]


@contextlib.asynccontextmanager
async def running_fleet(
    count: int,
    trace_events: int = 0,
    **limits: typing.Any,
) -> typing.AsyncIterator[tuple[fleet.Fleet, list[node.Node]]]:
    """Run real instances, targets and a platform on loopback sockets.

    All instances serve when the context is entered. It fails after ``BOUND_S``.
    """
    limits.setdefault('confirm_without_peers', True)
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            deployment = fleet.create(fleet.COOPERATIVE, tasks)
            deployment.trace_events = trace_events
            deployment.platform.publish(deployment.first_note())
            nodes = [
                deployment.start_node(f'entry-{number}', limits)
                for number in range(1, count + 1)
            ]
            for started in nodes:
                await wait_until(functools.partial(is_serving, started))
            yield deployment, nodes
            tasks.cancel_scope.cancel()


def is_serving(started: node.Node) -> bool:
    """Return whether an instance has started and is in the serving phase."""
    runtime = started.runtime
    if runtime is None:
        return False
    return runtime.state.instances.phase is instances.Phase.SERVING


async def wait_until(condition: typing.Callable[[], bool]) -> None:
    """Poll until ``condition`` holds; the caller bounds the time."""
    while not condition():
        await anyio.sleep(0.01)


async def send_request(
    address: str,
    method: str = 'GET',
    path: str = '/listings',
    body: bytes = b'',
    **fields: str,
) -> httpcore.Response:
    """Send one request on a new connection."""
    all_fields = {'call_service': SERVICE, **fields}
    outgoing = [
        (name.replace('_', '-').encode(), field.encode())
        for name, field in all_fields.items()
    ]
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            method,
            f'http://{address}{path}',
            headers=outgoing,
            content=body,
        )


def outcome_of(answer: httpcore.Response) -> str:
    """Return the outcome in the header fields of an answer."""
    return headers.find_field(answer.headers, headers.OUTCOME).decode()


def encode_json(document: object) -> bytes:
    """Encode a note or value as JSON, as it is published."""
    return msgspec.json.encode(document)
