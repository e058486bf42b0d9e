"""Answers on reused connections: which request they belong to, where they end.

Also covers which connections an exchange reuses or closes.
"""

import itertools

import anyio
import pytest

from oleanderstair.domain import events
from oleanderstair.engine import exchanges, headers
from test import raw

CLOSED = b'HTTP/1.1 200 OK\r\nid: 1\r\n\r\ntwig'


def answer(request_id, body=b'twig', more=b''):
    return b'HTTP/1.1 200 OK\r\nid: %b\r\n%bcontent-length: %d\r\n\r\n%b' % (
        request_id,
        more,
        len(body),
        body,
    )


def judge_for(request_id):
    def judge(answer_read):
        answered = headers.find_field(answer_read.headers, b'id')
        if answered == request_id:
            return events.Verdict.ANSWERED
        return None if answered else events.Verdict.BROKEN

    return judge


def exchange_all(*replies, kept=True, fresh=False, pause_ms=0, **limits):
    """Do one exchange per reply; return the results and the target."""

    async def scenario():
        results = []
        with anyio.fail_after(10):
            async with raw.running(
                raw.RawTarget(*replies, kept=kept)
            ) as target:
                pool = exchanges.create(takes_unframed=True, **limits)
                destination = exchanges.Destination(
                    't', target.address, fresh, 300
                )
                for number, _ in enumerate(replies, start=1):
                    request_id = str(number).encode()
                    request = exchanges.Request(
                        b'GET', b'/', [(b'id', request_id)], b''
                    )
                    result = await pool.exchange(
                        destination, request, judge_for(request_id)
                    )
                    results.append(result)
                    await anyio.sleep(pause_ms / 1000)
                return results, target

    return anyio.run(scenario)


def bodies_of(results):
    return [result.answer and result.answer.body for result in results]


def test_late_answer_to_an_earlier_request_is_skipped():
    late = answer(b'1', b'wrong') + answer(b'2', b'right')
    results, target = exchange_all(answer(b'1'), late)
    assert bodies_of(results) == [b'twig', b'right']
    assert target.connections == 1


# Guards against a refusal that a faulty target writes once more, and that is
# taken for the answer to a request which runs.
def test_copy_of_an_earlier_refusal_is_skipped():
    refusal = answer(b'1', b'', b'retry-after: 1\r\nnot-executed: 1\r\n')
    refusal = refusal.replace(b'200 OK', b'503 Busy')
    copied = refusal + answer(b'2', b'right')
    results, target = exchange_all(refusal, copied)
    assert [result.answer.status for result in results] == [503, 200]
    assert target.connections == 1


# Guards against a 200 with an empty body where the head was not complete.
@pytest.mark.parametrize('length', range(1, len(CLOSED) - len(b'twig')))
def test_answer_that_ends_in_its_head_is_broken(length):
    results = exchange_all(CLOSED[:length], kept=False)[0]
    assert results[0].verdict is events.Verdict.BROKEN
    assert results[0].answer is None


def test_bytes_after_an_answer_close_its_connection():
    extra = answer(b'1') + answer(b'1')
    results, target = exchange_all(extra, answer(b'2'))
    assert bodies_of(results) == [b'twig', b'twig']
    assert target.connections == 2


def test_answer_without_a_request_id_is_broken():
    results, _ = exchange_all(answer(b''))
    assert results[0].verdict is events.Verdict.BROKEN


def test_answer_that_ends_with_its_connection_is_complete():
    results, _ = exchange_all(CLOSED, kept=False)
    assert bodies_of(results) == [b'twig']


def test_answer_to_another_request_that_ends_with_its_connection_is_broken():
    results, _ = exchange_all(answer(b'1'), CLOSED, kept=False)
    assert results[1].verdict is events.Verdict.BROKEN


@pytest.mark.parametrize(
    ('more', 'connections'),
    [
        (b'', 1),
        (b'keep-alive: timeout=5\r\n', 1),
        (b'keep-alive: timeout=0\r\n', 2),
        (b'connection: close\r\n', 2),
    ],
)
def test_connection_is_kept_unless_the_target_closes_it(more, connections):
    _, target = exchange_all(answer(b'1', more=more), answer(b'2'))
    assert target.connections == connections


@pytest.mark.parametrize(
    ('proof_ms', 'pause_ms', 'connections'),
    [(5000, 0, 1), (20, 60, 2), (0, 0, 2)],
)
def test_fresh_exchange_reuses_only_a_recently_used_connection(
    proof_ms,
    pause_ms,
    connections,
):
    results, target = exchange_all(
        answer(b'1'),
        answer(b'2'),
        fresh=True,
        pause_ms=pause_ms,
        proof_ms=proof_ms,
    )
    assert bodies_of(results) == [b'twig', b'twig']
    assert target.connections == connections


def test_timeout_on_a_reused_connection_closes_the_idle_ones():
    async def scenario():
        script = raw.RawTarget(answer(b'1'), answer(b'1'), None, kept=True)
        async with raw.running(script) as target:
            pool = exchanges.create()
            destination = exchanges.Destination('t', target.address, False, 100)
            request = exchanges.Request(b'GET', b'/', [], b'')
            async with anyio.create_task_group() as tasks:
                for _ in range(2):
                    tasks.start_soon(pool.exchange, destination, request)
            assert len(pool.idle_by_target['t']) == 2
            result = await pool.exchange(destination, request)
            assert result.verdict is events.Verdict.SILENT
            assert not pool.idle_by_target.get('t')

    anyio.run(scenario)


def test_open_and_idle_connections_stay_within_the_limit():
    async def scenario():
        script = raw.RawTarget(*itertools.repeat(answer(b'1'), 9), kept=True)
        async with raw.running(script) as target:
            pool = exchanges.create()
            pool.max_open_per_target = 2
            destination = exchanges.Destination('t', target.address, False, 300)
            request = exchanges.Request(b'GET', b'/', [], b'')
            async with anyio.create_task_group() as tasks:
                for _ in range(2):
                    tasks.start_soon(pool.exchange, destination, request)
            assert len(pool.idle_by_target['t']) == 2
            fresh = destination._replace(fresh=True)
            result = await pool.exchange(fresh, request)
            assert result.verdict is events.Verdict.ANSWERED
            assert len(pool.idle_by_target['t']) == 2
            assert target.connections == 3

    anyio.run(scenario)


def test_cancelled_exchange_keeps_the_other_idle_connections():
    async def scenario():
        script = raw.RawTarget(answer(b'1'), answer(b'1'), None, kept=True)
        async with raw.running(script) as target:
            pool = exchanges.create()
            destination = exchanges.Destination(
                't', target.address, False, 5000
            )
            request = exchanges.Request(b'GET', b'/', [], b'')
            async with anyio.create_task_group() as tasks:
                for _ in range(2):
                    tasks.start_soon(pool.exchange, destination, request)
            with anyio.move_on_after(0.05):
                await pool.exchange(destination, request)
            assert len(pool.idle_by_target['t']) == 1

    anyio.run(scenario)


@pytest.mark.parametrize(
    ('text', 'expected_ms'),
    [
        (b'2', 2000),
        (b'0.25', 250),
        (b'soon', None),
        (b'', None),
        (b'-1', None),
        (b'1e9', None),
        (b'nan', None),
        (b'1.5.2', None),
        (b'99999999999', None),
        (b'Fri, 04 Dec 2026 10:00:00 GMT', None),
    ],
)
def test_durations_are_whole_or_decimal_seconds(text, expected_ms):
    assert headers.parse_duration_ms(text) == expected_ms


# Such an answer was taken for an interim one, so its call waited for another
# until its timeout.
@pytest.mark.parametrize('status', [b'000', b'001', b'099', b'600', b'999'])
def test_answer_with_an_undefined_status_is_broken_at_once(status):
    undefined = answer(b'1').replace(b'200', status)
    results, _ = exchange_all(undefined)
    assert results[0].verdict is events.Verdict.BROKEN
    assert results[0].cause == 'status code out of range'
    assert results[0].answer is None


def test_answer_after_one_of_status_000_is_not_taken():
    undefined = answer(b'1', b'').replace(b'200', b'000')
    results, target = exchange_all(undefined + answer(b'1'), answer(b'2'))
    assert [result.verdict for result in results] == [
        events.Verdict.BROKEN,
        events.Verdict.ANSWERED,
    ]
    assert target.connections == 2
