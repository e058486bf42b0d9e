"""Bodies in many small pieces, and the other connections of an event loop."""

import functools
import itertools

import anyio

from oleanderstair.domain import events
from oleanderstair.engine import exchanges, reading_turns
from test import raw, test_endless_answers, test_exchanges

READERS = 24
TINY = b'1\r\na\r\n' * 40_000


# The reads of all connections came between two turns of the event loop.
def test_one_connection_is_resumed_in_each_turn():
    async def scenario():
        turns = reading_turns.create()
        resumed = []
        for name in 'abc':
            turns.wait(functools.partial(resumed.append, name))
        seen = []
        for _ in range(4):
            await anyio.sleep(0)
            seen.append(''.join(resumed))
        return seen

    assert anyio.run(scenario) == ['a', 'ab', 'abc', 'abc']


def test_a_connection_that_waits_again_lets_the_others_go_first():
    async def scenario():
        turns = reading_turns.create()
        resumed = []

        def resume_again():
            resumed.append('again')
            if len(resumed) < 4:
                turns.wait(resume_again)

        turns.wait(resume_again)
        turns.wait(lambda: resumed.append('other'))
        for _ in range(5):
            await anyio.sleep(0)
        return resumed

    assert anyio.run(scenario)[:3] == ['again', 'other', 'again']


def test_bodies_of_tiny_pieces_arrive_side_by_side():
    whole = b'%b%b0\r\n\r\n' % (test_endless_answers.CHUNKED, TINY)

    async def scenario():
        results = []
        target = raw.RawTarget(*itertools.repeat(whole, READERS))
        async with raw.running(target):
            pool = exchanges.create()
            pool.max_open_per_target = READERS

            async def read():
                destination = test_exchanges.destination_at(
                    target, silence_ms=20_000
                )
                request = test_exchanges.make_request()
                results.append(await pool.exchange(destination, request))

            async with anyio.create_task_group() as tasks:
                for _ in range(READERS):
                    tasks.start_soon(read)
        return results

    results = anyio.run(scenario)
    assert {result.verdict for result in results} == {events.Verdict.ANSWERED}
    assert {len(result.answer.body) for result in results} == {40_000}
