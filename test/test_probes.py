"""Answers of health and load endpoints that have no end."""

import tracemalloc

import anyio
import pytest

from oleanderstair.engine import probes
from test import raw, test_endless_answers, test_endless_targets

MAX_PEAK_BYTES = 1_000_000
HEALTH = b'{"healthy":true,"leaving":false,"incarnation":"i-1"}'
LOAD = b'{"in_flight":3,"queued":1}'


def read_from(target):
    """Return the report of a target, the time it took and the peak memory."""

    async def scenario():
        endpoints = probes.create()
        async with raw.running(target):
            began_s = anyio.current_time()
            report = await endpoints.read(target.address, 5000)
            return report, anyio.current_time() - began_s

    tracemalloc.start()
    try:
        report, took_s = anyio.run(scenario)
    finally:
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    return report, took_s, peak_bytes


# The library kept whatever came until the bound of the probe.
@pytest.mark.parametrize(
    ('head', 'piece'),
    [
        (b'HTTP/1.1 200 OK\r\n\r\n', test_endless_answers.PIECE),
        (test_endless_answers.CHUNKED, test_endless_targets.chunks_of(1)),
        (test_endless_answers.CHUNKED, test_endless_targets.chunks_of(9)),
        (b'HTTP/1.1 200 OK\r\n', b'x: a\r\n' * 1000),
    ],
)
def test_an_endless_answer_to_a_probe_ends_it(head, piece):
    target = test_endless_answers.EndlessTarget(head, piece)
    report, took_s, peak_bytes = read_from(target)
    assert report is None
    assert took_s < 2
    assert peak_bytes < MAX_PEAK_BYTES


def in_chunks_of_one_byte(body):
    chunks = b''.join(b'1\r\n%c\r\n' % byte for byte in body)
    return b'%b%b0\r\n\r\n' % (test_endless_answers.CHUNKED, chunks)


def test_a_legal_answer_in_pieces_is_read():
    replies = map(in_chunks_of_one_byte, (HEALTH, LOAD))
    report, _, _ = read_from(raw.RawTarget(*replies, kept=True))
    assert report.healthy
    assert report.incarnation == 'i-1'
    assert (report.in_flight, report.queued) == (3, 1)
