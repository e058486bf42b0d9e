"""A small deployment on loopback: a store, servers and instances."""

import asyncio
import os
import pathlib
import random
import sys
import tempfile
import time
import typing

from . import clients, instances, servers, store

HOST_NAME = 'ficu95.example'
ZONES = {'trnava': 'zapad', 'nitra': 'zapad', 'senec': 'zapad'}

HELD = 0
BROKEN = 1
NOT_RUN = 2


class CaseNotRun(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, in ``record.txt``."""

    def __init__(self, path: pathlib.Path) -> None:
        """Write to a new file at ``path``."""
        self._file = path.open('w')
        self._started_s = time.monotonic()

    def note(self, what: str, **fields: object) -> None:
        """Write one line of key=value pairs with the time since the start."""
        at_s = time.monotonic() - self._started_s
        pairs = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f't={at_s:.3f} {what} {pairs}\n')
        self._file.flush()


class Deployment:
    """A store, and the servers and instances that were started."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        """Keep settings and logs in ``folder``."""
        self.folder = folder
        self.record = record
        self.store = store.Store()
        self.servers: list[servers.Server] = []
        self.instances: list[instances.Instance] = []
        self.ran: list[servers.Ran] = []
        # A network of its own, as the port for metrics is the same everywhere.
        self._net = f'127.{random.randint(16, 250)}.{random.randint(0, 250)}'

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.start('127.0.0.1')

    def configure(
        self,
        routes: list[dict],
        services: list[str],
        connections: int = 283,
        number: int = 7,
    ) -> None:
        """Write a configuration, as the operator does."""
        self.store.put(
            'op/config',
            {
                'number': number,
                'routes': routes,
                'services': [
                    {
                        'name': service,
                        'health_path': '/health',
                        'connections': connections,
                    }
                    for service in services
                ],
                'limits': {
                    'max_header_bytes': 16384,
                    'max_body_bytes': 67108864,
                    'header_time_ms': 3000,
                    'idle_ms': 15000,
                },
            },
        )

    async def add_server(
        self,
        service: str,
        zone: str,
        work: servers.Work,
        slots: int = 4,
        receive_bytes: int = 0,
        version: int = 1,
    ) -> servers.Server:
        """Start a server of a service."""
        added = servers.Server(
            self.store, '127.0.0.1', service, zone, work, self._on_run, slots
        )
        added.receive_bytes = receive_bytes
        added.version = version
        await added.start()
        self.servers.append(added)
        return added

    async def start_instances(
        self, count: int, memory_mb: int = 257
    ) -> None:
        """Start ``count`` instances, in the zones in turn; await them."""
        zones = sorted(ZONES)
        for number in range(count):
            machine = instances.Machine(
                f'edge-{zones[number % len(zones)]}-{number + 1}',
                f'{self._net}.{number + 1}',
                zones[number % len(zones)],
                ZONES,
                memory_mb,
            )
            self.instances.append(instances.Instance(machine, self.folder))
        seeds = [instance.control for instance in self.instances[:3]]
        for instance in self.instances:
            instance.configure(self.store.address, seeds)
            instance.start()
        for instance in self.instances:
            await self.await_ready(instance)

    async def await_ready(
        self, instance: instances.Instance, limit_s: float = 30
    ) -> None:
        """Wait until an instance says that it is ready."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if await clients.get_status(instance.readiness, '/-/ready') == 200:
                self.record.note('ready', instance=instance.machine.name)
                return
            if not instance.is_running():
                raise CaseNotRun(f'{instance.machine.name} has ended')
            await asyncio.sleep(0.05)
        raise CaseNotRun(f'{instance.machine.name} is not ready')

    def stop(self) -> None:
        """End all processes that were started."""
        for instance in self.instances:
            instance.kill()

    def _on_run(self, ran: servers.Ran) -> None:
        self.ran.append(ran)
        self.record.note(
            'ran',
            server=ran.server_id,
            request=ran.request_id,
            line=ran.line.replace(' ', '_'),
            deadline_ms=ran.deadline_ms,
        )


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route with the prefix /NAME/, as the operator writes it."""
    return {
        'name': f'r-{name}',
        'host': HOST_NAME,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 6000,
        'aim_ms': 600,
        'rank': 1,
        'service': service,
        'max_attempts': 2,
        **fields,
    }


Case = typing.Callable[[Deployment, bool], typing.Awaitable[bool]]
"""Plays a case, with or without the disruption; returns if the rule held."""


def run_case(case: Case, limit_s: float = 115) -> typing.NoReturn:
    """Play a case of the folder of the script; exit with its result."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder / 'record.txt')
    with tempfile.TemporaryDirectory() as temporary:
        result = asyncio.run(
            _play(case, record, pathlib.Path(temporary), has_trouble, limit_s)
        )
    sys.exit(result)


async def _play(
    case: Case,
    record: Record,
    folder: pathlib.Path,
    has_trouble: bool,
    limit_s: float,
) -> int:
    deployment = Deployment(folder, record)
    record.note('case', trouble=int(has_trouble))
    try:
        async with asyncio.timeout(limit_s):
            held = await case(deployment, has_trouble)
    except (CaseNotRun, TimeoutError, OSError) as error:
        record.note('not-run', why=repr(error).replace(' ', '_'))
        print(f'the case did not run: {error!r}')
        return NOT_RUN
    finally:
        deployment.stop()
    record.note('result', rule='held' if held else 'broken')
    print('the rule held' if held else 'the rule was broken')
    return HELD if held else BROKEN
