"""Measures one real daemon: processor time, times of calls, resident size."""

import pathlib
import statistics
import tempfile
import time
import typing

import anyio
import httpcore
import msgspec

from bench import capacity_figures, daemons
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
    daemon = await daemons.run('entry-1', tree, folder, deployment.tasks)
    try:
        found = await _figures_of(daemon)
        return [*found, *await _added_of(daemon.address_by_side['admin'])]
    finally:
        daemon.kill()


async def _added_of(address: str) -> list[capacity_figures.Figure]:
    async with httpcore.AsyncConnectionPool() as pool:
        answer = await pool.request('GET', f'http://{address}/metrics')
    return [
        capacity_figures.Figure('added to a call', name, added_ms, 'ms')
        for found in msgspec.json.decode(answer.content)['histograms']
        if found['name'] == 'added-ms'
        for name, added_ms in found['percentiles_ms'].items()
    ]


async def _figures_of(
    daemon: daemons.Daemon,
) -> list[capacity_figures.Figure]:
    found = []
    await anyio.sleep(3)
    spent_before = daemon.cpu_s()
    await anyio.sleep(_MEASURED_MS / 1000)
    idle = (daemon.cpu_s() - spent_before) / (_MEASURED_MS / 1000)
    found.append(
        capacity_figures.Figure(
            'idle daemon', '1 instance', idle * 100, '% core'
        )
    )
    for calls in _LOADS:
        spent_before = daemon.cpu_s()
        started = time.perf_counter()
        took_ms = await _send_calls(daemon.address_by_side['callers'], calls)
        span_s = time.perf_counter() - started
        spent = daemon.cpu_s() - spent_before - idle * span_s
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
    found.append(
        capacity_figures.Figure(
            'resident size', '27 targets', daemon.memory_mb(), 'MB'
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
