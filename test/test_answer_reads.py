"""Answers of targets that were read without being counted.

Each reader of a target's bytes must count what it holds: calls, hedges, reads
of a target's load, and calls that a peer forwarded or that have a key.
"""

import contextlib
import functools

import anyio
import pytest

from oleanderstair import settings
from oleanderstair.domain import actions, byte_budgets, events, outcomes
from oleanderstair.engine import byte_ledger, exchanges, node, pending
from oleanderstair.platform import load_reader
from test import helper, loopback_node, raw

MB = 1_000_000
LARGEST_REPORT = 65_536
REPORT = (
    b'HTTP/1.1 200 OK\r\nserver-load: 1,0,4\r\ncontent-length: %d\r\n\r\n%b'
)


def in_event_loop(test):
    """Run a test in an event loop, whose time the ledger reads."""

    @functools.wraps(test)
    def run():
        async def scenario():
            test()

        anyio.run(scenario)

    return run


def create_ledger():
    return byte_ledger.create(byte_budgets.create_budget(152))


# A hedge and the attempt before it were counted as one answer.
@in_event_loop
def test_answers_that_are_read_side_by_side_count_both():
    ledger = create_ledger()
    holding = byte_ledger.Holding(ledger, 'caller')
    first, hedge = holding.begin_read(), holding.begin_read()
    assert first.grow(MB)
    assert hedge.grow(2 * MB)
    assert ledger.used_bytes == holding.answer_bytes == 3 * MB
    first.end()
    assert ledger.used_bytes == 2 * MB
    holding.release()
    hedge.end()
    assert not ledger.used_bytes


@in_event_loop
def test_expected_bytes_of_a_call_are_not_counted_twice():
    ledger = create_ledger()
    holding = ledger.open('caller', 0, MB)
    read = holding.begin_read()
    for size in (MB // 2, MB, 3 * MB):
        assert read.grow(size)
        assert ledger.used_bytes == max(size, MB)
    read.end()
    assert ledger.used_bytes == MB
    holding.release()
    assert not ledger.used_bytes


async def read_load(target, pool, bound_ms=2000):
    reader = load_reader.create(pool)
    return await reader.read(
        actions.ReadLoad('i-0', target.address, '/health', bound_ms)
    )


# An answer to a health read could be as large as one to a call, and counted
# nothing.
@pytest.mark.parametrize(
    ('size', 'is_read'),
    [(0, True), (LARGEST_REPORT, True), (LARGEST_REPORT + 1, False)],
)
def test_answer_to_a_load_read_is_limited(size, is_read):
    async def scenario():
        target = raw.RawTarget(REPORT % (size, b'o' * size))
        async with raw.running(target):
            pool = exchanges.create()
            pool.ledger = create_ledger()
            report = await read_load(target, pool)
            assert not pool.ledger.used_bytes
        return report

    assert (anyio.run(scenario) is not None) is is_read


def test_answer_to_a_load_read_is_counted_while_it_is_read():
    async def scenario():
        target = raw.RawTarget(
            REPORT % (LARGEST_REPORT, b'o' * 40_000), kept=True
        )
        async with raw.running(target), anyio.create_task_group() as tasks:
            pool = exchanges.create()
            pool.ledger = create_ledger()
            tasks.start_soon(read_load, target, pool, 500)
            await helper.wait_until(lambda: pool.ledger.used_bytes)
            assert pool.ledger.used_bytes == LARGEST_REPORT
        assert not pool.ledger.used_bytes

    with_deadline(scenario)


def with_deadline(scenario):
    async def bounded():
        with anyio.fail_after(loopback_node.TIMEOUT_S):
            await scenario()

    anyio.run(bounded)


@contextlib.asynccontextmanager
async def running_balancer():
    """Run an instance of limited memory whose calls record their holding."""
    async with helper.running_fleet(1) as (deployment, _):
        tree = deployment.node_settings('entry-2', 'trnava')
        tree['instance']['capacity'] = {'memory_mb': 152}
        tree['policy'] = {'confirm_without_peers': True}
        entry = node.create(settings.build(tree))
        deployment.tasks.start_soon(entry.run)
        await helper.wait_until(lambda: helper.is_serving(entry))
        held_bytes = []

        async def answer(received, request, holding=None):
            held_bytes.append(None if holding is None else holding.body_bytes)
            return pending.Reply(
                outcomes.Outcome.RAN, answer=exchanges.Answer(200, [], b'')
            )

        entry.runtime.run_call = answer
        yield entry, held_bytes


# Calls that release notes steer were read without being counted.
def test_calls_of_a_balancer_count_their_answers():
    async def scenario():
        async with running_balancer() as (entry, held_bytes):
            assert entry.runtime.sides.connections.ledger is not None
            await helper.send_request(
                entry.identity.caller_address, 'POST', body=b'o' * 9
            )
            assert held_bytes == [9]
            assert not entry.runtime.ledger.used_bytes

    anyio.run(scenario)


# A call with a key runs at its home whatever the memory, and was not counted.
def test_keyed_calls_of_peers_count_their_answers():
    async def scenario():
        async with running_balancer() as (entry, held_bytes):
            received = events.CallReceived(1, 'burza', 'POST', '/', 0, 'key')
            request = exchanges.Request(b'POST', b'/', [], b'o' * 9)
            await entry.runtime._forwarded_calls._run_within_memory(
                'entry-1~1', received, request
            )
            assert held_bytes == [9]
            assert not entry.runtime.ledger.used_bytes

    anyio.run(scenario)


class OpenEnded(raw.RawTarget):
    """Sends bodies without a length; ``may_end`` ends those that still run."""

    def __init__(self, first_bytes, rest=b''):
        super().__init__()
        self.first_bytes = first_bytes
        self.rest = rest
        self.may_end = anyio.Event()

    async def _answer_next(self, stream):
        await raw.read_request(stream)
        await stream.send(b'HTTP/1.1 200 OK\r\n\r\n%b' % self.first_bytes)
        await self.may_end.wait()
        await stream.send(self.rest)
        raise anyio.EndOfStream


class Reads:
    """Exchanges with targets of two services, which share one ledger."""

    def __init__(self, ledger, *targets):
        self.pool = exchanges.create(takes_unframed=True)
        self.pool.ledger = ledger
        self.pool.service_of = lambda target_id: target_id.partition('-')[0]
        self.excessive = []
        self.pool.on_excess = lambda where, ended: self.excessive.append(
            (where.target_id, ended.excess_bytes)
        )
        self.targets = targets
        self.results = []

    async def exchange(self, target_id, silence_ms=5000):
        """Read the answer of a target, which the name of its service picks."""
        holding = byte_ledger.Holding(self.pool.ledger, object(), 'any')
        service = target_id.partition('-')[0]
        destination = exchanges.Destination(
            target_id,
            dict(self.targets)[service].address,
            False,
            silence_ms,
            holding=holding,
        )
        request = exchanges.Request(b'GET', b'/', [], b'')
        result = await self.pool.exchange(destination, request)
        holding.release()
        self.results.append((target_id, result))

    def count_answers(self):
        """Return how many whole answers were read."""
        found = [result.answer for _, result in self.results if result.answer]
        assert all(len(answer.body) >= MB for answer in found)
        return len(found)

    def result_of(self, target_id):
        return dict(self.results).get(target_id)


@contextlib.asynccontextmanager
async def reading(**target_by_service):
    async with contextlib.AsyncExitStack() as stack:
        for target in target_by_service.values():
            await stack.enter_async_context(raw.running(target))
        yield Reads(create_ledger(), *target_by_service.items())


LARGE_READS = 9


async def begin_large(tasks, reads, count=LARGE_READS):
    """Begin the reads that fill the memory but for the reserve."""
    ledger = reads.pool.ledger
    for number in range(count):
        tasks.start_soon(reads.exchange, f'large-{number}')
    await helper.wait_until(lambda: ledger.used_bytes >= count * 4 * MB)


# Ordinary answers of one service were refused while another held all room.
def test_answer_of_another_service_displaces_the_largest():
    async def scenario():
        large = OpenEnded(b'o' * 4 * MB)
        small = raw.RawTarget(REPORT % (3 * MB // 2, b'o' * (3 * MB // 2)))
        async with (
            reading(large=large, small=small) as reads,
            anyio.create_task_group() as tasks,
        ):
            reads.pool.ledger.add('slow callers', 2 * MB)
            await begin_large(tasks, reads)
            await reads.exchange('small-0')
            assert reads.result_of('small-0').answer is not None
            displaced = [found for _, found in reads.results[:-1]]
            assert [found.excess_bytes > 4 * MB for found in displaced] == [
                True
            ]
            assert not displaced[0].memory_short
            assert displaced[0].verdict is events.Verdict.BROKEN
            assert not displaced[0].crashed
            assert reads.excessive == [
                (reads.results[0][0], displaced[0].excess_bytes)
            ]
            large.may_end.set()
            await helper.wait_until(
                lambda: len(reads.results) == LARGE_READS + 1
            )
            assert reads.count_answers() == LARGE_READS
            assert not reads.pool.ledger.unfinished_reads
            assert reads.pool.ledger.used_bytes == 2 * MB

    with_deadline(scenario)


# Guards against answers that give way to a call which has no room either way.
@in_event_loop
def test_a_call_beyond_the_share_of_its_connection_displaces_nothing():
    ledger = create_ledger()
    read = byte_ledger.Holding(ledger, 'other').begin_read('large')
    read.grow(ledger.budget.total_bytes * 3 // 4)
    ledger.add('caller', ledger.budget.holder_bytes)
    refused = ledger.open('caller', 0, MB, 'small')
    assert isinstance(refused, byte_ledger.Refusal)
    assert not read.is_displaced


# Answers without a length waited for each other until their deadlines.
def test_answers_without_a_length_give_way_until_the_others_fit():
    async def scenario():
        large = OpenEnded(b'o' * 3 * MB, b'o' * MB)
        async with (
            reading(large=large) as reads,
            anyio.create_task_group() as tasks,
        ):
            count = 12
            for number in range(count):
                tasks.start_soon(reads.exchange, f'large-{number}', 15_000)
            await helper.wait_until(
                lambda: reads.pool.ledger.used_bytes >= count * 3 * MB
            )
            large.may_end.set()
            await helper.wait_until(lambda: len(reads.results) == count)
            assert LARGE_READS <= reads.count_answers() < count
            assert len(reads.excessive) == count - reads.count_answers()
            assert not reads.pool.ledger.used_bytes

    with_deadline(scenario)


# Guards against healthy targets that are barred because callers read slowly.
def test_growing_answer_waits_while_callers_fill_the_memory():
    async def scenario():
        large = OpenEnded(b'o' * 3 * MB, b'o' * MB)
        async with (
            reading(large=large) as reads,
            anyio.create_task_group() as tasks,
        ):
            ledger = reads.pool.ledger
            slow_bytes = ledger.budget.total_bytes * 3 // 4
            ledger.add('slow callers', slow_bytes)
            tasks.start_soon(reads.exchange, 'large-0')
            tasks.start_soon(reads.exchange, 'large-1')
            await helper.wait_until(lambda: ledger.used_bytes > slow_bytes)
            large.may_end.set()
            await helper.wait_until(lambda: ledger.waiting_answers)
            assert not reads.results
            ledger.release('slow callers', slow_bytes)
            await helper.wait_until(lambda: len(reads.results) == 2)
            assert reads.count_answers() == 2
            assert not reads.excessive

    with_deadline(scenario)
