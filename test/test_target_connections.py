"""Connections to targets whose reading or acknowledging stops for a while."""

import asyncio
import contextlib
import socket
import tracemalloc

import anyio
import pytest

from oleanderstair.domain import events
from oleanderstair.engine import exchanges, target_connections
from soak import silencing
from test import raw

ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntwig'
LARGE = b'o' * 1_000_000
SMALL = b'o' * 1200
CUT_OFF_MS = 500


IDLE_ANSWER_BYTES = 1_000_000


@pytest.fixture(autouse=True)
def _limit_unacknowledged(monkeypatch):
    monkeypatch.setattr(target_connections, 'MAX_UNACKNOWLEDGED_MS', CUT_OFF_MS)


@contextlib.asynccontextmanager
async def reading_late(pause_s):
    """Serve a target that reads each body after a pause; yield its port."""
    loop = asyncio.get_running_loop()

    async def serve(connected):
        with connected:
            await answer(connected)

    async def answer(connected):
        head = b''
        while True:
            head += await loop.sock_recv(connected, 1)
            if not head.endswith(b'\r\n\r\n'):
                continue
            left = int(head.split(b'content-length: ')[1].split()[0])
            head = b''
            await anyio.sleep(pause_s)
            while left:
                left -= len(await loop.sock_recv(connected, left))
            await loop.sock_sendall(connected, ANSWER)

    with socket.socket() as bound:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        bound.bind(('127.0.0.1', 0))
        bound.listen()
        bound.setblocking(False)
        async with anyio.create_task_group() as tasks:
            accepting = loop.create_task(loop.sock_accept(bound))
            accepting.add_done_callback(
                lambda done: tasks.start_soon(serve, done.result()[0])
            )
            yield bound.getsockname()[1]
            tasks.cancel_scope.cancel()


async def post(pool, port, body):
    destination = exchanges.Destination(
        'burza-01', f'127.0.0.1:{port}', False, 4000
    )
    fields = [(b'host', b'a'), (b'content-length', str(len(body)).encode())]
    request = exchanges.Request(b'POST', b'/order', fields, body)
    return await pool.exchange(destination, request)


def test_target_that_reads_a_large_body_late_is_waited_for():
    # A target that reads nothing acknowledges the kernel's probes only, which
    # TCP_USER_TIMEOUT counted as silence: its order ran and got a 502.
    async def scenario():
        async with reading_late(3 * CUT_OFF_MS / 1000) as port:
            result = await post(exchanges.create(), port, LARGE)
        assert result.verdict is events.Verdict.ANSWERED, result.cause

    anyio.run(scenario)


@pytest.mark.parametrize('earlier', [(), (LARGE,)])
def test_target_that_is_cut_off_is_found_early(earlier):
    # A machine without power or link must not hold a small request until its
    # timeout, also on a connection that has carried a large one.
    async def scenario():
        pool = exchanges.create()
        async with reading_late(0) as port:
            for body in (*earlier, SMALL):
                result = await post(pool, port, body)
                assert result.verdict is events.Verdict.ANSWERED, result.cause
            assert silencing.silence_connections(
                lambda _, peer_port: peer_port == port
            )
            with anyio.fail_after(4 * CUT_OFF_MS / 1000):
                result = await post(pool, port, SMALL)
        assert result.verdict is events.Verdict.BROKEN
        assert result.unanswered

    anyio.run(scenario)


def test_idle_connection_holds_nothing_of_the_last_answer():
    # Each idle connection held the parts and the whole of its last answer,
    # outside the memory for buffered bytes: with answers of 4 MB, an instance
    # grew beyond the memory of its machine.
    async def scenario():
        head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n'
        answer = head % IDLE_ANSWER_BYTES + b'o' * IDLE_ANSWER_BYTES
        script = raw.RawTarget(answer, kept=True)
        async with raw.running(script) as target:
            pool = exchanges.create()
            port = target.address.rpartition(':')[2]
            tracemalloc.start()
            result = await post(pool, port, SMALL)
            assert len(result.answer.body) == IDLE_ANSWER_BYTES
            assert pool.idle_by_target['burza-01']
            del result
            await anyio.sleep(0)
            held_bytes, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
        assert held_bytes < IDLE_ANSWER_BYTES / 2

    anyio.run(scenario)


def test_body_that_waits_for_its_target_is_not_copied():
    # It was there three times: as received, as encoded, and in the buffer of
    # the connection, where the memory for bodies allows two.
    async def scenario():
        body = b'o' * 16_000_000
        async with reading_late(0.5) as port:
            async with anyio.create_task_group() as tasks:
                tracemalloc.start()
                tasks.start_soon(post, exchanges.create(), port, body)
                await anyio.sleep(0.3)
                held_bytes, peak_bytes = tracemalloc.get_traced_memory()
                tracemalloc.stop()
        assert held_bytes < len(body) / 4
        assert peak_bytes < len(body) / 4

    anyio.run(scenario)


def test_connection_with_an_unsent_rest_of_a_body_is_not_used_again():
    # The target would read the next request as that rest.
    async def scenario():
        refusal = b'HTTP/1.1 413 X\r\ncontent-length: 4\r\n\r\ntwig'
        target = raw.RawTarget(refusal, ANSWER, kept=True)
        async with raw.running(target):
            pool = exchanges.create()
            port = target.address.rpartition(':')[2]
            result = await post(pool, port, b'o' * 16_000_000)
            assert result.answer.status == 413
            assert not pool.idle_by_target['burza-01']
            result = await post(pool, port, SMALL)
            assert result.verdict is events.Verdict.ANSWERED
            assert target.connections == 2

    anyio.run(scenario)
