"""Exchanges with targets that answer completely, partially or not at all."""

import itertools

import anyio
import pytest

from oleanderstair.domain import events
from oleanderstair.engine import exchanges, headers
from test import raw

WHOLE = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntwig'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    b'4\r\ntwig\r\n0\r\n\r\n'
)
PROCESSING = b'HTTP/1.1 102 P\r\n\r\n'
SHED = (
    b'HTTP/1.1 503 Full\r\ncall-outcome: not-run\r\nretry-after: 2\r\n'
    b'content-length: 0\r\n\r\n'
)


def make_request(method=b'GET', body=b''):
    fields = headers.build_target_fields([], 'burza', 0, 100)
    if body:
        fields.append((b'content-length', str(len(body)).encode()))
    return exchanges.Request(method, b'/listings', fields, body)


def destination_at(target, fresh=False, silence_ms=500):
    return exchanges.Destination('burza-01', target.address, fresh, silence_ms)


def exchange_once(*replies, method=b'GET', **limits):
    async def scenario():
        with anyio.fail_after(10):
            async with raw.running(raw.RawTarget(*replies)) as target:
                pool = exchanges.create(**limits)
                result = await pool.exchange(
                    destination_at(target),
                    make_request(method),
                )
                assert not pool.in_use_by_target
                return result

    return anyio.run(scenario)


@pytest.mark.parametrize(
    ('reply', 'verdict', 'crashed'),
    [
        (WHOLE, events.Verdict.ANSWERED, False),
        (CHUNKED, events.Verdict.ANSWERED, False),
        (PROCESSING + WHOLE, events.Verdict.ANSWERED, False),
        (SHED, events.Verdict.SHED, False),
        (SHED.replace(b'503', b'500'), events.Verdict.ANSWERED, False),
        (WHOLE[:-1], events.Verdict.BROKEN, True),
        (CHUNKED[:-5], events.Verdict.BROKEN, True),
        (WHOLE[:20], events.Verdict.BROKEN, True),
        (b'', events.Verdict.BROKEN, True),
        (raw.RESET, events.Verdict.BROKEN, True),
        (b'no http at all\r\n\r\n', events.Verdict.BROKEN, True),
        (WHOLE.replace(b'200', b'777'), events.Verdict.BROKEN, False),
        (b'HTTP/1.1 101 S\r\n\r\n', events.Verdict.BROKEN, None),
        (b'HTTP/1.1 200 OK\r\n\r\ntwig', events.Verdict.BROKEN, False),
        (
            b'HTTP/1.1 200 OK\r\nx: a\x01b\r\ncontent-length: 0\r\n\r\n',
            events.Verdict.BROKEN,
            False,
        ),
        (None, events.Verdict.SILENT, False),
    ],
)
def test_only_a_complete_answer_is_accepted(reply, verdict, crashed):
    result = exchange_once(reply)
    assert result.verdict is verdict
    assert crashed is None or result.crashed is crashed
    assert (result.answer is None) is (
        verdict not in {events.Verdict.ANSWERED, events.Verdict.SHED}
    )


def test_answer_above_the_limit_is_broken():
    result = exchange_once(WHOLE, max_answer_bytes=3)
    assert result.verdict is events.Verdict.BROKEN


def test_head_has_a_length_and_no_body():
    head = exchange_once(WHOLE[:-4], method=b'HEAD')
    assert head.verdict is events.Verdict.ANSWERED
    assert head.answer.body == b''


def test_connection_is_kept_only_after_a_complete_answer():
    async def scenario():
        script = raw.RawTarget(WHOLE, WHOLE, None, WHOLE, WHOLE, kept=True)
        async with raw.running(script) as target:
            pool = exchanges.create()
            verdicts = []
            for _ in range(4):
                result = await pool.exchange(
                    destination_at(target, silence_ms=100),
                    make_request(),
                )
                verdicts.append(result.verdict)
            assert verdicts[2] is events.Verdict.SILENT
            assert verdicts.count(events.Verdict.ANSWERED) == 3
            assert target.connections == 2
            await pool.exchange(
                destination_at(target, fresh=True), make_request()
            )
            assert target.connections == 3

    anyio.run(scenario)


@pytest.mark.parametrize(
    ('keep_alive', 'timeout_ms'),
    [
        (b'', exchanges.DEFAULT_IDLE_TIMEOUT_MS),
        (b'keep-alive: timeout=10\r\n', 9500),
        (b'keep-alive: timeout=2\r\n', 1500),
    ],
)
def test_idle_timeout_follows_the_keep_alive_of_the_target(
    keep_alive, timeout_ms
):
    async def scenario():
        reply = WHOLE.replace(
            b'content-length', b'%bcontent-length' % keep_alive
        )
        async with raw.running(raw.RawTarget(reply, kept=True)) as target:
            pool = exchanges.create()
            await pool.exchange(destination_at(target), make_request())
            idle_timeouts_ms = [
                idle.timeout_ms for idle in pool.idle_by_target['burza-01']
            ]
            assert idle_timeouts_ms == [timeout_ms]
            pool.close_idle('burza-01')

    anyio.run(scenario)


def test_cancelled_exchange_closes_its_connection():
    async def scenario():
        async with raw.running(raw.RawTarget(None, WHOLE)) as target:
            pool = exchanges.create()
            with anyio.move_on_after(0.05):
                await pool.exchange(destination_at(target), make_request())
            assert not pool.in_use_by_target
            assert not any(pool.idle_by_target.values())
            result = await pool.exchange(destination_at(target), make_request())
            assert result.verdict is events.Verdict.ANSWERED
            assert target.closed == 1

    anyio.run(scenario)


def test_reset_of_a_reused_connection_is_broken_not_unsent():
    async def scenario():
        script = raw.RawTarget(WHOLE, raw.RESET, kept=True)
        async with raw.running(script) as target:
            pool = exchanges.create()
            await pool.exchange(destination_at(target), make_request())
            target.kept = False
            result = await pool.exchange(destination_at(target), make_request())
            assert result.verdict is events.Verdict.BROKEN
            assert target.connections == 1

    anyio.run(scenario)


def test_refused_connection_and_full_pool_are_not_sent():
    async def scenario():
        target = raw.RawTarget(
            *itertools.repeat(None, exchanges.MAX_OPEN_PER_TARGET)
        )
        pool = exchanges.create()
        async with raw.running(target):
            async with anyio.create_task_group() as tasks:
                for _ in range(exchanges.MAX_OPEN_PER_TARGET):
                    tasks.start_soon(
                        pool.exchange,
                        destination_at(target, silence_ms=10_000),
                        make_request(),
                    )
                while len(target.requests) < exchanges.MAX_OPEN_PER_TARGET:
                    await anyio.sleep(0.01)
                above = await pool.exchange(
                    destination_at(target), make_request()
                )
                tasks.cancel_scope.cancel()
            assert above.verdict is events.Verdict.NOT_SENT
            assert target.connections == exchanges.MAX_OPEN_PER_TARGET
        refused = await pool.exchange(destination_at(target), make_request())
        assert refused.verdict is events.Verdict.NOT_SENT
        assert not refused.crashed

    anyio.run(scenario)


def begin_exchange(pool, target, results, silence_ms=100):
    return pool.begin_on_idle_connection(
        destination_at(target, silence_ms=silence_ms),
        make_request(),
        exchanges.verdict_of,
        results.append,
    )


# Guards against an order that fails, though its target runs it, by bytes that
# the target sent after an earlier answer.
@pytest.mark.parametrize(
    'late', [b'\x00\xff\r\n\r\n', b'surplus HTTP', b'HTT', WHOLE[-4:] * 99]
)
def test_bytes_before_an_answer_on_a_reused_connection_are_skipped(late):
    async def scenario():
        script = raw.RawTarget(WHOLE, late + WHOLE, None, kept=True)
        async with raw.running(script) as target:
            pool = exchanges.create()
            results = []
            await pool.exchange(destination_at(target), make_request())
            assert begin_exchange(pool, target, results)
            await anyio.sleep(0.2)
            assert results[0].verdict is events.Verdict.ANSWERED
            assert results[0].answer.body == b'twig'
            assert not any(pool.idle_by_target.values())

    anyio.run(scenario)


def test_exchange_on_an_idle_connection_needs_no_task():
    async def scenario():
        script = raw.RawTarget(WHOLE, WHOLE, None, kept=True)
        async with raw.running(script) as target:
            pool = exchanges.create()
            results = []
            assert not begin_exchange(pool, target, results)
            assert not target.requests
            await pool.exchange(destination_at(target), make_request())
            for expected in (events.Verdict.ANSWERED, events.Verdict.SILENT):
                assert begin_exchange(pool, target, results)
                # The only connection is in use.
                assert not begin_exchange(pool, target, results)
                await anyio.sleep(0.2)
                assert results.pop().verdict is expected
                assert not results
            assert not pool.in_use_by_target
            assert not any(pool.idle_by_target.values())
            assert target.connections == 1

    anyio.run(scenario)


def test_reset_during_an_exchange_without_a_task_is_broken():
    async def scenario():
        script = raw.RawTarget(WHOLE, raw.RESET, kept=True)
        async with raw.running(script) as target:
            pool = exchanges.create()
            await pool.exchange(destination_at(target), make_request())
            target.kept = False
            results = []
            assert begin_exchange(pool, target, results)
            await anyio.sleep(0.1)
            assert [result.verdict for result in results] == [
                events.Verdict.BROKEN,
            ]
            assert not pool.in_use_by_target

    anyio.run(scenario)


def test_cancelled_exchange_without_a_task_ends_once_and_closes():
    async def scenario():
        script = raw.RawTarget(WHOLE, None, kept=True)
        async with raw.running(script) as target:
            pool = exchanges.create()
            await pool.exchange(destination_at(target), make_request())
            results = []
            cancel = begin_exchange(pool, target, results)
            cancel()
            cancel()
            assert not results
            await anyio.sleep(0.2)
            assert [result.verdict for result in results] == [
                events.Verdict.CANCELLED,
            ]
            assert not pool.in_use_by_target
            assert not any(pool.idle_by_target.values())

    anyio.run(scenario)


def test_late_cancel_does_not_affect_the_next_exchange():
    async def scenario():
        script = raw.RawTarget(WHOLE, WHOLE, WHOLE, kept=True)
        async with raw.running(script) as target:
            pool = exchanges.create()
            await pool.exchange(destination_at(target), make_request())
            results = []
            cancel = begin_exchange(pool, target, results)
            while not results:
                await anyio.sleep(0.01)
            assert begin_exchange(pool, target, results)
            cancel()
            await anyio.sleep(0.1)
            assert [result.verdict for result in results] == [
                events.Verdict.ANSWERED,
                events.Verdict.ANSWERED,
            ]

    anyio.run(scenario)
