"""Connections to targets that end in place of an answer.

What ends one that carried answers before is no answer, and is a sign of a
crash only if the target had received the request.
"""

import socket

import anyio
import pytest

from oleanderstair.domain import events, lost_connections
from oleanderstair.engine import exchanges
from test import helper, raw, test_answers, test_exchanges

CLOSED: raw.Reply = b''
NO_CONTENT = b'HTTP/1.1 204 No\r\n\r\n'
LATE_NO_CONTENT = b'HTTP/1.1 204 No\r\nid: 1\r\n\r\n'
PROCESSING = test_exchanges.PROCESSING
IDLE_MS = lost_connections.STALE_MIN_IDLE_MS * 2
SLOW_MS = lost_connections.STALE_RESET_MS * 2
EARLIER = {
    'an answer': test_exchanges.WHOLE,
    'an answer in chunks': test_exchanges.CHUNKED,
    'an answer without a body': NO_CONTENT,
    'an interim answer': PROCESSING + test_exchanges.WHOLE,
    'a refusal': test_exchanges.SHED,
}


class ClosingTarget(raw.RawTarget):
    """Closes a connection after its last reply, ``pause_ms`` after reading."""

    def __init__(self, *replies: raw.Reply, pause_ms: int = SLOW_MS) -> None:
        super().__init__(*replies, kept=True)
        self.pause_ms = pause_ms

    async def _answer_next(self, stream):
        is_last = len(self.replies) == 1
        if is_last:
            self.requests.append(await raw.read_request(stream))
            await anyio.sleep(self.pause_ms / 1000)
            await stream.send(self.replies.pop())
            raise anyio.EndOfStream
        await super()._answer_next(stream)


def end_after(earlier, last=CLOSED, *, idle_ms=0, pause_ms=SLOW_MS):
    """Return the result of the exchange that a target ends by a close.

    Also return the answers that the pool told of.
    """

    async def scenario():
        target = ClosingTarget(earlier, last, pause_ms=pause_ms)
        told = []
        with anyio.fail_after(10):
            async with raw.running(target):
                pool = exchanges.create(takes_unframed=True)
                pool.on_answer = lambda _, answer: told.append(answer)
                await pool.exchange(
                    test_exchanges.destination_at(target),
                    test_exchanges.make_request(),
                )
                told.clear()
                await anyio.sleep(idle_ms / 1000)
                result = await pool.exchange(
                    test_exchanges.destination_at(target),
                    test_exchanges.make_request(),
                )
                assert target.connections == 1
                assert not any(pool.idle_by_target.values())
        return result, told

    return anyio.run(scenario)


# Guards against an answer that nobody sent: the status of the one before, with
# no fields and no body, so that a crash was never counted.
@pytest.mark.parametrize('earlier', EARLIER)
def test_close_after_an_earlier_answer_is_a_crash_and_no_answer(earlier):
    result, told = end_after(EARLIER[earlier])
    assert not told
    assert result.answer is None
    assert result.verdict is events.Verdict.BROKEN
    assert result.unanswered
    assert result.crashed
    assert not result.stale


# Guards against an answer made of what was skipped before the close.
@pytest.mark.parametrize(
    'last',
    [PROCESSING, b'\x00\xff', b'HTT', b'HTTP/1.1 200 OK\r\n', b'\r\nHTTP/1.'],
)
def test_close_after_a_part_of_an_answer_is_a_crash(last):
    result, told = end_after(test_exchanges.WHOLE, last)
    assert not told
    assert result.answer is None
    assert result.crashed
    assert not result.unanswered


# Guards against a late answer to an earlier request, of which the close makes
# one to this request.
@pytest.mark.parametrize('late', [test_answers.answer(b'1'), LATE_NO_CONTENT])
def test_close_after_a_skipped_answer_is_a_crash(late):
    async def scenario():
        target = ClosingTarget(test_answers.answer(b'1'), late)
        async with raw.running(target):
            pool = exchanges.create(takes_unframed=True)
            for request_id in (b'1', b'2'):
                result = await pool.exchange(
                    test_exchanges.destination_at(target),
                    test_exchanges.make_request(),
                    test_answers.judge_for(request_id),
                )
            return result

    result = anyio.run(scenario)
    assert result.verdict is events.Verdict.BROKEN
    assert result.answer is None
    assert result.crashed


def test_unframed_answer_on_a_reused_connection_is_still_taken():
    body = b'HTTP/1.1 200 OK\r\n\r\ntwig'
    result, told = end_after(test_exchanges.WHOLE, body)
    assert result.verdict is events.Verdict.ANSWERED
    assert result.answer.body == b'twig'
    assert told == [result.answer]


# Guards against a request that is accused fleet-wide because idle connections
# of healthy targets were closed as it was written.
def test_close_at_the_idle_timeout_is_no_crash():
    result, _ = end_after(test_exchanges.WHOLE, idle_ms=IDLE_MS, pause_ms=0)
    assert result.verdict is events.Verdict.BROKEN
    assert result.stale
    assert not result.crashed


# The same for a connection that was in use a moment ago: its target closes it
# as it leaves, and has not received the request.
def test_close_in_a_race_with_the_request_is_no_crash():
    async def scenario():
        pool = exchanges.create(takes_unframed=True)
        results = []
        with socket.create_server(('127.0.0.1', 0)) as listening:
            target = raw.RawTarget()
            target.address = '127.0.0.1:%d' % listening.getsockname()[1]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    pool.exchange,
                    test_exchanges.destination_at(target),
                    test_exchanges.make_request(),
                )
                connected = await anyio.to_thread.run_sync(
                    answer_one, listening
                )
            # The event loop sees the close only after the request is written.
            connected.close()
            assert test_exchanges.begin_exchange(pool, target, results)
            await helper.wait_until(lambda: results)
        assert not pool.stale_idle_ms_by_target
        return results[0]

    result = anyio.run(scenario)
    assert result.verdict is events.Verdict.BROKEN
    assert result.unanswered
    assert result.stale
    assert not result.crashed


def answer_one(listening):
    """Answer one request; return its connection."""
    connected, _ = listening.accept()
    connected.recv(65536)
    connected.sendall(test_exchanges.WHOLE)
    return connected


# A target that reads the request and closes at once has received it.
def test_quick_close_after_a_recent_answer_is_a_crash():
    result, _ = end_after(test_exchanges.WHOLE, pause_ms=0)
    assert result.crashed
    assert not result.stale


# A target that closes each new connection is neither crashed by requests nor
# healthy.
@pytest.mark.parametrize(
    ('lost', 'is_stale', 'may_be_crash'),
    [
        (lost_connections.LostConnection(False, 0, 1), False, True),
        (lost_connections.LostConnection(False, 0, 1, True), False, False),
        (lost_connections.LostConnection(True, 0, 1), False, True),
        (lost_connections.LostConnection(True, 0, 1, True), True, False),
        (lost_connections.LostConnection(True, 200, 100), True, False),
        (lost_connections.LostConnection(True, 199, 100), False, True),
        (lost_connections.LostConnection(True, 200, 101), False, True),
    ],
)
def test_what_the_end_of_a_connection_says(lost, is_stale, may_be_crash):
    assert lost_connections.is_stale(lost) is is_stale
    assert lost_connections.may_be_crash(lost) is may_be_crash
