"""Runs a node of the platform on loopback, with a store and targets."""

import contextlib
import dataclasses
import typing

import anyio
import anyio.abc
import httpcore

from oleanderstair import settings
from oleanderstair.domain.fleet import readiness
from oleanderstair.emulator import load_targets, published, store
from oleanderstair.engine import listener
from oleanderstair.platform import node
from test import helper

HOST = published.HOST
LOOKUP_PATH = '/lookup/some?of=these'
ORDER_PATH = '/order/one'
TIMEOUT_S = 20


@dataclasses.dataclass
class NodeFixture:
    """A running node, its store and its targets."""

    store: store.Store
    target_by_id: dict[str, load_targets.LoadTarget]
    node: node.Node
    store_address: str

    @property
    def address(self) -> str:
        """Return the address of the listener for callers."""
        return self.node.identity.caller_address

    @property
    def directory_listener(self) -> str:
        """Return the address of the directory listener."""
        return listener.address_of(self.node.platform_sockets[0])

    @property
    def readiness_listener(self) -> str:
        """Return the address of the readiness listener."""
        return listener.address_of(self.node.platform_sockets[1])

    @property
    def metrics_listener(self) -> str:
        """Return the address of the metrics listener."""
        assert self.node.metrics_socket is not None
        return listener.address_of(self.node.metrics_socket)

    def single_run(self) -> load_targets.Ran:
        """Return the only call that the targets ran; fail if it is not one."""
        ran = [
            found
            for target in self.target_by_id.values()
            for found in target.ran
        ]
        assert len(ran) == 1
        return ran[0]

    def is_ready(self) -> bool:
        """Return whether the node has started and is ready for calls."""
        runtime = self.node.runtime
        return runtime is not None and readiness.is_ready(runtime.state)


@contextlib.asynccontextmanager
async def run_ready_node(
    targets: int = 2, memory_mb: float = 0
) -> typing.AsyncIterator[NodeFixture]:
    """Run a ready node with ``targets`` targets of one service.

    ``memory_mb`` is the memory of its machine, 0 for no limit.
    """
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            platform_store = store.create()
            target_by_id = {
                f'i-{number}': load_targets.create(f'i-{number}')
                for number in range(targets)
            }
            for target_id, target in target_by_id.items():
                entry = registration_of(serve_app(tasks, target))
                platform_store.put(f'servers/{target_id}', entry)
            platform_store.put('op/config', configuration(1))
            store_address = serve_app(tasks, platform_store)
            tree = settings_tree(store_address)
            tree['instance']['capacity'] = {'memory_mb': memory_mb}
            valid_settings = settings.build(tree)
            fixture = NodeFixture(
                platform_store,
                target_by_id,
                node.create(valid_settings),
                store_address,
            )
            tasks.start_soon(fixture.node.run)
            await helper.wait_until(fixture.is_ready)
            yield fixture
            tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def run_node(tree: settings.Tree) -> typing.AsyncIterator[node.Node]:
    """Run a node; don't wait until it is ready."""
    async with anyio.create_task_group() as tasks:
        started = node.create(settings.build(tree))
        tasks.start_soon(started.run)
        await helper.wait_until(lambda: started.runtime is not None)
        yield started
        tasks.cancel_scope.cancel()


def serve_app(tasks: anyio.abc.TaskGroup, app: typing.Any) -> str:
    """Serve an ASGI application on a free port and return its address."""
    bound = listener.bind_socket('127.0.0.1', 0)
    tasks.start_soon(listener.create(app).serve, [bound])
    return listener.address_of(bound)


def settings_tree(store_address: str) -> settings.Tree:
    """Return the settings of a node that listens on free ports."""
    free = '127.0.0.1:0'
    return {
        'instance': {
            'id': 'entry-1',
            'region': 'west',
            'data_centre': 'trnava',
        },
        'callers': {'address': free},
        'peers': {'address': free, 'allow_plain': True},
        'admin': {'metrics_address': free},
        'platform': {
            'store_address': store_address,
            'directory_address': free,
            'readiness_address': free,
        },
        'log': {'to': 'none'},
    }


def registration_of(
    address: str, **fields: typing.Any
) -> dict[str, typing.Any]:
    """Return the registration of a target at ``address``."""
    return published.entry(address, **fields)


def configuration(number: int) -> dict[str, typing.Any]:
    """Return a configuration with an idempotent route and another one."""
    kinds = {'lookup': 'idempotent', 'order': 'once'}
    routes = [
        published.route(name, kind, 'burza') for name, kind in kinds.items()
    ]
    return published.configuration(number, routes)


async def send_request(
    address: str,
    path: str = LOOKUP_PATH,
    method: str = 'GET',
    body: bytes = b'',
    **fields: str,
) -> httpcore.Response:
    """Send one request on a new connection, with a caller's header fields."""
    all_fields = {
        'host': HOST,
        'request_id': 'request-1',
        'deadline_ms': '900',
        **fields,
    }
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
