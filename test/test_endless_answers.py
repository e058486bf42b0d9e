"""Answers that never end: endless heads, bodies, chunks, trailers, interims.

Each must fail its exchange early and with bounded memory.
"""

import itertools
import tracemalloc

import anyio
import pytest

from oleanderstair.domain import events
from oleanderstair.engine import answers, exchanges
from test import raw

STATUS = b'HTTP/1.1 200 OK\r\n'
CHUNKED = b'%btransfer-encoding: chunked\r\n\r\n' % STATUS
OTHER = b'%bid: 9\r\ncontent-length: 0\r\n\r\n' % STATUS
EMPTY = b'%bcontent-length: 0\r\n\r\n' % STATUS
LONG = b'%bcontent-length: 9000\r\n\r\n' % STATUS
MAX_ANSWER_BYTES = 262_144
PIECE = bytes(8192).replace(b'\x00', b'a')
MAX_PEAK_BYTES = 4_000_000
SLOW_PART_S = 3.2

ENDLESS = {
    'one field': (b'%bx: ' % STATUS, PIECE),
    'fields': (STATUS, b'x: a\r\n' * 1000),
    'status line': (b'HTTP/1.1 200 ', PIECE),
    'line ends before it': (b'', b'\r\n' * 4000),
    'interim answers': (b'', b'HTTP/1.1 103 Early\r\n\r\n' * 400),
    'body without a length': (b'%b\r\n' % STATUS, PIECE),
    'chunks': (CHUNKED, b'2000\r\n%b\r\n' % PIECE),
    'tiny chunks': (CHUNKED, b'000001\r\na\r\n' * 1000),
    'chunk extension': (b'%b4;x=' % CHUNKED, PIECE),
    'trailers': (b'%b0\r\n' % CHUNKED, b'x: a\r\n' * 1000),
    'answers to others': (b'', OTHER * 200),
    'no protocol': (b'\x00\xff', bytes(8192)),
}


class EndlessTarget(raw.RawTarget):
    """Begins an answer and sends bytes until the client closes."""

    def __init__(self, first_bytes, repeated_bytes, pause_s=0, after_s=0):
        super().__init__()
        self.pieces = itertools.chain(
            [first_bytes], itertools.repeat(repeated_bytes)
        )
        self.pause_s = pause_s
        self.after_s = after_s
        self.sent = 0
        self.ended = anyio.Event()

    async def _answer_next(self, stream):
        try:
            for piece in self.pieces:
                if piece:
                    await stream.send(piece)
                    self.sent += len(piece)
                await anyio.sleep(self.pause_s)
        finally:
            self.ended.set()


def judge(answer):
    if dict(answer.headers).get(b'id') == b'9':
        return None
    return events.Verdict.ANSWERED


def exchange_with(target, bound_ms=8000):
    async def scenario():
        with anyio.fail_after(20):
            async with raw.running(target):
                pool = exchanges.create(MAX_ANSWER_BYTES, takes_unframed=True)
                destination = exchanges.Destination(
                    't', target.address, False, bound_ms
                )
                request = exchanges.Request(b'GET', b'/', [], b'')
                began_s = anyio.current_time()
                result = await pool.exchange(destination, request, judge)
                took_s = anyio.current_time() - began_s
                await target.ended.wait()
                assert not pool.idle_by_target.get('t')
                return result, took_s

    return anyio.run(scenario)


@pytest.mark.parametrize('part', ENDLESS)
def test_an_endless_answer_fails_long_before_the_deadline(part):
    target = EndlessTarget(*ENDLESS[part])
    tracemalloc.start()
    try:
        result, took_s = exchange_with(target)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert result.verdict is events.Verdict.BROKEN
    assert took_s < 4
    assert peak_bytes < MAX_PEAK_BYTES


# An answer was given up for its pace though its call had time left, so the
# caller got a 502 for a call that ran to its end.
def test_slow_answer_is_complete_before_its_deadline():
    head = b'%bconnection: close\r\ncontent-length: 4\r\n\r\n' % STATUS
    body = b'twig'
    target = EndlessTarget(b'', b'', pause_s=SLOW_PART_S)
    target.pieces = iter((head, body[:2], body[2:]))
    result, _ = exchange_with(target, bound_ms=15_000)
    assert result.verdict is events.Verdict.ANSWERED
    assert result.answer.body == body


# Nothing but the deadline ends an answer that trickles on, so it must do so.
@pytest.mark.parametrize(
    'first_bytes', [LONG, b'', STATUS, b'%bx: ' % STATUS, CHUNKED]
)
def test_an_answer_that_trickles_on_ends_at_the_deadline(first_bytes):
    slow = EndlessTarget(first_bytes, b'1', 0.05)
    result, took_s = exchange_with(slow, bound_ms=600)
    assert result.verdict in {events.Verdict.SILENT, events.Verdict.BROKEN}
    assert took_s < 1


def test_bytes_without_a_request_close_an_idle_connection():
    async def scenario():
        with anyio.fail_after(10):
            target = EndlessTarget(EMPTY, STATUS, 0.05)
            async with raw.running(target):
                pool = exchanges.create()
                destination = exchanges.Destination(
                    't', target.address, False, 1000
                )
                request = exchanges.Request(b'GET', b'/', [], b'')
                result = await pool.exchange(destination, request)
                assert result.verdict is events.Verdict.ANSWERED
                await target.ended.wait()

    anyio.run(scenario)


def test_a_large_answer_in_many_small_chunks_is_complete():
    chunks = b'10\r\naaaaaaaaaaaaaaaa\r\n' * 12_000
    target = raw.RawTarget(b'%b%b0\r\n\r\n' % (CHUNKED, chunks))

    async def scenario():
        with anyio.fail_after(10):
            async with raw.running(target):
                pool = exchanges.create(MAX_ANSWER_BYTES)
                destination = exchanges.Destination(
                    't', target.address, False, 5000
                )
                request = exchanges.Request(b'GET', b'/', [], b'')
                return await pool.exchange(destination, request)

    result = anyio.run(scenario)
    assert result.verdict is events.Verdict.ANSWERED
    assert len(result.answer.body) == 192_000


LARGEST = exchanges.MAX_ANSWER_BYTES
MAX_COPIES = 2.5


def read_in_pieces(size):
    """Return the answer of the largest body in chunks, and the peak memory."""
    chunk = b'%x\r\n%b\r\n' % (size, b'a' * size)
    repeated = chunk * (32_768 // len(chunk))
    reader = answers.create(takes_unframed=True)
    reader.expect(b'GET', lambda _: False, LARGEST)
    reader.feed(CHUNKED)
    tracemalloc.start()
    try:
        held_bytes = feed_pieces(reader, LARGEST // size, chunk, repeated)
    finally:
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    return reader.outcome, held_bytes, peak_bytes


def feed_pieces(reader, left, chunk, repeated):
    """Feed so many chunks and the end; return what was held before it."""
    while left:
        count = min(left, len(repeated) // len(chunk))
        reader.feed(repeated[: count * len(chunk)])
        left -= count
    held_bytes = reader.answer_bytes()
    reader.feed(b'0\r\n\r\n')
    return held_bytes


# Each piece of a body was an object of its own, so that 4 MB in chunks of one
# byte took 60 times what was counted.
@pytest.mark.parametrize('size', [1, 2, 8, 4096])
def test_a_body_in_pieces_takes_what_is_counted(size):
    answer, held_bytes, peak_bytes = read_in_pieces(size)
    assert answer.body == b'a' * LARGEST
    assert held_bytes == LARGEST
    assert peak_bytes < MAX_COPIES * LARGEST


# Its bytes were read and waited for, up to the deadline of the call.
@pytest.mark.parametrize(
    'declared', [b'%d' % (MAX_ANSWER_BYTES + 1), b'9999999999']
)
def test_a_body_declared_too_large_fails_at_its_head(declared):
    head = b'%bcontent-length: %b\r\n\r\n' % (STATUS, declared)
    target = EndlessTarget(head, b'x', 0.05)
    result, took_s = exchange_with(target)
    assert result.verdict is events.Verdict.BROKEN
    assert result.cause == answers.TOO_LARGE
    assert took_s < 1


@pytest.mark.parametrize('status', [b'204', b'304'])
def test_a_length_without_a_body_is_not_limited(status):
    head = b'HTTP/1.1 %b OK\r\ncontent-length: 999999\r\n' % status
    target = EndlessTarget(b'', b'')
    target.pieces = iter([b'%bconnection: close\r\n\r\n' % head])
    result, _ = exchange_with(target)
    assert result.verdict is events.Verdict.ANSWERED
