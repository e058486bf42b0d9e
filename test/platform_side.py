"""A store, targets and one real node of the platform on loopback."""

import contextlib
import dataclasses
import typing

import anyio
import anyio.abc
import httpcore

from oleanderstair import settings
from oleanderstair.domain.fleet import serving
from oleanderstair.emulator import load_targets, published, store
from oleanderstair.engine import listener, listening
from oleanderstair.platform import node
from test import helper

HOST = published.HOST
LOOKUP_PATH = '/lookup/some?of=these'
ORDER_PATH = '/order/one'
BOUND_S = 20


@dataclasses.dataclass
class Side:
    """What a test talks to."""

    store: store.Store
    target_by_id: dict[str, load_targets.LoadTarget]
    node: node.Node
    store_address: str

    @property
    def address(self) -> str:
        """Return where callers connect."""
        return self.node.identity.caller_address

    @property
    def directory(self) -> str:
        """Return where callers ask for addresses."""
        return listening.address_of(self.node.platform_sockets[0])

    @property
    def readiness(self) -> str:
        """Return where the platform asks for readiness."""
        return listening.address_of(self.node.platform_sockets[1])

    @property
    def metrics(self) -> str:
        """Return where metrics are shown."""
        assert self.node.metrics_socket is not None
        return listening.address_of(self.node.metrics_socket)

    def only_run(self) -> load_targets.Ran:
        """Return the one call that targets ran."""
        ran = [
            found
            for target in self.target_by_id.values()
            for found in target.ran
        ]
        assert len(ran) == 1
        return ran[0]

    def is_ready(self) -> bool:
        """Return whether the node takes calls."""
        carrier = self.node.carrier
        return carrier is not None and serving.is_ready(carrier.state)


@contextlib.asynccontextmanager
async def running(targets: int = 2) -> typing.AsyncIterator[Side]:
    """Run a ready node before ``targets`` of one service."""
    with anyio.fail_after(BOUND_S):
        async with anyio.create_task_group() as tasks:
            held = store.create()
            made = {
                f'i-{number}': load_targets.create(f'i-{number}')
                for number in range(targets)
            }
            for target_id, target in made.items():
                entry = entry_of(serve(tasks, target))
                held.put(f'servers/{target_id}', entry)
            held.put('op/config', configuration(1))
            store_address = serve(tasks, held)
            checked = settings.build(settings_tree(store_address))
            side = Side(held, made, node.create(checked), store_address)
            tasks.start_soon(side.node.run)
            await helper.until(side.is_ready)
            yield side
            tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def started(tree: settings.Tree) -> typing.AsyncIterator[node.Node]:
    """Run a node that need not get ready, from its shell on."""
    async with anyio.create_task_group() as tasks:
        made = node.create(settings.build(tree))
        tasks.start_soon(made.run)
        await helper.until(lambda: made.carrier is not None)
        yield made
        tasks.cancel_scope.cancel()


def serve(tasks: anyio.abc.TaskGroup, app: typing.Any) -> str:
    """Serve an application on a free port and return its address."""
    bound = listening.bind('127.0.0.1', 0)
    tasks.start_soon(listener.create(app).serve, [bound])
    return listening.address_of(bound)


def settings_tree(store_address: str) -> settings.Tree:
    """Return the settings of a node on free ports."""
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


def entry_of(address: str, **fields: typing.Any) -> dict[str, typing.Any]:
    """Return what a target registers."""
    return published.entry(address, **fields)


def configuration(number: int) -> dict[str, typing.Any]:
    """Return a configuration with a route that may be repeated and one not."""
    kinds = {'lookup': 'idempotent', 'order': 'once'}
    routes = [
        published.route(name, kind, 'burza') for name, kind in kinds.items()
    ]
    return published.configuration(number, routes)


async def ask(
    address: str,
    path: str = LOOKUP_PATH,
    method: str = 'GET',
    body: bytes = b'',
    **fields: str,
) -> httpcore.Response:
    """Send one request of a caller on a connection of its own."""
    named = {
        'host': HOST,
        'request_id': 'request-1',
        'deadline_ms': '900',
        **fields,
    }
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
