"""Crowds of clients that ended a process, which ran out of memory.

Each crowd keeps its connections open. The process must live, stay within the
memory and the descriptors of its machine, and answer an ordinary caller.
"""

import functools

import anyio
import pytest

from oleanderstair.emulator import load_targets
from test import crowd, gateway_process, loopback_node, raw

PATIENT = {'header_time_ms': 60000, 'idle_ms': 60000}
"""Limits whose timeouts don't free anything while a crowd stays."""

MAX_HEADER_BYTES = loopback_node.configuration(1)['limits']['max_header_bytes']
HEAD = (
    b'%b HTTP/1.1\r\nhost: calls.example\r\nrequest-id: crowd-%d\r\n'
    b'deadline-ms: 60000\r\n'
)
SHORT_LINES = b'a:\r\n' * 4000


def head_of(request_line, number, *lines):
    return HEAD % (request_line, number) + b''.join(lines)


async def watch(gateway, machine, act):
    """Run ``act`` beside a check of memory and life; return the gateway's."""
    bound_bytes = machine.memory_mb * gateway_process.MIB
    async with anyio.create_task_group() as tasks:

        async def check():
            while True:
                assert gateway.is_running()
                assert gateway.peak_memory_bytes() <= bound_bytes
                assert gateway.open_descriptors() < machine.descriptors - 8
                await anyio.sleep(0.01)

        tasks.start_soon(check)
        await act()
        tasks.cancel_scope.cancel()


def play(tmp_path, machine, scene):
    """Run ``scene`` with a gateway and check the promises meanwhile."""

    async def scenario():
        async with gateway_process.running(tmp_path, machine) as gateway:
            await watch(gateway, machine, lambda: scene(gateway))

    anyio.run(scenario)


# Each line became objects of 20 times its size, counted nowhere.
@pytest.mark.parametrize('lines', [SHORT_LINES, b'ab: c\r\n' * 2200])
def test_heads_of_short_lines_that_do_not_end(tmp_path, lines):
    async def scene(gateway):
        with crowd.Crowd(gateway.callers) as clients:
            await clients.send_on_each(
                lambda number: [head_of(b'GET /lookup/a', number, lines)], 600
            )
            assert await gateway.serve_ordinary_request()

    play(tmp_path, gateway_process.Machine(limits=PATIENT), scene)


# The fields were kept twice more while their requests waited for a target.
def test_heads_of_short_lines_whose_requests_wait(tmp_path):
    async def scene(gateway):
        for target in gateway.target_by_id.values():
            target.behaviour = load_targets.Behaviour.HANG
        with crowd.Crowd(gateway.callers) as clients:
            await clients.send_on_each(
                lambda number: [
                    head_of(b'GET /lookup/a', number, SHORT_LINES, b'\r\n')
                ],
                400,
            )
            for target in gateway.target_by_id.values():
                target.behaviour = load_targets.Behaviour.SERVE
            assert await gateway.serve_ordinary_request()

    play(tmp_path, gateway_process.Machine(limits=PATIENT), scene)


# An idle connection kept the fields of its last request.
def test_heads_of_short_lines_whose_connections_stay_idle(tmp_path):
    async def scene(gateway):
        with crowd.Crowd(gateway.callers) as clients:
            await clients.send_on_each(
                lambda number: [
                    head_of(b'GET /none/a', number, SHORT_LINES, b'\r\n')
                ],
                600,
            )
            assert await gateway.serve_ordinary_request()

    play(tmp_path, gateway_process.Machine(limits=PATIENT), scene)


def body_pieces(number, size):
    """Return a request without the last byte of its body, in two pieces.

    Every second one is chunked.
    """
    line = b'POST /order/a'
    if number % 2:
        framing = b'content-length: %d\r\n\r\n' % size
        return [head_of(line, number, framing), b'x' * (size - 1)]
    framing = b'transfer-encoding: chunked\r\n\r\n'
    chunk = b'1000\r\n%b\r\n' % (b'x' * 4096)
    head = head_of(line, number, framing)
    return [head, chunk * (size // 4096), chunk[: size % 4096]]


# The bodies took all room up to their timeout, so that every other call was
# refused meanwhile. Those of 1,000 bytes take what the others leave.
@pytest.mark.parametrize(
    'count_by_size', [{30_000: 700, 1000: 100}, {900_000: 200}, {250_000: 400}]
)
def test_bodies_that_stop_short_of_their_end(tmp_path, count_by_size):
    async def scene(gateway):
        with crowd.Crowd(gateway.callers) as clients:
            for size, count in count_by_size.items():
                await clients.send_on_each(
                    functools.partial(body_pieces, size=size), count
                )
            assert await gateway.serve_ordinary_request(
                path='/order/a', method='POST', body=b'x' * 2000
            )

    limits = {**PATIENT, 'max_body_bytes': 1_000_000}
    play(
        tmp_path,
        gateway_process.Machine(memory_mb=100, limits=limits),
        scene,
    )


# Each answer let more be read, and every request in it became objects.
@pytest.mark.parametrize(
    ('name', 'path'),
    [
        ('callers', '/lookup/a'),
        ('directory', '/-/addresses'),
        ('readiness', '/-/ready'),
        ('metrics', '/metrics'),
    ],
)
def test_requests_sent_ahead_whose_answers_are_unread(tmp_path, name, path):
    async def scene(gateway):
        address = gateway.address_by_listener[name]
        request = b'GET %b HTTP/1.1\r\n\r\n' % path.encode()
        with crowd.Crowd(address) as clients:
            async with anyio.create_task_group() as tasks:
                for _ in range(8):
                    tasks.start_soon(
                        clients.send_ahead,
                        request,
                        16_000_000,
                        gateway.is_running,
                    )
            assert await gateway.serve_ordinary_request()
            if name != 'callers':
                assert await gateway.is_listener_answering(name, path)

    play(tmp_path, gateway_process.Machine(limits=PATIENT), scene)


# No descriptor was left for connections to targets, nor for other callers.
@pytest.mark.parametrize('name', gateway_process.LISTENERS)
def test_connections_that_stay_open(tmp_path, name):
    async def scene(gateway):
        address = gateway.address_by_listener[name]
        with crowd.Crowd(address) as clients:
            await clients.send_on_each(lambda number: [b'GET /'], 400)
            assert await gateway.serve_ordinary_request()
            if name != 'callers':
                assert await gateway.is_listener_answering(name, '/-/ready')

    machine = gateway_process.Machine(descriptors=256, limits=PATIENT)
    play(tmp_path, machine, scene)


# A single request inside the limits is served in calm.


def test_head_of_the_largest_size_made_of_short_lines_is_served(tmp_path):
    async def scene(gateway):
        head = head_of(b'GET /lookup/a', 1, b'connection: close\r\n')
        missing_bytes = MAX_HEADER_BYTES - len(head) - len(b'\r\n')
        lines = b'a:\r\n' * (missing_bytes // 4 - 1)
        last_line = b'b:%b\r\n' % (b'c' * (missing_bytes % 4))
        whole_head = b''.join((head, lines, last_line, b'\r\n'))
        assert len(whole_head) == MAX_HEADER_BYTES
        answer = await raw.send_and_receive(gateway.callers, whole_head)
        assert answer.startswith(b'HTTP/1.1 200')

    play(tmp_path, gateway_process.Machine(), scene)


@pytest.mark.parametrize('is_chunked', [False, True])
def test_body_of_the_largest_size_is_served(tmp_path, is_chunked):
    size = 1_000_000

    async def scene(gateway):
        head = head_of(b'POST /order/a', 1, b'connection: close\r\n')
        framing = b'content-length: %d\r\n\r\n' % size
        body = b'x' * size
        if is_chunked:
            framing = b'transfer-encoding: chunked\r\n\r\n'
            chunk = b'3e8\r\n%b\r\n' % (b'x' * 1000)
            body = b'%b0\r\n\r\n' % (chunk * (size // 1000))
        answer = await raw.send_and_receive(
            gateway.callers, head, framing, body
        )
        assert answer.startswith(b'HTTP/1.1 200')
        ran = [
            found
            for target in gateway.target_by_id.values()
            for found in target.ran
            if found.request_id == 'crowd-1'
        ]
        assert [found.body for found in ran] == [b'x' * size]

    machine = gateway_process.Machine(limits={'max_body_bytes': size})
    play(tmp_path, machine, scene)


def test_a_few_requests_in_one_piece_are_answered_in_order(tmp_path):
    async def scene(gateway):
        requests = [head_of(b'GET /lookup/a', number) for number in range(4)]
        requests.append(head_of(b'GET /lookup/a', 4, b'connection: close\r\n'))
        answer = await raw.send_and_receive(
            gateway.callers, b'\r\n'.join([*requests, b''])
        )
        assert answer.count(b'HTTP/1.1 200') == 5
        places = [
            answer.index(b'served crowd-%d' % number) for number in range(5)
        ]
        assert places == sorted(places)

    play(tmp_path, gateway_process.Machine(), scene)
