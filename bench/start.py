"""Measures the start of a real daemon by phase, against stand-ins on loopback.

Each start gets a call that waits for it, as callers do after a loss of power.
"""

import argparse
import contextlib
import itertools
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
_LOG_TIMEOUT_S: typing.Final = 0.3
_LAST_FIELD: typing.Final = b'first_answer_cpu_ms'
_NS_PER_MS: typing.Final = 1_000_000
_REQUEST: typing.Final = (
    f'GET /lookup/some HTTP/1.1\r\nhost: {published.HOST}\r\n'
    'request-id: request-1\r\ndeadline-ms: 9000\r\n\r\n'
).encode()


_Times: typing.TypeAlias = dict[str, float]


def main() -> None:
    """Print the median of each phase, with the lowest and the highest."""
    parser = argparse.ArgumentParser(prog='bench.start', description=__doc__)
    parser.add_argument('--starts', type=int, default=10)
    parser.add_argument('--targets', type=int, default=4)
    parser.add_argument(
        '--trees',
        nargs='*',
        type=pathlib.Path,
        default=[_ROOT],
        help='checkouts whose daemons are started in turn',
    )
    asked = parser.parse_args()
    found = anyio.run(_measure_starts, asked)
    for tree, starts in found.items():
        sys.stdout.write(f'{tree}\n')
        for name in starts[0]:
            values = sorted(fields[name] for fields in starts)
            sys.stdout.write(
                f'{name:24} {statistics.median(values):7.0f}'
                f' ({values[0]:.0f} to {values[-1]:.0f})\n'
            )


async def _measure_starts(
    asked: argparse.Namespace,
) -> dict[pathlib.Path, list[_Times]]:
    """Start each tree's daemon several times; return the times by tree."""
    found: dict[pathlib.Path, list[_Times]] = {}
    async with anyio.create_task_group() as tasks:
        store_address = _serve_platform(tasks, asked.targets)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'settings.json'
            for _, tree in itertools.product(range(asked.starts), asked.trees):
                address = _free_address()
                written = _settings_tree(store_address, address)
                path.write_bytes(msgspec.json.encode(written))
                with anyio.fail_after(_TIMEOUT_S):
                    times = await _measure_start(tree, path, address)
                found.setdefault(tree, []).append(times)
        tasks.cancel_scope.cancel()
    return found


async def _measure_start(
    tree: pathlib.Path, path: pathlib.Path, address: str
) -> _Times:
    """Start a daemon and call it; return its phases, and the caller's times."""
    started_s = anyio.current_time()
    process = await anyio.open_process(
        [sys.executable, '-S', '-m', 'oleanderstair.platform.daemon'],
        cwd=tree,
        env={**os.environ, daemon.SETTINGS_VARIABLE: str(path)},
        stdout=subprocess.DEVNULL,
    )
    try:
        connected_s, answered_s = await _call(address)
        cpu_ms = _read_cpu_ms(process.pid)
        phases = await _read_phases(process)
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.aclose()
    return {
        **phases,
        'caller_connected_ms': (connected_s - started_s) * 1000,
        'caller_answered_ms': (answered_s - started_s) * 1000,
        'process_cpu_ms': cpu_ms,
    }


def _read_cpu_ms(pid: int) -> float:
    """Return the processor time that a process has used, with its threads."""
    return sum(
        int(path.read_text().split()[0]) / _NS_PER_MS
        for path in pathlib.Path(f'/proc/{pid}/task').glob('*/schedstat')
    )


async def _call(address: str) -> tuple[float, float]:
    """Call until there is an answer.

    Return when the connection was open and when the answer came.
    """
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
            return connected_s, anyio.current_time()


async def _read_phases(process: anyio.abc.Process) -> _Times:
    """Return the fields of the log line that is written after an answer.

    Versions before this line was added have none.
    """
    assert process.stderr is not None  # noqa: S101 (opened as a pipe)
    text = b''
    with anyio.move_on_after(_LOG_TIMEOUT_S):
        while _LAST_FIELD not in text:
            try:
                text += await process.stderr.receive()
            except anyio.EndOfStream:
                raise SystemExit(f'the daemon ended: {text.decode()}') from None
    found = map(lines.read, text.decode().splitlines())
    last_fields = [line.field_by_name for line in found if line is not None][-1]
    return {
        name: float(amount)
        for name, amount in last_fields.items()
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
