"""Buffered bytes over real sockets: slow callers, slow targets, full memory."""

import asyncio
import contextlib

import anyio
import httpcore
import msgspec
import pytest

from oleanderstair.domain import byte_budgets, events, outcomes
from oleanderstair.engine import (
    asgi,
    bounded_protocol,
    byte_ledger,
    exchanges,
    listener,
    pending,
    replies,
)
from test import helper, loopback_node, raw

LARGE = 8_000_000
MB = 1_000_000
SMALLEST_MB = 65
BOUNDS = bounded_protocol.ConnectionBounds(idle_ms=5000, answer_time_ms=5000)
GET_LARGE = b'GET /large HTTP/1.1\r\nhost: a\r\n\r\n'
POST = (
    b'POST /order/a HTTP/1.1\r\nhost: calls.example\r\nrequest-id: r-1\r\n'
    b'deadline-ms: 900\r\nconnection: close\r\n'
)


def create_ledger(memory_mb=SMALLEST_MB):
    return byte_ledger.create(byte_budgets.create_budget(memory_mb))


def large_limit(ledger):
    return ledger.budget.total_bytes - ledger.budget.reserve_bytes


async def send_large(scope, receive, send):
    fields = [(b'content-length', str(LARGE).encode())]
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': fields},
    )
    await send({'type': 'http.response.body', 'body': b'o' * LARGE})


@contextlib.asynccontextmanager
async def serving_large(ledger, bounds=BOUNDS):
    bound = listener.bind_socket('127.0.0.1', 0)
    server = listener.create_with_changing_bounds(
        send_large, lambda: bounds, ledger
    )
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, [bound])
            yield listener.address_of(bound)
            server.should_exit = True


def test_reader_that_stopped_is_cut_and_one_that_reads_is_not(monkeypatch):
    # Two answers of 8 MB wait and fill the memory. A call that doesn't fit
    # beside them must free that of the caller that reads nothing, and the
    # answer that is still being read must arrive whole.
    monkeypatch.setattr(byte_budgets, 'MIN_STOPPED_MS', 400)

    async def scenario():
        ledger = create_ledger(memory_mb=64 + 36)
        cut = []
        ledger.on_cut = cut.append
        async with serving_large(ledger) as address:
            with (
                raw.SlowReader(address) as reading,
                raw.SlowReader(address) as stopped,
            ):
                for client in (reading, stopped):
                    await client.send(GET_LARGE)
                    await client.read_head()
                assert len(ledger.unread_by_reader) == 2
                part = 65536
                for _ in range(24):
                    assert await reading.read(part) == part
                    await anyio.sleep(0.05)
                opened = ledger.open('other', 4 * MB, 0)
                assert isinstance(opened, byte_ledger.Holding)
                assert [reader.stopped_ms >= 400 for reader in cut] == [True]
                assert await stopped.read(LARGE) < LARGE
                rest = LARGE - 24 * part
                assert await reading.read(rest) == rest
                opened.release()
                await helper.wait_until(lambda: not ledger.used_bytes)

    anyio.run(scenario)


def test_reset_by_a_client_leaves_no_error_and_no_bytes():
    # The idle timeout of a connection goes on after its client has reset it,
    # when there is no socket to measure unread bytes of any more.
    async def scenario():
        ledger = create_ledger()
        errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        bounds = BOUNDS._replace(idle_ms=200)
        async with serving_large(ledger, bounds) as address:
            with raw.SlowReader(address) as client:
                await client.send(GET_LARGE)
                await client.read_head()
                await helper.wait_until(lambda: ledger.used_bytes)
                client.reset()
            await helper.wait_until(lambda: not ledger.used_bytes)
            await anyio.sleep(0.5)
        assert not errors

    anyio.run(scenario)


async def refuse_body(fields, *, chunk=b''):
    """Send a head and a chunk of a body; return the refusal and the calls."""
    async with loopback_node.run_ready_node(memory_mb=SMALLEST_MB) as running:
        changed = loopback_node.configuration(2)
        changed['limits'].update(max_body_bytes=64 * MB)
        running.store.put('op/config', changed)
        routes = running.node.runtime.state.routes
        await helper.wait_until(lambda: routes.in_force.number == 2)
        answer = await raw.send_and_receive(
            running.address, POST, fields, b'\r\n', chunk
        )
        ran = [target.ran for target in running.target_by_id.values()]
        assert not running.node.runtime.ledger.used_bytes
        return answer, any(ran)


def assert_refused(answer, ran):
    head, _, body = answer.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 503')
    refusal = msgspec.json.decode(body, type=replies.Refusal)
    assert refusal['outcome'] == 'not-run'
    assert refusal['retry_after_ms'] > 0
    assert not ran


def test_body_that_does_not_fit_is_refused_before_it_is_read():
    # A body of 64 MB kills an instance of 152 MB. Its declared length is
    # enough to refuse it; no byte of it is sent here.
    assert_refused(
        *anyio.run(refuse_body, b'content-length: %d\r\n' % (8 * MB))
    )


def test_body_of_unknown_length_is_refused_once_it_does_not_fit():
    # Without a declared length, the bytes that arrive are counted.
    async def scenario():
        chunk = b'%x\r\n%b\r\n' % (8 * MB, b'o' * (8 * MB))
        return await refuse_body(b'transfer-encoding: chunked\r\n', chunk=chunk)

    assert_refused(*anyio.run(scenario))


def test_full_memory_refuses_large_calls_and_serves_small_ones():
    # Slow downloads have filled the memory: an urgent call is served, a large
    # body and a download that is known to be large are refused at once.
    async def scenario():
        async with loopback_node.run_ready_node(
            memory_mb=SMALLEST_MB
        ) as running:
            ledger = running.node.runtime.ledger
            ledger.add('slow downloads', large_limit(ledger))
            served = await loopback_node.send_request(running.address)
            assert served.status == 200
            refused = await loopback_node.send_request(
                running.address, '/order/one', 'POST', b'o' * 50_000
            )
            assert refused.status == 503
            metrics_page = await read_metrics(running)
            assert 'oleanderstair_memory_refused_total 1\n' in metrics_page
            assert 'oleanderstair_buffered_bytes 7' in metrics_page
            ledger.release('slow downloads', large_limit(ledger))
            assert not ledger.used_bytes

    anyio.run(scenario)


async def read_metrics(running):
    async with httpcore.AsyncConnectionPool() as pool:
        url = f'http://{running.metrics_listener}/metrics'
        return (await pool.request('GET', url)).content.decode()


def test_next_call_waits_until_the_caller_reads():
    # A caller that sends on and reads nothing would have every answer kept
    # here. Its second call isn't run until it has read the first answer.
    async def scenario():
        async with loopback_node.run_ready_node(memory_mb=256) as running:
            started = []
            sizes = iter((LARGE, 2))

            async def answer(received, request, holding):
                started.append(received.request_id)
                body = b'o' * next(sizes)
                return pending.Reply(
                    outcomes.Outcome.RAN,
                    answer=exchanges.Answer(200, [], body),
                )

            running.node.runtime.run_call = answer
            with raw.SlowReader(running.address) as client:
                for request_id in (b'r-1', b'r-2'):
                    head = POST.replace(b'r-1', request_id)
                    head = head.replace(b'connection: close\r\n', b'')
                    await client.send(head)
                    await client.send(b'content-length: 0\r\n\r\n')
                await client.read_head()
                await anyio.sleep(0.3)
                assert started == ['r-1']
                assert await client.read(LARGE) == LARGE
                await helper.wait_until(lambda: len(started) == 2)

    anyio.run(scenario)


LATE_READ = (
    b'GET /lookup/a HTTP/1.1\r\nhost: calls.example\r\nrequest-id: r-1\r\n'
    b'deadline-ms: 3000\r\n\r\n'
)


@contextlib.asynccontextmanager
async def running_large(answer_time_ms, memory_mb=256):
    """Run a node whose calls all get an answer of 8 MB."""
    body = b'o' * LARGE

    async def answer(received, request, holding):
        return pending.Reply(
            outcomes.Outcome.RAN, answer=exchanges.Answer(200, [], body)
        )

    async with loopback_node.run_ready_node(memory_mb=memory_mb) as running:
        running.node.runtime.run_call = answer
        running.node.node_settings = msgspec.structs.replace(
            running.node.node_settings,
            callers=msgspec.structs.replace(
                running.node.node_settings.callers,
                answer_time_ms=answer_time_ms,
            ),
        )
        yield running


def test_caller_that_reads_late_but_in_time_gets_its_answer(monkeypatch):
    # A caller that paused for 12 s of its 17 s lost the part of its answer that
    # was not in the kernel yet. Here it pauses for 1 of 3 s, with a time for
    # unread answers of 0.4 s in place of 10 s.
    async def scenario():
        async with running_large(answer_time_ms=400) as running:
            with raw.SlowReader(running.address) as client:
                await client.send(LATE_READ)
                await client.read_head()
                await anyio.sleep(1)
                assert await client.read(LARGE) == LARGE

    anyio.run(scenario)


def test_new_call_is_refused_before_a_caller_that_reads_late_is_cut(
    monkeypatch,
):
    # With memory full, callers that paused for 1.5 s lost answers that their
    # targets had run, in favour of calls that could still be refused.
    monkeypatch.setattr(byte_budgets, 'MIN_STOPPED_MS', 100)

    async def scenario():
        async with running_large(5000, memory_mb=64 + 36) as running:
            ledger = running.node.runtime.ledger
            with raw.SlowReader(running.address) as client:
                await client.send(LATE_READ)
                await client.read_head()
                # Reading is checked twice a second.
                await anyio.sleep(0.8)
                opened = ledger.open('other', LARGE, 0)
                assert isinstance(opened, byte_ledger.Refusal)
                assert await client.read(LARGE) == LARGE
                await helper.wait_until(lambda: not ledger.used_bytes)

    anyio.run(scenario)


def test_caller_that_reads_nothing_until_its_deadline_is_cut():
    # Its answer must not stay in memory for as long as it keeps connected.
    async def scenario():
        async with running_large(answer_time_ms=400) as running:
            with raw.SlowReader(running.address) as client:
                await client.send(LATE_READ.replace(b'3000', b'500'))
                await client.read_head()
                ledger = running.node.runtime.ledger
                await helper.wait_until(lambda: not ledger.used_bytes)
                assert await client.read(LARGE) < LARGE

    anyio.run(scenario)


def request_of(body=b''):
    fields = [(b'host', b'a'), (b'content-length', str(len(body)).encode())]
    return exchanges.Request(b'POST', b'/order', fields, body)


def destination_of(address, holding, silence_ms=2000):
    return exchanges.Destination(
        'burza-01', address, False, silence_ms, 0, holding
    )


def answer_of(size):
    head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % size
    return head + b'o' * size


def test_answer_is_read_on_once_there_is_memory():
    # The rest of an answer that doesn't fit stays with its target. It must
    # arrive whole when a slow caller has made room.
    async def scenario():
        ledger = create_ledger()
        ledger.add('slow caller', large_limit(ledger))
        holding = byte_ledger.Holding(ledger, 'caller')
        found = []

        async def exchange(address):
            destination = destination_of(address, holding)
            pool = exchanges.create()
            found.append(await pool.exchange(destination, request_of()))

        async with (
            raw.running(raw.RawTarget(answer_of(MB))) as target,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(exchange, target.address)
            await helper.wait_until(lambda: ledger.waiting_answers)
            assert not found
            ledger.release('slow caller', large_limit(ledger))
            await helper.wait_until(lambda: found)
        assert len(found[0].answer.body) == MB
        assert holding.answer_bytes == MB
        holding.release()
        assert not ledger.used_bytes

    anyio.run(scenario)


def test_target_is_not_blamed_for_an_answer_that_was_not_read():
    # An instance without memory must not eject healthy targets.
    async def scenario():
        ledger = create_ledger()
        ledger.add('slow caller', large_limit(ledger))
        pool = exchanges.create()
        async with raw.running(raw.RawTarget(answer_of(MB))) as target:
            holding = byte_ledger.Holding(ledger, 'caller')
            result = await pool.exchange(
                destination_of(target.address, holding, 200), request_of()
            )
            assert result.verdict is events.Verdict.BROKEN
            assert result.memory_short
            assert not result.crashed
            assert not ledger.waiting_answers

    anyio.run(scenario)


def test_target_that_reads_slowly_gets_no_second_large_body():
    # A target that doesn't read holds one body in this instance, and others
    # go elsewhere: they have not been sent.
    async def scenario():
        ledger = create_ledger()
        pool = exchanges.create()
        pool.ledger = ledger
        body = b'o' * ledger.budget.target_bytes
        verdicts = []
        # Connections that nobody accepts are opened and not read.
        with listener.bind_socket('127.0.0.1', 0) as unread:
            address = listener.address_of(unread)

            async def exchange():
                result = await pool.exchange(
                    destination_of(address, None, 300), request_of(body)
                )
                verdicts.append((result.verdict, result.memory_short))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(exchange)
                tasks.start_soon(exchange)
        assert verdicts[0] == (events.Verdict.NOT_SENT, True)
        assert verdicts[1][0] is events.Verdict.SILENT
        assert not ledger.sent_by_target
        assert not pool.in_use_by_target

    anyio.run(scenario)


HEAD = b'GET / HTTP/1.1\r\nhost: a\r\n'
SHORT_LINES = b'a:\r\n' * 4000


@contextlib.asynccontextmanager
async def serving_small(ledger, on_strike=None):
    async def answer(scope, receive, send):
        await asgi.respond(send, 200, [(b'content-length', b'2')], b'oo')

    bound = listener.bind_socket('127.0.0.1', 0)
    server = listener.create_with_changing_bounds(
        answer, lambda: BOUNDS, ledger, on_strike=on_strike
    )
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, [bound])
            yield listener.address_of(bound)
            server.should_exit = True


def test_head_that_does_not_fit_is_refused_before_its_fields_are_parsed():
    async def scenario():
        ledger = create_ledger()
        ledger.add('other', large_limit(ledger))
        strikes = []
        async with serving_small(ledger, strikes.append) as address:
            answer = await raw.send_and_receive(address, HEAD, SHORT_LINES)
            assert [strike.limit.value for strike in strikes] == ['memory']
            assert strikes[0].held_bytes >= 640_000
            assert strikes[0].client.startswith('127.0.0.1:')
            assert_refused(answer, ran=False)
            assert b'connection: close' in answer
            small = HEAD.replace(b'host', b'connection: close\r\nhost')
            answer = await raw.send_and_receive(address, small, b'\r\n')
            assert answer.startswith(b'HTTP/1.1 200')

    anyio.run(scenario)


def test_unfinished_head_is_refused_for_a_small_call():
    # Its client could keep the memory until the timeout of the head.
    async def scenario():
        ledger = create_ledger()
        async with serving_small(ledger) as address:
            with raw.SlowReader(address) as client:
                await client.send(HEAD + SHORT_LINES)
                await helper.wait_until(lambda: ledger.used_bytes > 600_000)
                ledger.add('other', ledger.budget.total_bytes)
                opened = ledger.open('caller', 2000, 400)
                assert isinstance(opened, byte_ledger.Refusal)
                assert ledger.unfinished
                ledger.release('other', 500_000)
                # A search that was in vain isn't repeated at once.
                await anyio.sleep(0.15)
                opened = ledger.open('caller', 2000, 400)
                assert isinstance(opened, byte_ledger.Holding)
                head = await client.read_head()
                assert head.startswith(b'HTTP/1.1 503')
                assert b'retry-after' in head
            opened.release()
            assert ledger.used_bytes == ledger.budget.total_bytes - 500_000

    anyio.run(scenario)


def test_request_that_is_answered_keeps_nothing():
    async def scenario():
        ledger = create_ledger()
        async with serving_small(ledger) as address:
            with raw.SlowReader(address) as client:
                await client.send(b'%b%b\r\n' % (HEAD, SHORT_LINES))
                assert (await client.read_head()).startswith(b'HTTP/1.1 200')
                await helper.wait_until(lambda: not ledger.used_bytes)
                await client.send(b'GET / HTTP/1.1\r\nhost')
                await helper.wait_until(lambda: ledger.used_bytes > 0)
            await helper.wait_until(lambda: not ledger.used_bytes)
        assert not ledger.unfinished

    anyio.run(scenario)


@pytest.mark.parametrize(
    'framing',
    [
        b'content-length: 90000\r\n\r\n',
        b'transfer-encoding: chunked\r\n\r\nffff\r\n',
    ],
)
def test_unfinished_body_is_refused_for_a_small_call(framing):
    # The bodies that had come but for their end kept all others out.
    async def scenario():
        async with loopback_node.run_ready_node(memory_mb=SMALLEST_MB) as node:
            ledger = node.node.runtime.ledger
            with raw.SlowReader(node.address) as client:
                await client.send(
                    POST.replace(b'connection: close\r\n', b'') + framing
                )
                await client.send(b'x' * 50_000)
                await helper.wait_until(lambda: ledger.used_bytes >= 50_000)
                free_bytes = ledger.budget.total_bytes - ledger.used_bytes
                ledger.add('other', free_bytes)
                answer = await loopback_node.send_request(node.address)
                assert answer.status == 200
                head = await client.read_head()
                assert head.startswith(b'HTTP/1.1 503')
                assert b'retry-after' in head
                assert b'connection: close' in head
            await helper.wait_until(lambda: ledger.used_bytes == free_bytes)
            assert node.single_run().method == 'GET'

    anyio.run(scenario)
