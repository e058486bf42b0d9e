"""Measures the start of a real daemon by phase, against stand-ins on loopback.

Each start gets a call that waits for it, as callers do after a loss of power.
"""

import argparse
import contextlib
import os
import pathlib
import socket
import statistics
import subprocess
import sys
import tempfile
import typing

import anyio
import anyio.abc
import msgspec

from oleanderstair import settings
from oleanderstair.emulator import load_targets, published, store
from oleanderstair.engine import listener
from oleanderstair.explaining import lines
from oleanderstair.platform import daemon

_ROOT: typing.Final = pathlib.Path(__file__).parent.parent
_ANY_PORT: typing.Final = '127.0.0.1:0'
_TIMEOUT_S: typing.Final = 20
_CONNECT_RETRY_S: typing.Final = 0.002
_LAST_FIELD: typing.Final = 'first_answer_ms'
_REQUEST: typing.Final = (
    f'GET /lookup/some HTTP/1.1\r\nhost: {published.HOST}\r\n'
    'request-id: request-1\r\ndeadline-ms: 9000\r\n\r\n'
).encode()


def main() -> None:
    """Print the median of each phase, with the lowest and the highest."""
    parser = argparse.ArgumentParser(prog='bench.start', description=__doc__)
    parser.add_argument('--starts', type=int, default=10)
    parser.add_argument('--targets', type=int, default=4)
    asked = parser.parse_args()
    found = anyio.run(_measure_starts, asked.starts, asked.targets)
    for name in found[0]:
        values = sorted(fields[name] for fields in found)
        sys.stdout.write(
            f'{name:24} {statistics.median(values):7.0f}'
            f' ({values[0]:.0f} to {values[-1]:.0f})\n'
        )


async def _measure_starts(starts: int, targets: int) -> list[dict[str, float]]:
    """Start a daemon several times; return the phases of each start in ms."""
    found = []
    async with anyio.create_task_group() as tasks:
        store_address = _serve_platform(tasks, targets)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'settings.json'
            for _ in range(starts):
                address = _free_address()
                tree = _settings_tree(store_address, address)
                path.write_bytes(msgspec.json.encode(tree))
                with anyio.fail_after(_TIMEOUT_S):
                    found.append(await _measure_start(path, address))
        tasks.cancel_scope.cancel()
    return found


async def _measure_start(path: pathlib.Path, address: str) -> dict[str, float]:
    """Start a daemon and call it; return its phases, and the caller's times."""
    started_s = anyio.current_time()
    process = await anyio.open_process(
        [sys.executable, '-S', '-m', 'oleanderstair.platform.daemon'],
        cwd=_ROOT,
        env={**os.environ, daemon.SETTINGS_VARIABLE: str(path)},
        stdout=subprocess.DEVNULL,
    )
    try:
        connected_s = await _call(address)
        answered_s = anyio.current_time()
        phases = await _read_phases(process)
    finally:
        process.kill()
        await process.aclose()
    return {
        **phases,
        'caller_connected_ms': (connected_s - started_s) * 1000,
        'caller_answered_ms': (answered_s - started_s) * 1000,
    }


async def _call(address: str) -> float:
    """Call until there is an answer; return when the connection was open."""
    host, _, port = address.rpartition(':')
    while True:
        try:
            stream = await anyio.connect_tcp(host, int(port))
        except OSError:
            await anyio.sleep(_CONNECT_RETRY_S)
            continue
        connected_s = anyio.current_time()
        async with stream:
            await stream.send(_REQUEST)
            answer = await stream.receive()
        if answer.startswith(b'HTTP/1.1 200'):
            return connected_s


async def _read_phases(process: anyio.abc.Process) -> dict[str, float]:
    """Return the fields of the log line that is written after an answer."""
    assert process.stderr is not None  # noqa: S101 (opened as a pipe)
    text = b''
    while True:
        text += await process.stderr.receive()
        for row in text.decode().splitlines():
            line = lines.read(row)
            if line is not None and _LAST_FIELD in line.field_by_name:
                return {
                    name: float(amount)
                    for name, amount in line.field_by_name.items()
                    if name.endswith('_ms')
                }


def _serve_platform(tasks: anyio.abc.TaskGroup, targets: int) -> str:
    """Serve a store with targets; return its address."""
    platform_store = store.create()
    for number in range(targets):
        target = load_targets.create(f'i-{number}')
        entry = published.entry(_serve(tasks, target))
        platform_store.put(f'servers/i-{number}', entry)
    routes = [published.route('lookup', 'idempotent', 'burza')]
    platform_store.put('op/config', published.configuration(1, routes))
    return _serve(tasks, platform_store)


def _serve(tasks: anyio.abc.TaskGroup, app: typing.Any) -> str:
    bound = listener.bind_socket('127.0.0.1', 0)
    tasks.start_soon(listener.create(app).serve, [bound])
    return listener.address_of(bound)


def _free_address() -> str:
    """Return an address of this machine that was free a moment ago."""
    with contextlib.closing(socket.create_server(('127.0.0.1', 0))) as bound:
        return listener.address_of(bound)


def _settings_tree(store_address: str, address: str) -> settings.Tree:
    return {
        'instance': {'id': 'entry-1', 'region': 'west', 'data_centre': 'here'},
        'callers': {'address': address},
        'peers': {'address': _ANY_PORT, 'allow_plain': True},
        'admin': {'metrics_address': _ANY_PORT},
        'platform': {
            'store_address': store_address,
            'directory_address': _ANY_PORT,
            'readiness_address': _ANY_PORT,
        },
        'policy': {'tick_ms': 100},
        'log': {'to': 'stderr'},
    }


if __name__ == '__main__':
    main()
