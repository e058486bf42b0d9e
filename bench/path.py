"""Measures what the data path adds to a call, against calling directly.

Run ``python -m bench.path``. The daemon, the targets and the load generator
run in processes of their own on loopback; every run is bounded. Direct and
balanced calls alternate within one run.
"""

import argparse
import asyncio
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
import typing

import anyio
import httpcore

from oleanderstair.emulator import fleet
from oleanderstair.engine import headers

PLAN: typing.Final = fleet.COOPERATIVE._replace(
    services=(fleet.ServicePlan('burza', targets=4, slots=64, service_ms=0),),
)
BOUND_S = 120
STOP_S = 20


class Burst(typing.NamedTuple):
    """The latencies of some calls in ms, and the seconds they took."""

    spans_ms: list[float]
    took_s: float

    def percentile(self, percent: float) -> float:
        """Return a percentile of the latencies in ms."""
        ordered = sorted(self.spans_ms)
        return ordered[min(int(len(ordered) * percent), len(ordered) - 1)]

    @property
    def calls_per_s(self) -> float:
        """Return the rate of the whole burst."""
        return len(self.spans_ms) / self.took_s


class Caller:
    """One kept connection that writes requests and reads whole answers."""

    def __init__(self, address: str) -> None:
        """Call ``address``."""
        host, port = address.split(':')
        self._host = host
        self._port = int(port)
        self._request = b''.join(
            (
                b'GET /listings HTTP/1.1\r\nhost: burza\r\n',
                b'call-deadline-ms: 2000\r\ntraceparent: 00-1-2-01\r\n\r\n',
            ),
        )

    async def open(self) -> None:
        """Connect."""
        opened = await asyncio.open_connection(self._host, self._port)
        self._reader = opened[0]
        self._writer = opened[1]

    async def call(self) -> float:
        """Return the ms of one call."""
        started = time.perf_counter()
        self._writer.write(self._request)
        head = await self._reader.readuntil(b'\r\n\r\n')
        if not head.startswith(b'HTTP/1.1 200'):
            raise RuntimeError(head.decode())
        _, _, rest = head.partition(b'content-length: ')
        await self._reader.readexactly(int(rest.split(b'\r\n')[0]))
        return (time.perf_counter() - started) * 1000

    def close(self) -> None:
        """Disconnect."""
        self._writer.close()


def main() -> None:
    """Run the measurement that the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--calls', type=int, default=2000)
    parser.add_argument('--callers', type=int, nargs='+', default=[1, 4, 32])
    parser.add_argument('--rounds', type=int, default=4)
    parser.add_argument('--profile', default='', help='a file for cProfile')
    parser.add_argument('--serve-targets', action='store_true')
    chosen = parser.parse_args()
    if chosen.serve_targets:
        anyio.run(_serve_targets)
        return
    targets, platform, direct = _start_targets()
    started = [targets]
    try:
        with tempfile.NamedTemporaryFile(suffix='.json') as named:
            named.write(json.dumps(_settings_of(platform)).encode())
            named.flush()
            path = pathlib.Path(named.name)
            daemon, balanced = _start_daemon(path, chosen.profile)
        started.insert(0, daemon)
        asyncio.run(_measure(chosen, direct, balanced, daemon.pid))
    finally:
        for process in started:
            process.terminate()
            process.wait(STOP_S)


async def _measure(
    chosen: argparse.Namespace,
    direct: str,
    balanced: str,
    pid: int,
) -> None:
    async with asyncio.timeout(BOUND_S):
        await _until_serving(balanced)
        await _show_idle(pid)
        for callers in chosen.callers:
            bursts: dict[str, list[Burst]] = {direct: [], balanced: []}
            await _burst(balanced, callers, chosen.calls // 4)
            for _ in range(chosen.rounds):
                for address, found in bursts.items():
                    found.append(await _burst(address, callers, chosen.calls))
            _show(callers, bursts[direct], bursts[balanced])
        sys.stdout.write(f'rss after load: {_rss_mb(pid):.1f} MB\n')


async def _burst(address: str, callers: int, calls: int) -> Burst:
    opened = [Caller(address) for _ in range(callers)]
    for made in opened:
        await made.open()
    started = time.perf_counter()
    spans = await asyncio.gather(
        *(_call_many(caller, calls // callers) for caller in opened),
    )
    took_s = time.perf_counter() - started
    for done in opened:
        done.close()
    return Burst([span for each in spans for span in each], took_s)


async def _call_many(caller: Caller, calls: int) -> list[float]:
    return [await caller.call() for _ in range(calls)]


def _show(callers: int, direct: list[Burst], balanced: list[Burst]) -> None:
    parts = [f'callers={callers}']
    for name, percent in (('p50', 0.5), ('p99', 0.99)):
        through = statistics.median(run.percentile(percent) for run in balanced)
        without = statistics.median(run.percentile(percent) for run in direct)
        parts.append(
            f'{name}: direct {without:.2f} balanced {through:.2f} '
            f'added {through - without:.2f} ms',
        )
    rate = statistics.median(run.calls_per_s for run in balanced)
    parts.append(f'{rate:.0f} calls/s')
    sys.stdout.write(f'{"  ".join(parts)}\n')


async def _show_idle(pid: int) -> None:
    before = _cpu_s(pid)
    await asyncio.sleep(5)
    share = (_cpu_s(pid) - before) / 5
    sys.stdout.write(
        f'idle: rss {_rss_mb(pid):.1f} MB, cpu {share:.1%} of a core\n',
    )


def _rss_mb(pid: int) -> float:
    statm = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(statm.split()[1]) * os.sysconf('SC_PAGE_SIZE') / 1e6


def _cpu_s(pid: int) -> float:
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


async def _until_serving(address: str) -> None:
    while True:
        async with httpcore.AsyncConnectionPool() as pool:
            answer = await pool.request(
                'GET',
                f'http://{address}/listings',
                headers=[(headers.SERVICE, b'burza')],
            )
        if answer.status == 200:
            return
        await asyncio.sleep(0.05)


async def _serve_targets() -> None:
    with anyio.move_on_after(BOUND_S):
        async with anyio.create_task_group() as tasks:
            deployment = fleet.create(PLAN, tasks)
            deployment.platform.publish(deployment.first_note())
            first = deployment.entry_by_id['burza-01']['address']
            sys.stdout.write(f'{deployment.platform_address} {first}\n')
            sys.stdout.flush()
            await anyio.sleep_forever()


def _settings_of(platform: str) -> dict[str, typing.Any]:
    return {
        'instance': {'id': 'entry-1'},
        'callers': {'port': 0},
        'admin': {'port': 0},
        'peers': {'port': 0, 'allow_plain': True},
        'platform': {
            'configuration_url': f'http://{platform}',
            'instances_url': f'http://{platform}/instances',
        },
        'policy': {'confirm_without_peers': True, 'answer_validity_ms': 500},
    }


def _start_targets() -> tuple[subprocess.Popen[str], str, str]:
    process = subprocess.Popen(
        [sys.executable, '-m', 'bench.path', '--serve-targets'],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    platform, direct = process.stdout.readline().split()
    return process, platform, direct


def _start_daemon(
    path: pathlib.Path,
    profile: str,
) -> tuple[subprocess.Popen[str], str]:
    profiler = ['-m', 'cProfile', '-o', profile] if profile else []
    process = subprocess.Popen(
        [
            *(sys.executable, *profiler, '-m', 'oleanderstair.daemon'),
            *('--settings', str(path)),
        ],
        stderr=subprocess.PIPE,
        text=True,
    )
    assert process.stderr is not None
    pairs = dict(
        pair.split('=', 1) for pair in process.stderr.readline().split()
    )
    return process, pairs['callers']


if __name__ == '__main__':
    main()
