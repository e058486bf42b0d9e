"""Measures one real daemon: processor time, times of calls, resident size."""

import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
import typing

import anyio
import anyio.abc
import httpcore
import msgspec

from bench import capacity_figures
from oleanderstair.emulator import fleet
from oleanderstair.engine import headers

_MEASURED_MS: typing.Final = 10_000
"""How long a daemon without calls is watched."""

_LOADS: typing.Final = (400, 1200)
"""How many calls are sent, one after the other."""

_US: typing.Final = 1e6


def measure_daemon() -> typing.Iterator[capacity_figures.Figure]:
    """Measure a real daemon: processor time of a call, and resident size."""
    yield from anyio.run(_measure_daemon)


async def _measure_daemon() -> list[capacity_figures.Figure]:
    found: list[capacity_figures.Figure] = []
    with tempfile.TemporaryDirectory() as folder:
        async with anyio.create_task_group() as tasks:
            deployment = fleet.create(fleet.COOPERATIVE, tasks)
            deployment.platform.publish(deployment.first_note())
            with anyio.fail_after(60):
                found = await _load_daemon(deployment, pathlib.Path(folder))
            tasks.cancel_scope.cancel()
    return found


async def _load_daemon(
    deployment: fleet.Fleet,
    folder: pathlib.Path,
) -> list[capacity_figures.Figure]:
    tree = deployment.node_settings('entry-1', 'trnava')
    tree['policy'] = {'confirm_without_peers': True}
    tree['log'] = {'to': 'stderr'}
    path = folder / 'entry.jsonc'
    path.write_bytes(msgspec.json.encode(tree))
    command = [sys.executable, '-m', 'oleanderstair.daemon', '--settings']
    process = await anyio.open_process(
        [*command, str(path)],
        stdout=subprocess.DEVNULL,
    )
    try:
        pairs = await _read_addresses(process)
        found = await _figures_of(process.pid, pairs['callers'])
        return [*found, *await _added_of(pairs['admin'])]
    finally:
        process.kill()
        await process.aclose()


async def _added_of(address: str) -> list[capacity_figures.Figure]:
    async with httpcore.AsyncConnectionPool() as pool:
        answer = await pool.request('GET', f'http://{address}/metrics')
    return [
        capacity_figures.Figure('added to a call', name, added_ms, 'ms')
        for found in msgspec.json.decode(answer.content)['histograms']
        if found['name'] == 'added-ms'
        for name, added_ms in found['percentiles_ms'].items()
    ]


async def _read_addresses(process: anyio.abc.Process) -> dict[str, str]:
    assert process.stderr is not None
    line = (await process.stderr.receive()).decode().split('\n')[0]
    return dict(pair.split('=', 1) for pair in line.split())


async def _figures_of(pid: int, address: str) -> list[capacity_figures.Figure]:
    found = []
    await anyio.sleep(3)
    spent_before = _cpu_s(pid)
    await anyio.sleep(_MEASURED_MS / 1000)
    idle = (_cpu_s(pid) - spent_before) / (_MEASURED_MS / 1000)
    found.append(
        capacity_figures.Figure(
            'idle daemon', '1 instance', idle * 100, '% core'
        )
    )
    for calls in _LOADS:
        spent_before = _cpu_s(pid)
        started = time.perf_counter()
        took_ms = await _send_calls(address, calls)
        span_s = time.perf_counter() - started
        spent = _cpu_s(pid) - spent_before - idle * span_s
        size = f'{calls} calls'
        found.append(
            capacity_figures.Figure(
                'whole call in a daemon', size, spent / calls * _US, 'us'
            ),
        )
        cuts = statistics.quantiles(took_ms, n=100)
        found.append(
            capacity_figures.Figure('p50 at the caller', size, cuts[49], 'ms')
        )
        found.append(
            capacity_figures.Figure('p99 at the caller', size, cuts[98], 'ms')
        )
    status = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    resident = next(
        line for line in status.splitlines() if line.startswith('VmRSS')
    )
    resident_mb = int(resident.split()[1]) / 1024
    found.append(
        capacity_figures.Figure(
            'resident size', '27 targets', resident_mb, 'MB'
        )
    )
    return found


async def _send_calls(address: str, calls: int) -> list[float]:
    took_ms = []
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        for _ in range(calls):
            started = time.perf_counter()
            answer = await pool.request(
                'GET',
                f'http://{address}/listings',
                headers=[(headers.SERVICE, b'burza')],
            )
            took_ms.append((time.perf_counter() - started) * 1000)
            if answer.status != 200:
                raise SystemExit(f'a call was answered {answer.status}')
    return took_ms


def _cpu_s(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')
