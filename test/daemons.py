"""Runs daemons as processes for tests."""

import contextlib
import dataclasses
import functools
import pathlib
import signal
import subprocess
import sys
import typing

import anyio
import anyio.abc
import httpcore
import msgspec

from oleanderstair.domain.proof import replaying, traces
from oleanderstair.emulator import fleet
from test import helper

ROOT = pathlib.Path(__file__).parent.parent
COMMAND = [sys.executable, '-m', 'oleanderstair.daemon', '--settings']
BOUND_S = 25
LAST_LINES = 20
TRACE_EVENTS = 20_000
LIMITS = {'confirm_without_peers': True, 'answer_validity_ms': 500}


@dataclasses.dataclass
class Daemon:
    """A running daemon, its log lines, and the addresses in them."""

    instance_id: str
    process: anyio.abc.Process
    address_by_side: dict[str, str] = dataclasses.field(default_factory=dict)
    lines: list[str] = dataclasses.field(default_factory=list)

    @property
    def callers(self) -> str:
        """Return the address for callers."""
        return self.address_by_side['callers']

    @property
    def incarnation(self) -> str:
        """Return the incarnation of the daemon."""
        return self.address_by_side['instance']

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.process.kill()

    def freeze(self) -> None:
        """Stop the process with SIGSTOP until ``thaw``."""
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Continue the process; assert that it still runs, with its log."""
        ended = self.process.returncode
        assert ended is None, (ended, self.lines[-LAST_LINES:])
        self.process.send_signal(signal.SIGCONT)

    async def report(self, path: str) -> typing.Any:
        """Return a report from the admin listener."""
        return msgspec.json.decode(await self._fetch(path))

    async def replay(self) -> replaying.Replay:
        """Replay the trace that the daemon has recorded so far."""
        body = await self._fetch('trace')
        return replaying.replay_trace(traces.decode_trace(body).ok_value)

    async def read_log(self) -> None:
        """Read the log until it ends; store the addresses in it."""
        partial_line = b''
        with contextlib.suppress(anyio.ClosedResourceError):
            async for chunk in self.process.stderr:
                *complete, partial_line = (partial_line + chunk).split(b'\n')
                for line in complete:
                    self._parse_line(line.decode())

    def _parse_line(self, line: str) -> None:
        self.lines.append(line)
        if line.startswith('event=started'):
            pairs = (pair.split('=', 1) for pair in line.split())
            self.address_by_side.update(pairs)

    async def end(self) -> None:
        """Kill the process if it still runs, and close its pipes."""
        with anyio.CancelScope(shield=True):
            if self.process.returncode is None:
                self.kill()
            await self.process.aclose()

    async def _fetch(self, path: str) -> bytes:
        url = f'http://{self.address_by_side["admin"]}/{path}'
        async with httpcore.AsyncConnectionPool() as pool:
            answer = await pool.request('GET', url)
        return answer.content


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path,
    count: int,
) -> typing.AsyncIterator[tuple[fleet.Fleet, list[Daemon]]]:
    """Run ``count`` daemons; yield once each serves and has peers."""
    with anyio.fail_after(BOUND_S):
        async with anyio.create_task_group() as tasks:
            deployment = fleet.create(fleet.COOPERATIVE, tasks)
            deployment.platform.publish(deployment.first_note())
            async with contextlib.AsyncExitStack() as cleanup:
                started = []
                for number in range(1, count + 1):
                    daemon = await _start(folder, deployment, number)
                    cleanup.push_async_callback(daemon.end)
                    started.append(daemon)
                await _list_instances(deployment, started)
                for daemon in started:
                    await _until_serving(daemon, count - 1)
                yield deployment, started
            tasks.cancel_scope.cancel()


async def _start(
    folder: pathlib.Path,
    deployment: fleet.Fleet,
    number: int,
) -> Daemon:
    instance_id = f'entry-{number}'
    data_centre = deployment.plan.data_centres[0]
    tree = deployment.node_settings(instance_id, data_centre)
    tree['log'] = {'to': 'stderr'}
    tree['trace'] = {'max_events': TRACE_EVENTS}
    tree['policy'] = LIMITS
    path = folder / f'{instance_id}.jsonc'
    path.write_bytes(msgspec.json.encode(tree))
    process = await anyio.open_process(
        [*COMMAND, str(path)],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
    )
    daemon = Daemon(instance_id, process)
    deployment.tasks.start_soon(daemon.read_log)
    return daemon


async def _list_instances(
    deployment: fleet.Fleet, started: list[Daemon]
) -> None:
    for daemon in started:
        addresses = daemon.address_by_side
        await helper.wait_until(
            functools.partial(addresses.__contains__, 'admin')
        )
        deployment.platform.listed.append(
            {
                'instance_id': daemon.instance_id,
                'region': deployment.plan.region,
                'data_centre': deployment.plan.data_centres[0],
                'caller_address': daemon.callers,
                'peer_address': addresses['peers'],
                'leaving': False,
            },
        )


async def _until_serving(daemon: Daemon, peer_count: int) -> None:
    while True:
        status = await daemon.report('status')
        instances = await daemon.report('instances')
        if status['phase'] == 'serving' and len(instances) >= peer_count:
            return
        await anyio.sleep(0.02)
