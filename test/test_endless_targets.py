"""Targets whose answers have no end, and the memory of a whole process.

Six targets of one service send bytes until their connections are closed. The
process must live within the memory of its machine, and ordinary calls to
another service must be served.
"""

import asyncio
import collections
import contextlib
import gc
import itertools
import typing

import anyio
import pytest

from test import gateway_process, loopback_node, test_misbehaving_clients

TARGET_COUNT = 6
CALLERS = 40
PLAY_S = 6
ORDINARY_BYTES = 200_000
MAX_ORDINARY_S = 1
STATUS = b'HTTP/1.1 200 OK\r\n'
CHUNKED = b'%btransfer-encoding: chunked\r\n' % STATUS
HEALTHY = b'%bserver-load: 0,0,4\r\ncontent-length: 0\r\n\r\n' % STATUS
PIECE = b'x' * 16_384
MAX_ANSWER_BYTES = 4_194_304


class Endless(typing.NamedTuple):
    """What a faulty target sends: a head, then bytes again and again.

    ``is_health`` is true if it sends them in answer to health reads only. A
    pause of ``pause_s`` follows each piece.
    """

    head: bytes
    piece: bytes
    is_health: bool = False
    pause_s: float = 0


def chunks_of(size):
    return b'%x\r\n%b\r\n' % (size, b'x' * size) * (16_384 // (size + 5))


DECLARED = b'%bcontent-length: %d\r\n'
KINDS = {
    'chunks of 9 bytes': Endless(CHUNKED, chunks_of(9)),
    'chunks of 1 byte': Endless(CHUNKED, chunks_of(1)),
    'chunks of 2 bytes': Endless(CHUNKED, chunks_of(2)),
    'chunks of 2 bytes to health reads': Endless(CHUNKED, chunks_of(2), True),
    'slow chunks': Endless(CHUNKED, chunks_of(2), pause_s=0.02),
    'no length': Endless(STATUS, PIECE),
    'no length, slowly': Endless(STATUS, PIECE, pause_s=0.02),
    'declared above the limit': Endless(DECLARED % (STATUS, 60_000_000), PIECE),
    'declared and not sent': Endless(
        DECLARED % (STATUS, MAX_ANSWER_BYTES), b'x', pause_s=0.5
    ),
}


class EndlessTarget:
    """Sends the bytes of each kind in turn, one kind for each answer."""

    def __init__(self, kinds: typing.Iterable[Endless]) -> None:
        self.kinds = itertools.cycle(kinds)
        self.address = ''

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self._answer(head, writer)
        writer.close()

    async def _answer(self, head, writer):
        kind = next(self.kinds)
        if head.startswith(b'GET /health') is not kind.is_health:
            writer.write(answer_well(head))
            return
        writer.write(b'%b%b\r\n' % (kind.head, request_id_line(head)))
        while True:
            writer.write(kind.piece)
            await writer.drain()
            await asyncio.sleep(kind.pause_s)


def request_id_line(head):
    lines = head.lower().split(b'\r\n')
    found = [line for line in lines if line.startswith(b'request-id:')]
    return b''.join(b'%b\r\n' % line for line in found)


def answer_well(head):
    if head.startswith(b'GET /health'):
        return HEALTHY
    return HEALTHY.replace(b'\r\n\r\n', b'\r\n%b\r\n' % request_id_line(head))


@contextlib.asynccontextmanager
async def serving(kinds):
    """Serve the faulty targets; yield their service."""
    async with contextlib.AsyncExitStack() as stack:
        addresses = []
        for _ in range(TARGET_COUNT):
            server = await asyncio.start_server(
                EndlessTarget(kinds).serve, '127.0.0.1', 0
            )
            await stack.enter_async_context(closing(server))
            port = server.sockets[0].getsockname()[1]
            addresses.append(f'127.0.0.1:{port}')
        yield gateway_process.OtherService('faulty', tuple(addresses))


@contextlib.asynccontextmanager
async def closing(server):
    try:
        yield
    finally:
        server.close()


async def keep_calling(gateway, statuses):
    """Call the faulty service again and again."""
    for number in itertools.count():
        with contextlib.suppress(*gateway_process.UNANSWERED):
            answer = await loopback_node.send_request(
                gateway.callers,
                '/faulty/a',
                request_id=f'faulty-{id(statuses)}-{number}',
                deadline_ms='3000',
            )
            statuses[answer.status] += 1
        await anyio.sleep(0.01)


async def call_ordinarily(gateway):
    """Call the other service; return statuses and the longest time."""
    statuses = collections.Counter()
    longest_s = 0
    end_s = anyio.current_time() + PLAY_S
    while anyio.current_time() < end_s:
        started_s = anyio.current_time()
        answer = await loopback_node.send_request(
            gateway.callers,
            f'/lookup/a?fill={ORDINARY_BYTES}',
            request_id=f'ordinary-{started_s}',
            deadline_ms='5000',
        )
        statuses[answer.status] += 1
        longest_s = max(longest_s, anyio.current_time() - started_s)
        await anyio.sleep(0.05)
    return statuses, longest_s


@contextlib.contextmanager
def few_collected_objects():
    """Leave the objects of earlier tests out of garbage collection.

    To collect them all took 1.3 s, in which no caller of this process runs.
    """
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


def play(tmp_path, kinds):
    """Play all callers; return what the ordinary ones and the others saw."""
    machine = gateway_process.Machine()
    found = {}

    async def scene(gateway):
        faulty = collections.Counter()
        async with anyio.create_task_group() as tasks:
            for _ in range(CALLERS):
                tasks.start_soon(keep_calling, gateway, faulty)
            found['ordinary'] = await call_ordinarily(gateway)
            tasks.cancel_scope.cancel()
        found['faulty'] = faulty
        found['metrics'] = await gateway.read_metrics()
        found['peak MB'] = gateway.peak_memory_bytes() / gateway_process.MIB

    async def scenario():
        async with (
            serving(kinds) as other,
            gateway_process.running(tmp_path, machine, other) as gateway,
        ):
            await test_misbehaving_clients.watch(
                gateway, machine, lambda: scene(gateway)
            )

    with few_collected_objects():
        anyio.run(scenario)
    return found


@pytest.mark.parametrize('kind', KINDS)
def test_an_endless_answer_leaves_memory_and_other_services_alone(
    tmp_path, kind
):
    found = play(tmp_path, [KINDS[kind]])
    statuses, longest_s = found['ordinary']
    assert set(statuses) == {200}, found
    assert longest_s < MAX_ORDINARY_S, found


# A target that fails so must be barred for a while, and its operator must see
# why.
def test_an_endless_answer_bars_its_target_and_is_reported(tmp_path):
    found = play(tmp_path, [KINDS['no length']])
    pages = found['metrics']
    assert 'answers_given_up_total{cause="answer-too-large"}' in pages
    assert found['faulty'][503] > found['faulty'][502]


def test_all_kinds_of_endless_answers_at_a_time(tmp_path):
    found = play(tmp_path, KINDS.values())
    assert set(found['ordinary'][0]) == {200}, found


# Legal answers still arrive, whatever their pieces are.
@pytest.mark.parametrize('size', [1, 16_384])
def test_a_legal_answer_in_pieces_arrives_in_calm(tmp_path, size):
    body_bytes = 2_097_152
    chunk = b'%x\r\n%b\r\n' % (size, b'x' * size)
    pieces = chunk * (body_bytes // size)

    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                if head.startswith(b'GET /health'):
                    writer.write(HEALTHY)
                    continue
                writer.write(b'%b%b\r\n' % (CHUNKED, request_id_line(head)))
                writer.write(pieces)
                writer.write(b'0\r\n\r\n')
                await writer.drain()

    async def scenario():
        machine = gateway_process.Machine()
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        other = gateway_process.OtherService('faulty', (f'127.0.0.1:{port}',))
        async with (
            closing(server),
            gateway_process.running(tmp_path, machine, other) as gateway,
        ):
            return await loopback_node.send_request(
                gateway.callers, '/faulty/a', deadline_ms='4000'
            )

    answer = anyio.run(scenario)
    assert answer.status == 200
    assert answer.content == b'x' * body_bytes
