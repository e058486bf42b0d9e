"""The daemon as a process: settings errors and planned stops."""

import collections
import contextlib
import itertools
import pathlib
import signal
import socket
import subprocess
import sys

import anyio
import httpcore
import msgspec
import pytest

from oleanderstair.emulator import fleet
from oleanderstair.engine import headers
from test import helper

ROOT = pathlib.Path(__file__).parent.parent
CLIENTS = 8
NUMBERS = itertools.count()
RAN = (b'ran', None)
STOPPING = (b'not-run', b'stopping')


class Daemon:
    """A running daemon and its log lines."""

    def __init__(self, process):
        self.process = process
        self.lines = []
        self.address_by_side = {}

    async def read_log(self):
        partial_line = b''
        with contextlib.suppress(anyio.EndOfStream):
            while True:
                partial_line += await self.process.stderr.receive()
                *complete, partial_line = partial_line.split(b'\n')
                for line in complete:
                    self._parse_line(line.decode())

    def has_logged(self, text):
        return any(text in line for line in self.lines)

    def _parse_line(self, line):
        self.lines.append(line)
        if line.startswith('event=started'):
            pairs = (pair.split('=', 1) for pair in line.split())
            self.address_by_side = dict(pairs)


@contextlib.asynccontextmanager
async def running_daemon(path, deployment, tasks, **limits):
    tree = deployment.node_settings('entry-1', 'trnava')
    tree['log'] = {'to': 'stderr'}
    tree['policy'] = {'confirm_without_peers': True, **limits}
    path.write_bytes(msgspec.json.encode(tree))
    command = [sys.executable, '-m', 'oleanderstair.daemon', '--settings']
    process = await anyio.open_process(
        [*command, str(path)],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
    )
    daemon = Daemon(process)
    tasks.start_soon(daemon.read_log)
    try:
        await helper.wait_until(lambda: 'admin' in daemon.address_by_side)
        yield daemon
    finally:
        if process.returncode is None:
            process.kill()


def key_field_of(method):
    if method == 'POST':
        return []
    return [(headers.KEY, f'get-{next(NUMBERS)}'.encode())]


async def load(address, replies, method):
    """Call on one connection until a refusal with ``stopping`` closes it.

    Each GET has a key of its own, because a hedged GET may run twice.
    """
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        while True:
            answer = await pool.request(
                method,
                f'http://{address}/listings',
                headers=[
                    (headers.SERVICE, b'burza'),
                    (headers.CONTENT_LENGTH, b'0'),
                    *key_field_of(method),
                ],
            )
            fields = dict(answer.headers)
            kind = (fields[headers.OUTCOME], fields.get(headers.REASON))
            replies.append((kind, method))
            closing = fields.get(headers.CONNECTION) == b'close'
            if closing and fields.get(headers.REASON) == b'stopping':
                return


async def until_served(address):
    answer = await helper.send_request(address)
    while helper.outcome_of(answer) != 'ran':
        await anyio.sleep(0.02)
        answer = await helper.send_request(address)


@contextlib.asynccontextmanager
async def serving_daemon(tmp_path, **limits):
    """Run a platform, targets and one daemon within the test timeout."""
    with anyio.fail_after(helper.TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            deployment = fleet.create(fleet.COOPERATIVE, tasks)
            note = deployment.first_note()
            # Hedges would add runs, and the tests count runs exactly.
            for service in note['added']['services']:
                service['hedge_share'] = 0
            deployment.platform.publish(note)
            path = tmp_path / 'settings.json'
            async with running_daemon(
                path, deployment, tasks, **limits
            ) as daemon:
                yield daemon, list(deployment.target_by_id.values())
            tasks.cancel_scope.cancel()


def test_planned_stop_interrupts_no_call(tmp_path):
    async def scenario():
        async with serving_daemon(
            tmp_path,
            answer_validity_ms=700,
        ) as (daemon, members):
            address = daemon.address_by_side['callers']
            await until_served(address)
            for target in members:
                target.service_ms = 150
            replies = []

            def is_loaded():
                busy = sum(member.in_flight for member in members)
                return len(replies) > CLIENTS and busy >= CLIENTS // 2

            async with anyio.create_task_group() as clients:
                for method in ('GET', 'POST') * (CLIENTS // 2):
                    clients.start_soon(load, address, replies, method)
                await helper.wait_until(is_loaded)
                daemon.process.send_signal(signal.SIGTERM)
            assert await daemon.process.wait() == 0
            kinds = collections.Counter(kind for kind, _ in replies)
            ran = collections.Counter(
                asked for kind, asked in replies if kind == RAN
            )
            assert kinds.keys() == {RAN, STOPPING}
            assert kinds[STOPPING] == CLIENTS
            runs_by_name = collections.Counter()
            for target in members:
                runs_by_name.update(target.served_by_key)
            served = sum(member.served for member in members)
            assert len(runs_by_name) == ran['GET']
            assert served - runs_by_name.total() == ran['POST'] + 1
            assert daemon.has_logged('event=stopped')

    anyio.run(scenario)


def test_second_signal_ends_the_process_at_once(tmp_path):
    async def scenario():
        async with serving_daemon(
            tmp_path,
            answer_validity_ms=600_000,
        ) as (daemon, _):
            daemon.process.send_signal(signal.SIGTERM)
            await helper.wait_until(lambda: daemon.has_logged('planned'))
            daemon.process.send_signal(signal.SIGTERM)
            assert await daemon.process.wait() == 1
            assert not daemon.has_logged('Traceback')

    anyio.run(scenario)


def run_until_exit(path):
    return subprocess.run(
        [sys.executable, '-m', 'oleanderstair.daemon', '--settings', path],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=helper.TIMEOUT_S,
        check=False,
    )


@pytest.mark.parametrize(
    ('overlay', 'field'),
    [
        ('{"instance": {"id": "a"}, "admin": {"port": "x"}}', 'admin.port'),
        ('{"instance": {"id": "a"}}', 'peers.public_key'),
        ('{"instance": ', 'settings.json'),
    ],
)
def test_settings_error_is_one_line_with_field_and_remedy(
    tmp_path,
    overlay,
    field,
):
    path = tmp_path / 'settings.json'
    path.write_text(overlay)
    ended = run_until_exit(path)
    assert ended.returncode == 2
    assert len(ended.stderr.splitlines()) == 1
    assert field in ended.stderr
    assert '; ' in ended.stderr


def test_port_in_use_is_a_settings_error(tmp_path):
    with socket.create_server(('127.0.0.1', 0)) as taken:
        tree = {
            'instance': {'id': 'a'},
            'callers': {'port': taken.getsockname()[1]},
            'peers': {'allow_plain': True},
        }
        path = tmp_path / 'settings.json'
        path.write_bytes(msgspec.json.encode(tree))
        ended = run_until_exit(path)
    assert ended.returncode == 2
    assert 'cannot listen' in ended.stderr.splitlines()[-1]
    assert 'Traceback' not in ended.stderr
