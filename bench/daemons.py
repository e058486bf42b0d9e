"""Runs real daemons as processes, and reads what they and /proc tell."""

import contextlib
import dataclasses
import os
import pathlib
import subprocess
import sys
import tempfile
import typing

import anyio
import anyio.abc
import httpcore
import msgspec
import zmq

from oleanderstair import settings
from oleanderstair.domain.fleet import bandwidth
from oleanderstair.emulator import fleet

ROOT = pathlib.Path(__file__).parent.parent
POLL_S = 0.01
DOWN_URL = 'http://127.0.0.1:1'
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_CPU_FIELD = 13


@dataclasses.dataclass(slots=True)
class Daemon:
    """A running daemon and its addresses."""

    instance_id: str
    process: anyio.abc.Process
    address_by_side: dict[str, str]

    def kill(self) -> None:
        """End the process at once."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()

    def cpu_s(self) -> float:
        """Return the processor time used so far in seconds."""
        text = pathlib.Path(f'/proc/{self.process.pid}/stat').read_text()
        fields = text.rpartition(')')[2].split()[_CPU_FIELD - 2 :]
        return (int(fields[0]) + int(fields[1])) / _TICKS_PER_S

    def memory_mb(self) -> float:
        """Return the resident memory in MB."""
        text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        line = next(row for row in text.splitlines() if 'VmRSS' in row)
        return round(int(line.split()[1]) / 1024, 1)


class Traffic(typing.NamedTuple):
    """What a daemon has sent to peers so far; bytes as on the wire."""

    messages: int
    bytes: int
    bytes_by_kind: dict[str, int]


@dataclasses.dataclass(slots=True)
class Deployment:
    """Fakes in this process and the daemons that use them."""

    fakes: fleet.Fleet
    directory: pathlib.Path
    keys: dict[str, str]
    pool: httpcore.AsyncConnectionPool
    daemon_by_id: dict[str, Daemon] = dataclasses.field(default_factory=dict)

    async def start(self, instance_id: str, is_down: bool = False) -> Daemon:
        """Start a daemon; ``is_down`` keeps the notes' service from it."""
        places = self.fakes.plan.data_centres
        place = places[int(instance_id.rpartition('-')[2]) % len(places)]
        tree = self.fakes.node_settings(instance_id, place)
        tree['peers'] = {'port': 0, **self.keys}
        tree['log'] = {'to': 'stderr'}
        if is_down:
            tree['platform']['configuration_url'] = DOWN_URL
        started = await run(instance_id, tree, self.directory, self.fakes.tasks)
        self.daemon_by_id[instance_id] = started
        self._list(instance_id, place, started)
        return started

    def stop(self) -> None:
        """End all daemons."""
        for daemon in self.daemon_by_id.values():
            daemon.kill()

    async def status(self, daemon: Daemon) -> dict[str, typing.Any]:
        """Return the status that a daemon reports."""
        answer = await self.pool.request(
            'GET',
            f'http://{daemon.address_by_side["admin"]}/status',
        )
        return typing.cast(
            dict[str, typing.Any],
            msgspec.json.decode(answer.content),
        )

    async def traffic(self, daemon: Daemon) -> Traffic:
        """Return what a daemon has sent to its peers."""
        answer = await self.pool.request(
            'GET',
            f'http://{daemon.address_by_side["admin"]}/metrics',
        )
        counters = msgspec.json.decode(answer.content)['counters']
        sent = _by_label(counters, 'peer-messages')
        size = _by_label(counters, 'peer-bytes')
        framing = {
            kind: sent[kind] * bandwidth.FRAME_OVERHEAD_BYTES for kind in sent
        }
        wire = {kind: size[kind] + framing[kind] for kind in sent}
        return Traffic(sum(sent.values()), sum(wire.values()), wire)

    async def traffic_of(self, members: list[Daemon]) -> list[Traffic]:
        """Return what each of some daemons has sent to its peers."""
        return [await self.traffic(member) for member in members]

    async def until(
        self,
        daemon: Daemon,
        condition: typing.Callable[[dict[str, typing.Any]], bool],
    ) -> float:
        """Wait until a status meets ``condition``; return the time in s."""
        while not condition(await self.status(daemon)):
            await anyio.sleep(POLL_S)
        return anyio.current_time()

    def _list(self, instance_id: str, place: str, started: Daemon) -> None:
        kept = [
            entry
            for entry in self.fakes.platform.listed
            if entry['instance_id'] != instance_id
        ]
        entry = {
            'instance_id': instance_id,
            'region': self.fakes.plan.region,
            'data_centre': place,
            'caller_address': started.address_by_side['callers'],
            'peer_address': started.address_by_side['peers'],
            'leaving': False,
        }
        self.fakes.platform.listed = [*kept, entry]


@contextlib.asynccontextmanager
async def deployed(bound_s: float) -> typing.AsyncIterator[Deployment]:
    """Run the fakes of the co-operative; daemons end with the block."""
    public, secret = zmq.curve_keypair()
    keys = {'public_key': public.decode(), 'secret_key': secret.decode()}
    with tempfile.TemporaryDirectory() as directory, anyio.fail_after(bound_s):
        async with (
            httpcore.AsyncConnectionPool(max_connections=64) as pool,
            anyio.create_task_group() as tasks,
        ):
            made = Deployment(
                fleet.create(fleet.COOPERATIVE, tasks),
                pathlib.Path(directory),
                keys,
                pool,
            )
            made.fakes.platform.publish(made.fakes.first_note())
            try:
                yield made
            finally:
                made.stop()
                tasks.cancel_scope.cancel()


async def run(
    instance_id: str,
    tree: settings.Tree,
    directory: pathlib.Path,
    tasks: anyio.abc.TaskGroup,
) -> Daemon:
    """Run a daemon by settings that log to standard error."""
    path = directory / f'{instance_id}.json'
    path.write_bytes(msgspec.json.encode(tree))
    process = await anyio.open_process(
        [
            sys.executable,
            '-m',
            'oleanderstair.daemon',
            '--settings',
            str(path),
        ],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
    )
    addresses = await _read_addresses(process)
    tasks.start_soon(_drain, process)
    return Daemon(instance_id, process, addresses)


async def _read_addresses(process: anyio.abc.Process) -> dict[str, str]:
    assert process.stderr is not None  # noqa: S101 (opened as a pipe)
    text = ''
    while 'event=started' not in text or '\n' not in text:
        text += (await process.stderr.receive()).decode()
    line = next(row for row in text.splitlines() if 'event=started' in row)
    return dict(pair.split('=', 1) for pair in line.split() if '=' in pair)


async def _drain(process: anyio.abc.Process) -> None:
    assert process.stderr is not None  # noqa: S101 (opened as a pipe)
    with contextlib.suppress(anyio.EndOfStream, anyio.ClosedResourceError):
        while True:
            await process.stderr.receive()


def _by_label(
    counters: list[dict[str, typing.Any]],
    name: str,
) -> dict[str, int]:
    return {
        found['label']: found['count']
        for found in counters
        if found['name'] == name
    }
