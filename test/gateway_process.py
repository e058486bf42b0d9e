"""Runs one gateway as a process of its own, with stand-ins in this process."""

import contextlib
import dataclasses
import os
import pathlib
import resource
import subprocess
import sys
import typing

import anyio
import anyio.abc
import httpcore
import msgspec

from oleanderstair import settings
from oleanderstair.emulator import load_targets, published, store
from oleanderstair.engine import listener
from test import loopback_node
from test.test_isolated_nodes import free_address

BOUND_S = 120
MIB = 1_048_576
ROOT = pathlib.Path(__file__).parent.parent
COMMAND = [sys.executable, '-m', 'oleanderstair.platform.daemon']
LISTENERS = ('callers', 'directory', 'readiness', 'metrics')
_KIB = 1024
_TRIES = 60
_TRY_S = 30
_RETRY_S = 0.5
UNANSWERED = (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError)


class Machine(typing.NamedTuple):
    """The resources of the gateway's machine and the limits of its requests."""

    memory_mb: int = 152
    descriptors: int = 1535
    limits: typing.Mapping[str, int] = {}


class OtherService(typing.NamedTuple):
    """A service beside the ordinary one, and the addresses of its targets."""

    name: str
    addresses: tuple[str, ...]

    def publish(self, platform_store: store.Store) -> None:
        """Publish the targets."""
        for number, address in enumerate(self.addresses):
            entry = published.entry(address, service=self.name)
            platform_store.put(f'servers/{self.name}-{number}', entry)

    def route(self) -> published.Document:
        """Return a route to the targets."""
        return published.route(self.name, 'idempotent', self.name, 4000)


@dataclasses.dataclass
class Gateway:
    """A running process, its listeners and its targets."""

    process: subprocess.Popen[bytes]
    address_by_listener: dict[str, str]
    target_by_id: dict[str, load_targets.LoadTarget]

    @property
    def callers(self) -> str:
        """Return the address of the listener for callers."""
        return self.address_by_listener['callers']

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.poll() is None

    def peak_memory_bytes(self) -> int:
        """Return the largest resident size of the process so far."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) * _KIB
        raise AssertionError(f'no VmHWM in {status}')

    def open_descriptors(self) -> int:
        """Return how many descriptors the process has open."""
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))

    async def serve_ordinary_request(self, **request: typing.Any) -> bool:
        """Send a request as an ordinary caller; return whether it is answered.

        ``request`` are the arguments of ``loopback_node.send_request``.
        """
        return await self._is_answered(
            self.callers, {'deadline_ms': '9000', **request}
        )

    async def is_listener_answering(self, name: str, path: str) -> bool:
        """Return whether a listener answers a request with 200 in the end."""
        address = self.address_by_listener[name]
        return await self._is_answered(address, {'path': path})

    async def read_metrics(self) -> str:
        """Return the page of metrics."""
        address = self.address_by_listener['metrics']
        answer = await loopback_node.send_request(address, '/metrics')
        return answer.content.decode()

    async def _is_answered(
        self, address: str, request: dict[str, typing.Any]
    ) -> bool:
        """Try until the answer is 200, the process ends or tries run out.

        A refusal or a closed connection is followed by another try.
        """
        for number in range(_TRIES):
            if not self.is_running():
                return False
            with contextlib.suppress(*UNANSWERED):
                with anyio.fail_after(_TRY_S):
                    answer = await loopback_node.send_request(
                        address, request_id=f'ordinary-{number}', **request
                    )
                if answer.status == 200:
                    return True
            await anyio.sleep(_RETRY_S)
        return False


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path, machine: Machine, other: OtherService | None = None
) -> typing.AsyncIterator[Gateway]:
    """Run a gateway that is ready, with two targets of one service.

    ``other`` is a service of targets that the caller serves.
    """
    with anyio.fail_after(BOUND_S):
        async with anyio.create_task_group() as tasks:
            target_by_id = {
                f'i-{number}': load_targets.create(f'i-{number}')
                for number in range(2)
            }
            store_address = _serve_store(tasks, target_by_id, machine, other)
            tree = _settings_of(store_address)
            tree['instance']['capacity'] = {'memory_mb': machine.memory_mb}
            path = folder / 'settings.jsonc'
            path.write_bytes(msgspec.json.encode(tree))
            with _started(path, machine.descriptors) as process:
                gateway = Gateway(process, _addresses_in(tree), target_by_id)
                assert await gateway.serve_ordinary_request()
                yield gateway
            tasks.cancel_scope.cancel()


@contextlib.contextmanager
def _started(
    path: pathlib.Path, descriptors: int
) -> typing.Iterator[subprocess.Popen[bytes]]:
    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    process = subprocess.Popen(
        COMMAND,
        cwd=ROOT,
        env={**os.environ, 'OLEANDERSTAIR_CONFIG': str(path)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        preexec_fn=limit_descriptors,
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def _serve_target(
    tasks: anyio.abc.TaskGroup, target: load_targets.LoadTarget
) -> str:
    """Serve a target whose head may be larger than that of a caller.

    The gateway adds fields, and a space to each.
    """
    bound = listener.bind_socket('127.0.0.1', 0)
    bounds = listener.DEFAULT_BOUNDS._replace(max_header_bytes=65536)
    tasks.start_soon(listener.create(target, bounds).serve, [bound])
    return listener.address_of(bound)


def _serve_store(
    tasks: anyio.abc.TaskGroup,
    target_by_id: dict[str, load_targets.LoadTarget],
    machine: Machine,
    other: OtherService | None,
) -> str:
    platform_store = store.create()
    for target_id, target in target_by_id.items():
        address = _serve_target(tasks, target)
        platform_store.put(f'servers/{target_id}', published.entry(address))
    configuration = loopback_node.configuration(1)
    configuration['limits'].update(machine.limits)
    if other is not None:
        other.publish(platform_store)
        configuration['routes'].append(other.route())
        configuration['services'].append(
            {**configuration['services'][0], 'name': other.name}
        )
    platform_store.put('op/config', configuration)
    return loopback_node.serve_app(tasks, platform_store)


def _settings_of(store_address: str) -> settings.Tree:
    tree = loopback_node.settings_tree(store_address)
    tree['callers'] = {'address': free_address(), 'max_connections': 2000}
    tree['peers']['address'] = free_address()
    tree['admin']['metrics_address'] = free_address()
    tree['platform']['directory_address'] = free_address()
    tree['platform']['readiness_address'] = free_address()
    return tree


def _addresses_in(tree: settings.Tree) -> dict[str, str]:
    platform = tree['platform']
    addresses = (
        tree['callers']['address'],
        platform['directory_address'],
        platform['readiness_address'],
        tree['admin']['metrics_address'],
    )
    return dict(zip(LISTENERS, addresses, strict=True))
