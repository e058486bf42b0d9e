"""Ends of connections to callers, targets and peers that lost an answer."""

import asyncio

import anyio
import pytest

from oleanderstair.domain import events, messages
from oleanderstair.engine import asgi, exchanges, incoming, peers
from test import helper, raw, test_exchanges, test_listener
from test.test_isolated_nodes import free_address

CHUNKED = b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
UPGRADE = b'GET / HTTP/1.1\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n'
UPGRADES = 1200
LARGE = test_listener.LARGE
PATIENT = test_listener.BOUNDS._replace(
    idle_ms=5000, answer_time_ms=5000, request_time_ms=5000
)


async def answer_large(send, *more_fields):
    fields = [(b'content-length', str(LARGE).encode()), *more_fields]
    await asgi.respond(send, 200, fields, b'o' * LARGE)


async def read_body_then_answer(scope, receive, send):
    bounds = incoming.BodyBounds(1000, 300, 'in time')
    try:
        await incoming.read_body(receive, bounds)
    except asgi.Disconnected:
        return
    await anyio.sleep(0.1)
    await asgi.respond(send, 200, [(b'content-length', b'2')], b'oo')


# It stayed open for good, and held up the exit.
@pytest.mark.parametrize('body', [b'zz\r\n', b'2\r\nab\r\nzz\r\n'])
def test_connection_with_a_bad_body_behind_a_request_is_closed(body):
    async def scenario():
        serving = test_listener.serving(app=read_body_then_answer)
        async with serving as (address, server):
            with raw.SlowReader(address) as client:
                await client.send(test_listener.GET + CHUNKED + body)
                await anyio.sleep(0.05)
                assert server.server_state.connections
                await helper.wait_until(
                    lambda: not server.server_state.connections
                )

    anyio.run(scenario)


async def answer_large_then_late(scope, receive, send):
    if scope['path'] == '/large':
        await answer_large(send)
    else:
        await anyio.sleep(1)
        await asgi.respond(send, 200, [(b'content-length', b'2')], b'oo')


# The connection was reset as the end of the client's input was seen.
def test_answer_on_its_way_outlasts_a_half_close_behind_later_requests():
    async def scenario():
        serving = test_listener.serving(PATIENT, answer_large_then_late)
        async with serving as (address, _):
            with raw.SlowReader(address) as client:
                await client.send(test_listener.GET_LARGE)
                await client.read_head()
                for _ in range(2):
                    await client.send(test_listener.GET)
                    await anyio.sleep(0.1)
                client.close_sending()
                await anyio.sleep(0.4)
                assert await client.read(LARGE) == LARGE

    anyio.run(scenario)


async def answer_large_and_close(scope, receive, send):
    await answer_large(send, (b'connection', b'close'))


# The exit closed the socket, and input after that reset the connection.
def test_last_answer_on_its_way_outlasts_the_exit():
    async def scenario():
        serving = test_listener.serving(PATIENT, answer_large_and_close)
        async with serving as (address, server):
            with raw.SlowReader(address) as client:
                await client.send(test_listener.GET)
                await client.read_head()
                server.stop_within(5)
                await anyio.sleep(0.05)
                await client.send(b'\r\n')
                assert await client.read(LARGE) == LARGE

    anyio.run(scenario)


# The parser recursed, and the connection ended in the middle.
def test_many_requests_with_an_upgrade_in_one_piece_are_answered():
    answered = []

    async def app(scope, receive, send):
        answered.append(scope['path'])
        await asgi.respond(send, 200, [(b'content-length', b'0')], b'')

    async def scenario():
        async with test_listener.serving(PATIENT, app) as (address, _):
            with raw.SlowReader(address) as client:
                await client.send(UPGRADE * UPGRADES)
                await helper.wait_until(lambda: len(answered) == UPGRADES)

    anyio.run(scenario)


@pytest.mark.parametrize(
    ('first', 'answers'),
    [
        # Its client announced the close, whatever it sent behind it.
        (b'GET / HTTP/1.1\r\nconnection: close\r\n\r\n', 1),
        (test_listener.GET, 2),
        (b'%b2\r\nab\r\n0\r\n\r\n' % CHUNKED, 2),
    ],
)
def test_requests_sent_ahead_of_the_exit_are_answered(first, answers):
    async def scenario():
        serving = test_listener.serving(PATIENT, read_body_then_answer)
        async with serving as (address, server):
            with raw.SlowReader(address) as client:
                await client.send(first + test_listener.GET)
                await anyio.sleep(0.05)
                server.stop_within(5)
                answered = b''
                while head := await client.read_head():
                    answered += head
                    await client.read(2)
            assert answered.count(b'HTTP/1.1 200') == answers
            assert answered.endswith(b'connection: close\r\n\r\n')

    anyio.run(scenario)


# A request whose body comes across the exit is the last one.
def test_chunked_body_across_the_exit_is_answered_with_a_close():
    async def scenario():
        serving = test_listener.serving(PATIENT, read_body_then_answer)
        async with serving as (address, server):
            with raw.SlowReader(address) as client:
                await client.send(CHUNKED[:-2])
                await anyio.sleep(0.05)
                server.stop_within(5)
                await anyio.sleep(0.05)
                await client.send(b'\r\n2\r\nab\r\n0\r\n\r\n')
                head = await client.read_head()
                assert head.startswith(b'HTTP/1.1 200')
                assert b'connection: close' in head

    anyio.run(scenario)


class SurplusTarget(raw.RawTarget):
    """Sends surplus bytes, and the answer that is due in a later segment."""

    async def _answer_next(self, stream):
        if not self.replies:
            await anyio.sleep_forever()
        reply = self.replies[0]
        await super()._answer_next(stream)
        if not reply.startswith(b'HTTP'):
            await anyio.sleep(0.05)
            await stream.send(test_exchanges.WHOLE)


# The answer was broken, as its first byte seemed to come before it.
def test_surplus_that_ends_like_the_start_of_an_answer_is_skipped():
    async def scenario():
        target = SurplusTarget(test_exchanges.WHOLE, b'\x00\xffH', kept=True)
        async with raw.running(target):
            pool = exchanges.create()
            results = []
            destination = test_exchanges.destination_at(target)
            await pool.exchange(destination, test_exchanges.make_request())
            test_exchanges.begin_exchange(pool, target, results, 1000)
            await helper.wait_until(lambda: bool(results))
            assert results[0].verdict is events.Verdict.ANSWERED

    anyio.run(scenario)


# The answers took all room for 3 s, and those to other peers were dropped.
def test_answers_for_a_peer_that_is_gone_leave_room_for_others():
    async def scenario():
        link = peers.create('127.0.0.1', 0, 'a~1', peers.Keys())
        other = peers.create('127.0.0.1', 0, 'b~1', peers.Keys())
        answer = messages.KeyedAnswer(1, 'a~1', 'ran', '', 0)
        gone = free_address()
        for _ in range(64):
            assert link.send(gone, answer)
        await anyio.sleep(0.5)
        sent_bytes = link.send(other.address, answer)
        link.close()
        other.close()
        assert sent_bytes

    anyio.run(scenario)


async def forward_late(reader, writer):
    loop = asyncio.get_running_loop()
    while chunk := await reader.read(65536):
        loop.call_later(0.05, writer.write, chunk)
    writer.close()


# The connection was opened anew before its handshake could end.
def test_answer_waits_for_a_handshake_that_takes_long():
    async def scenario():
        link = peers.create('127.0.0.1', 0, 'a-1~1', peers.Keys())
        other = peers.create('127.0.0.1', 0, 'b-1~1', peers.Keys())

        async def serve(reader, writer):
            host, _, port = other.address.rpartition(':')
            far_reader, far_writer = await asyncio.open_connection(host, port)
            await asyncio.gather(
                forward_late(reader, far_writer),
                forward_late(far_reader, writer),
            )

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        link.send(
            f'127.0.0.1:{port}',
            messages.KeyedAnswer(1, 'a-1~1', 'ran', '', 0),
        )
        with anyio.fail_after(3.5):
            assert await other.receive()
        link.close()
        other.close()
        server.close()
        await anyio.sleep(0.2)

    anyio.run(scenario)
