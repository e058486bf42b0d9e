"""The HTTP listener with slow, large and malformed requests."""

import asyncio
import contextlib
import socket

import anyio
import msgspec
import pytest

from oleanderstair.engine import asgi, bounded_protocol, listener, replies
from test import helper, raw

BOUNDS = bounded_protocol.ConnectionBounds(
    max_header_bytes=2000,
    request_time_ms=200,
    idle_ms=200,
    answer_time_ms=200,
    max_connections=3,
)
LARGE = 8_000_000


async def echo(scope, receive, send):
    size = LARGE if scope['path'] == '/large' else 2
    fields = [(b'content-length', str(size).encode())]
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': fields},
    )
    await send({'type': 'http.response.body', 'body': b'o' * size})


@contextlib.asynccontextmanager
async def serving(bounds=BOUNDS, app=echo, on_unanswered=None):
    bound = listener.bind_socket('127.0.0.1', 0)
    server = listener.create_with_changing_bounds(
        app, lambda: bounds, on_unanswered=on_unanswered
    )
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, [bound])
            yield listener.address_of(bound), server
            server.should_exit = True


def refusal_of(answer):
    head, _, body = answer.partition(b'\r\n\r\n')
    assert b'call-outcome: not-run' in head
    assert msgspec.json.decode(body, type=replies.Refusal)['remedy']
    return int(head.split()[1])


@pytest.mark.parametrize(
    ('pieces', 'status'),
    [
        ([b'GET / HTTP/1.1\r\nhost: a\r\nx: ', b'y' * 3000], 413),
        ([b'GET /', b'z' * 3000, b' HTTP/1.1\r\n'], 413),
        ([b'GET / HTTP/1.1\r\nx: %b\r\n\r\n' % (b'y' * 3000)], 413),
        ([b'GET / HTTP/1.1\r\nhost: a\r\n'], 408),
        ([b'nothing of the kind\r\n\r\n'], 400),
        ([b'POST / HTTP/1.1\r\ncontent-length: x\r\n\r\n'], 400),
        (
            [
                b'POST / HTTP/1.1\r\ncontent-length: 1\r\n'
                b'content-length: 2\r\n\r\nab',
            ],
            400,
        ),
        (
            [
                b'POST / HTTP/1.1\r\ncontent-length: 3\r\n'
                b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
            ],
            400,
        ),
    ],
)
def test_bad_request_is_refused_and_closed(pieces, status):
    async def scenario():
        # The process may stand still before the first byte is sent.
        long_idle = BOUNDS._replace(idle_ms=5000)
        async with serving(long_idle) as (address, _):
            assert (
                refusal_of(await raw.send_and_receive(address, *pieces))
                == status
            )

    anyio.run(scenario)


def test_idle_connection_is_closed_without_an_answer():
    async def scenario():
        async with serving() as (address, _):
            assert await raw.send_and_receive(address) == b''
            answer = await raw.send_and_receive(
                address, b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
            )
            assert answer.endswith(b'oo')

    anyio.run(scenario)


@pytest.mark.parametrize(
    ('pieces', 'answers'),
    [
        ([b'\r\n'], 0),
        ([b'GET / HTTP/1.1\r\nhost: a\r\n\r\n', b'\r\n'], 1),
        (
            [
                b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n',
                b'ab',
            ],
            1,
        ),
    ],
)
def test_connection_is_idle_after_bytes_that_begin_no_request(pieces, answers):
    # A CRLF or the rest of a body after its answer stopped the idle timeout,
    # so the connection stayed open without end.
    async def scenario():
        async with serving() as (address, _):
            with raw.SlowReader(address) as client:
                for piece in pieces:
                    await client.send(piece)
                    await anyio.sleep(0.05)
                for _ in range(answers):
                    assert (await client.read_head()).startswith(b'HTTP/1.1 2')
                with anyio.fail_after(1):
                    assert await client.read(3) == 2 * answers

    anyio.run(scenario)


def test_connection_above_the_limit_is_refused():
    async def scenario():
        long_idle = BOUNDS._replace(idle_ms=5000)
        async with serving(long_idle) as (address, server):
            host, _, port = address.rpartition(':')
            async with contextlib.AsyncExitStack() as opened:
                for _ in range(BOUNDS.max_connections):
                    await opened.enter_async_context(
                        await anyio.connect_tcp(host, int(port)),
                    )
                while len(server.server_state.connections) < 3:
                    await anyio.sleep(0.01)
                assert refusal_of(await raw.send_and_receive(address)) == 503
            while server.server_state.connections:
                await anyio.sleep(0.01)

    anyio.run(scenario)


def test_client_that_never_reads_is_dropped():
    async def scenario():
        async with serving() as (address, server):
            host, _, port = address.rpartition(':')
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(b'GET /large HTTP/1.1\r\nhost: a\r\n\r\n')
                while not server.server_state.connections:
                    await anyio.sleep(0.01)
                while server.server_state.connections:
                    await anyio.sleep(0.01)

    anyio.run(scenario)


GET_LARGE = b'GET /large HTTP/1.1\r\nhost: a\r\n\r\n'


def test_timer_of_an_unread_answer_does_not_cut_a_later_one():
    # The first answer is read at once after its timer started. The second
    # one is unread when that timer ends, but for less than its own time.
    async def scenario():
        bounds = BOUNDS._replace(answer_time_ms=1000, idle_ms=5000)
        async with serving(bounds) as (address, _):
            with raw.SlowReader(address) as client:
                await client.send(GET_LARGE)
                await client.read_head()
                await anyio.sleep(0.1)
                assert await client.read(LARGE) == LARGE
                await anyio.sleep(0.6)
                await client.send(GET_LARGE)
                await anyio.sleep(0.6)
                await client.read_head()
                assert await client.read(LARGE) == LARGE

    anyio.run(scenario)


def test_answer_is_not_cut_while_its_client_reads_slowly():
    # Neither the time for an unread answer nor the idle timeout may end a
    # connection whose client has read a part within that time. The kernel
    # holds so much that the buffer of the process doesn't shrink meanwhile.
    async def scenario():
        bounds = BOUNDS._replace(answer_time_ms=400)
        async with serving(bounds) as (address, _):
            with raw.SlowReader(address) as client:
                await client.send(GET_LARGE)
                await client.read_head()
                part = 65536
                for _ in range(24):
                    assert await client.read(part) == part
                    await anyio.sleep(0.05)
                rest = LARGE - 24 * part
                assert await client.read(rest) == rest

    anyio.run(scenario)


def test_answer_is_not_cut_by_a_request_after_its_announced_close():
    # A close with unread input resets the connection, which discards the
    # rest of the answer.
    async def closing(scope, receive, send):
        fields = [
            (b'content-length', str(LARGE).encode()),
            (b'connection', b'close'),
        ]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': fields},
        )
        await send({'type': 'http.response.body', 'body': b'o' * LARGE})

    async def scenario():
        bounds = BOUNDS._replace(answer_time_ms=1000, idle_ms=1000)
        async with serving(bounds, closing) as (address, server):
            with raw.SlowReader(address) as client:
                await client.send(GET_LARGE)
                await client.read_head()
                await client.send(GET_LARGE)
                await anyio.sleep(0.2)
                assert await client.read(LARGE + 1) == LARGE
            await helper.wait_until(lambda: not server.server_state.connections)

    anyio.run(scenario)


@pytest.mark.parametrize('is_new', [True, False])
def test_request_that_waits_at_the_exit_is_answered(is_new):
    # A process that waits for the processor finds it when it decides to exit.
    # Its connection was reset.
    async def scenario():
        async with serving() as (address, server):
            host, _, port = address.rpartition(':')
            with socket.socket() as client:
                if is_new:
                    await helper.wait_until(lambda: server.started)
                    client.connect((host, int(port)))
                else:
                    client.connect((host, int(port)))
                    await helper.wait_until(
                        lambda: server.server_state.connections
                    )
                client.sendall(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
                client.setblocking(False)
                server.should_exit = True
                loop = asyncio.get_running_loop()
                answer = await loop.sock_recv(client, 1000)
                assert answer.startswith(b'HTTP/1.1 200')

    anyio.run(scenario)


def test_request_that_arrives_across_the_exit_is_answered():
    async def scenario():
        async with serving() as (address, server):
            host, _, port = address.rpartition(':')
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(b'GET / HTTP/1.1\r\nhost')
                await anyio.sleep(0.05)
                server.should_exit = True
                await anyio.sleep(0.05)
                await stream.send(b': a\r\n\r\n')
                answer = await raw.receive_all(stream)
                assert answer.startswith(b'HTTP/1.1 200')
                assert b'connection: close' in answer

    anyio.run(scenario)


@pytest.mark.parametrize(
    'bad_request',
    [
        b'nothing of the kind\r\n\r\n',
        b'GET http://[ HTTP/1.1\r\nhost: a\r\n\r\n',
        b'GET / HTTP/1.1\r\nx: %b' % (b'y' * 3000),
    ],
)
def test_malformed_bytes_after_a_request_do_not_change_its_answer(bad_request):
    # The refusal of a target or a head that can't be parsed went out in place
    # of the answer to the request before it.
    async def slow(scope, receive, send):
        await anyio.sleep(0.1)
        await echo(scope, receive, send)

    async def scenario():
        async with serving(app=slow) as (address, _):
            host, _, port = address.rpartition(':')
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
                await anyio.sleep(0.02)
                await stream.send(bad_request)
                answer = b''
                with contextlib.suppress(anyio.EndOfStream):
                    while True:
                        answer += await stream.receive()
            assert answer.startswith(b'HTTP/1.1 200')
            assert answer.endswith(b'oo')
            assert answer.count(b'HTTP/1.1') == 1

    anyio.run(scenario)


async def answer_in_parts(scope, receive, send):
    fields = [(b'content-length', b'4')]
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': fields},
    )
    if scope['path'] == '/broken':
        raise RuntimeError
    for part in (b'tw', b'ig'):
        await send(
            {
                'type': 'http.response.body',
                'body': part,
                'more_body': part == b'tw',
            },
        )
        if part == b'tw':
            await anyio.sleep(0.1)


@pytest.mark.parametrize(
    ('request_head', 'ends'),
    [
        (b'GET / HTTP/1.1\r\nhost: a\r\n', b'\r\n\r\ntwig'),
        (b'GET / HTTP/1.0\r\nhost: a\r\n', b'\r\n\r\ntwig'),
        (b'HEAD / HTTP/1.1\r\nhost: a\r\n', b'content-length: 4\r\n\r\n'),
        (b'GET /broken HTTP/1.1\r\nhost: a\r\n', b'content-length: 4\r\n\r\n'),
    ],
)
def test_an_answer_in_parts_is_written_completely(request_head, ends):
    async def scenario():
        async with serving(app=answer_in_parts) as (address, _):
            answer = await raw.send_and_receive(address, request_head, b'\r\n')
            assert answer.startswith(b'HTTP/1.1 200')
            assert answer.count(b'HTTP/1.1') == 1
            assert answer.endswith(ends)

    anyio.run(scenario)


def test_a_first_part_is_sent_before_the_next():
    async def scenario():
        async with serving(app=answer_in_parts) as (address, _):
            host, _, port = address.rpartition(':')
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
                assert (await stream.receive()).endswith(b'\r\n\r\ntw')
                assert await stream.receive() == b'ig'

    anyio.run(scenario)


async def send_trailers(stream):
    await stream.send(
        b'POST / HTTP/1.1\r\nhost: a\r\n'
        b'transfer-encoding: chunked\r\n\r\n0\r\n',
    )
    for _ in range(10_000):
        await stream.send(b'x: a\r\n' * 100)
        await anyio.sleep(0)


def test_endless_trailers_close_the_connection_and_are_dropped():
    seen = []

    async def read_request(scope, receive, send):
        more = True
        while more:
            more = (await receive()).get('more_body', False)
        seen.extend(scope['headers'])

    async def scenario():
        async with serving(app=read_request) as (address, _):
            host, _, port = address.rpartition(':')
            async with await anyio.connect_tcp(host, int(port)) as stream:
                with pytest.raises(anyio.BrokenResourceError):
                    await send_trailers(stream)

    anyio.run(scenario)
    assert all(name != b'x' for name, _ in seen)


async def answer_after_a_while(scope, receive, send):
    await receive()
    await anyio.sleep(0.1)
    fields = [(b'connection', b'close')] if scope['path'] == '/last' else []
    await asgi.respond(send, 200, [(b'content-length', b'2'), *fields], b'oo')


GET = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'


@pytest.mark.parametrize(
    ('end', 'requests', 'unanswered'),
    [
        ('answered', GET * 2, []),
        ('client-close', GET * 2, [('client-close', 2)]),
        ('reset', GET, [('reset', 1)]),
        # The first answer says that it is the last.
        ('own-close', GET.replace(b'/', b'/last', 1) + GET, [('own-close', 1)]),
        # A request of which a part is missing hasn't come whole.
        ('client-close', GET[:-2], []),
    ],
)
def test_requests_that_a_closed_connection_left_unanswered_are_reported(
    end, requests, unanswered
):
    # Guards against connections that end with requests read and unanswered
    # of which no line and no metric tells.
    reported = []

    async def scenario():
        async with serving(
            BOUNDS._replace(idle_ms=5000),
            answer_after_a_while,
            lambda *told: reported.append(told),
        ) as (address, server):
            with raw.SlowReader(address) as client:
                await client.send(requests)
                await anyio.sleep(0.05)
                if end == 'reset':
                    client.reset()
                elif end != 'client-close':
                    await client.read_head()
                    await client.read(2)
                    await anyio.sleep(0.15)
            while server.server_state.connections:
                await anyio.sleep(0.01)

    anyio.run(scenario)
    assert reported == unanswered


async def answer_large_and_close(scope, receive, send):
    fields = [(b'content-length', b'%d' % LARGE), (b'connection', b'close')]
    await asgi.respond(send, 200, fields, b'o' * LARGE)


def test_bytes_after_the_last_request_do_not_cut_its_answer():
    # The close of a socket with unread input, or input that came after the
    # close, reset the connection while the answer was still on its way.
    async def scenario():
        bounds = BOUNDS._replace(answer_time_ms=5000)
        async with serving(bounds, answer_large_and_close) as (address, _):
            with raw.SlowReader(address) as client:
                await client.send(GET)
                await client.read_head()
                for _ in range(5):
                    await client.send(b'\r\n')
                    await anyio.sleep(0.02)
                assert await client.read(LARGE) == LARGE

    anyio.run(scenario)


EXPECTING = (
    b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n'
    b'expect: 100-continue\r\n\r\n'
)


def test_connection_closes_if_the_awaited_body_is_refused():
    # The client sent its next request in place of the body. It was read as the
    # body and got no answer.
    async def scenario():
        async with serving() as (address, _):
            answer = await raw.send_and_receive(address, EXPECTING)
            assert b'\r\nconnection: close' in answer
            assert b' 100 ' not in answer

    anyio.run(scenario)


def test_connection_is_kept_if_the_awaited_body_is_read():
    async def scenario():
        async with serving(app=answer_after_a_while) as (address, _):
            with raw.SlowReader(address) as client:
                await client.send(EXPECTING)
                assert b' 100 ' in await client.read_head()
                await client.send(b'x' * 50)
                assert b'connection' not in await client.read_head()

    anyio.run(scenario)


def test_answer_before_the_body_is_read_by_a_client_that_still_sends():
    # The connection was reset with the rest of the body unread, so that its
    # client got no answer.
    async def refuse(scope, receive, send):
        fields = [(b'content-length', b'2'), (b'connection', b'close')]
        await asgi.respond(send, 413, fields, b'no')

    async def scenario():
        async with serving(app=refuse) as (address, server):
            with raw.SlowReader(address) as client:
                await client.send(
                    b'POST / HTTP/1.1\r\nhost: a\r\n'
                    b'content-length: 9000000\r\n\r\n',
                )
                for _ in range(4):
                    await anyio.sleep(0.02)
                    await client.send(b'x' * 1_000_000)
                assert b' 413 ' in await client.read_head()
                assert await client.read(3) == 2
            while server.server_state.connections:
                await anyio.sleep(0.01)

    anyio.run(scenario)


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('second', [GET, EXPECTING + b'x' * 50])
def test_departure_is_seen_while_pipelined_requests_wait(is_reset, second):
    # The input was not read while another request waited, so the work for a
    # client that had gone went on, and the next request was passed on later.
    started = []
    reported = []

    async def answer_late(scope, receive, send):
        started.append(scope['path'])
        await anyio.sleep(0.8)
        await echo(scope, receive, send)

    async def scenario():
        bounds = BOUNDS._replace(idle_ms=5000)
        async with serving(
            bounds, answer_late, lambda *told: reported.append(told)
        ) as (address, server):
            with raw.SlowReader(address) as client:
                await client.send(GET)
                await anyio.sleep(0.03)
                await client.send(second)
                await anyio.sleep(0.03)
                if is_reset:
                    client.reset()
            with anyio.fail_after(0.45):
                while server.server_state.connections:
                    await anyio.sleep(0.01)
            await anyio.sleep(0.5)

    anyio.run(scenario)
    assert started == ['/']
    end = 'reset' if is_reset else 'client-close'
    assert reported == [(end, 2)]


def test_requests_behind_one_in_progress_are_not_parsed(monkeypatch):
    # Each parsed one takes a hundred times the memory of its bytes, and all of
    # a read were parsed at once.
    parsed = []
    begin = bounded_protocol.BoundedProtocol.on_message_begin

    def count(protocol):
        parsed.append(protocol)
        begin(protocol)

    monkeypatch.setattr(
        bounded_protocol.BoundedProtocol, 'on_message_begin', count
    )

    async def answer_never(scope, receive, send):
        await anyio.sleep_forever()

    async def scenario():
        bounds = BOUNDS._replace(idle_ms=5000)
        async with serving(bounds, answer_never) as (address, server):
            with raw.SlowReader(address) as client:
                await client.send(GET * 1000)
                await helper.wait_until(lambda: bool(parsed))
                await anyio.sleep(0.05)
                assert len(parsed) == 1
                assert len(server.server_state.tasks) == 1
            await helper.wait_until(lambda: not server.server_state.connections)

    anyio.run(scenario)


def test_departure_is_seen_after_a_large_body():
    # Its last part stopped the reading until the answer.
    async def answer_late(scope, receive, send):
        while (await receive()).get('more_body'):
            await anyio.sleep(0)
        await anyio.sleep(0.8)

    async def scenario():
        bounds = BOUNDS._replace(idle_ms=5000)
        async with serving(bounds, answer_late) as (address, server):
            with raw.SlowReader(address) as client:
                await client.send(
                    b'POST / HTTP/1.1\r\nhost: a\r\n'
                    b'content-length: 90000\r\n\r\n',
                )
                await anyio.sleep(0.03)
                await client.send(b'x' * 90000)
                await anyio.sleep(0.03)
            with anyio.fail_after(0.45):
                while server.server_state.connections:
                    await anyio.sleep(0.01)

    anyio.run(scenario)


@pytest.mark.parametrize('sent', [b'', b'GET / HTTP/1.1\r\nhost', GET])
def test_connection_that_waits_gives_way_to_a_new_one(sent):
    # Connections that only stay open kept all others out.
    async def scenario():
        bounds = BOUNDS._replace(idle_ms=9000, request_time_ms=9000)
        async with serving(bounds) as (address, server):
            async with contextlib.AsyncExitStack() as opened:
                for _ in range(BOUNDS.max_connections):
                    client = opened.enter_context(raw.SlowReader(address))
                    await client.send(sent)
                connections = server.server_state.connections
                await helper.wait_until(lambda: len(connections) == 3)
                assert refusal_of(await raw.send_and_receive(address)) == 503
                await anyio.sleep(1.1)
                last = GET.replace(b'host', b'connection: close\r\nhost')
                answer = await raw.send_and_receive(address, last)
                assert answer.startswith(b'HTTP/1.1 200')
                await helper.wait_until(lambda: len(connections) == 2)

    anyio.run(scenario)


def test_connections_far_above_the_limit_are_closed_at_once():
    # Those that were refused took descriptors until their clients had left.
    async def scenario():
        bounds = BOUNDS._replace(idle_ms=9000)
        async with serving(bounds) as (address, server):
            async with contextlib.AsyncExitStack() as opened:
                for _ in range(20):
                    opened.enter_context(raw.SlowReader(address))
                await helper.wait_until(
                    lambda: bool(server.server_state.connections)
                )
                await anyio.sleep(0.1)
                assert len(server.server_state.connections) == 4

    anyio.run(scenario)


def test_idle_connection_gives_way_and_a_request_in_progress_does_not():
    async def answer_whole(scope, receive, send):
        if scope['path'] == '/long':
            await anyio.sleep(2)
        await echo(scope, receive, send)

    async def scenario():
        bounds = BOUNDS._replace(
            idle_ms=9000, request_time_ms=9000, max_connections=2
        )
        last = GET.replace(b'host', b'connection: close\r\nhost')
        async with serving(bounds, answer_whole) as (address, server):
            with (
                raw.SlowReader(address) as long,
                raw.SlowReader(address) as idle,
            ):
                await long.send(GET.replace(b'/', b'/long', 1))
                await idle.send(GET)
                await idle.read_head()
                await anyio.sleep(1.2)
                answer = await raw.send_and_receive(address, last)
                assert answer.startswith(b'HTTP/1.1 200')
                assert (await long.read_head()).startswith(b'HTTP/1.1 200')
                assert await idle.read(3) == 2
            await helper.wait_until(lambda: not server.server_state.connections)

    anyio.run(scenario)


def test_body_is_not_parsed_while_its_client_reads_no_answer():
    # Up to 80 KB of each such body were kept, and counted nowhere.
    async def scenario():
        bounds = BOUNDS._replace(answer_time_ms=5000, idle_ms=5000)
        async with serving(bounds) as (address, server):
            with raw.SlowReader(address) as client:
                await client.send(GET_LARGE)
                await client.read_head()
                protocol = next(iter(server.server_state.connections))
                await client.send(
                    b'POST / HTTP/1.1\r\nhost: a\r\n'
                    b'content-length: 60000\r\n\r\n',
                )
                await client.send(b'x' * 60_000)
                await anyio.sleep(0.1)
                assert not protocol.cycle.body
                assert not server.server_state.tasks
                assert await client.read(LARGE) == LARGE
                assert (await client.read_head()).startswith(b'HTTP/1.1 200')

    anyio.run(scenario)
