"""Requests of callers to an instance with routes: refusals and forwarding."""

import anyio
import pytest

from oleanderstair import logs, settings
from oleanderstair.emulator import load_targets, store
from oleanderstair.explaining import lines, sinks
from oleanderstair.platform import node
from test import helper, loopback_node, raw

HEAD = b'host: calls.example\r\nrequest-id: r-1\r\ndeadline-ms: 900\r\n'
CLOSE = b'connection: close\r\n\r\n'
GET = b'GET /lookup/a HTTP/1.1\r\n'
POST = b'POST /order/a HTTP/1.1\r\n'
VALID_REQUEST = b''.join((GET, HEAD, b'\r\n'))


def send_to_node(*pieces):
    """Send pieces to a node; return the answer and the calls of targets."""

    async def scenario():
        async with loopback_node.run_ready_node() as running:
            answer = await raw.send_and_receive(running.address, *pieces)
            ran = [
                call
                for target in running.target_by_id.values()
                for call in target.ran
            ]
            return answer, ran

    return anyio.run(scenario)


@pytest.mark.parametrize(
    'pieces',
    [
        (GET, b'request-id: r-1\r\ndeadline-ms: 900\r\n', CLOSE),
        (GET, b'host: calls.example\r\nrequest-id: r-1\r\n', CLOSE),
        (GET, b'host: calls.example\r\ndeadline-ms: 900\r\n', CLOSE),
        (GET, HEAD.replace(b'900', b'soon'), CLOSE),
        (GET, HEAD.replace(b'900', b'0'), CLOSE),
        (GET, HEAD, b'request-id: r-2\r\n', CLOSE),
        (GET, HEAD, b'host: other.example\r\n', CLOSE),
        (GET, HEAD, b'x: a\x01b\r\n', CLOSE),
        (
            GET.replace(b'/lookup', b'http://calls.example/lookup'),
            HEAD,
            CLOSE,
        ),
        (GET.replace(b'/lookup/a', b'/lookup/a#b'), HEAD, CLOSE),
        (GET.replace(b'/lookup/a', b'/lookup/\x01'), HEAD, CLOSE),
        (POST, HEAD, b'content-length: 1\r\ncontent-length: 2\r\n\r\nab'),
        (
            POST,
            HEAD,
            b'content-length: 3\r\ntransfer-encoding: chunked\r\n',
            b'\r\n0\r\n\r\n',
        ),
        (POST, HEAD, b'transfer-encoding: gzip, identity\r\n\r\nab'),
        (POST, HEAD, b'transfer-encoding: chunked\r\n\r\nzz\r\n'),
        (
            POST,
            HEAD,
            b'content-length: 200000\r\n',
            CLOSE,
            b'x' * 200000,
        ),
        (GET, HEAD, b'x: ', b'y' * 20000, b'\r\n', CLOSE),
    ],
)
def test_invalid_request_is_refused_and_not_forwarded(pieces):
    answer, ran = send_to_node(b''.join(pieces))
    assert b'HTTP/1.1 4' in answer[:10]
    assert not ran


@pytest.mark.parametrize(
    'target',
    [b'/lookup/a?', b'/lookup//b?x=%41&&y=?', b'/lookup/%2e%2E/a'],
)
def test_path_and_query_are_forwarded_unchanged(target):
    answer, ran = send_to_node(GET.replace(b'/lookup/a', target), HEAD, CLOSE)
    assert answer.startswith(b'HTTP/1.1 200')
    assert ran[0].target == target.decode()


@pytest.mark.parametrize(
    'body',
    [
        b'transfer-encoding: chunked\r\nconnection: close\r\n\r\n'
        b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n',
        b'expect: 100-continue\r\nconnection: close\r\n'
        b'content-length: 3\r\n\r\nabc',
    ],
)
def test_body_is_forwarded_completely(body):
    answer, ran = send_to_node(POST, HEAD, body)
    assert b'HTTP/1.1 200' in answer
    assert ran[0].body == b'abc'


def test_pipelined_requests_are_answered_in_order():
    second = HEAD.replace(b'r-1', b'r-2')
    answer, ran = send_to_node(VALID_REQUEST, GET, second, CLOSE)
    assert answer.index(b'served r-1') < answer.index(b'served r-2')
    assert len(ran) == 2


def test_pipelined_requests_are_answered_in_a_planned_stop():
    # The connection was closed after the first of them.
    async def scenario():
        async with loopback_node.run_ready_node() as running:
            for target in running.target_by_id.values():
                target.service_ms = 150
            runtime = running.node.runtime
            host, _, port = running.address.rpartition(':')
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(3 * VALID_REQUEST)
                await helper.wait_until(
                    lambda: len(runtime.pending.call_by_id) == 1
                )
                running.node.stop()
                return await raw.receive_all(stream)

    answers = anyio.run(scenario)
    assert answers.count(b'served r-1') == 3
    last_head = answers.rpartition(b'HTTP/1.1 200')[2]
    assert answers.count(b'connection: close') == 1
    assert b'connection: close' in last_head


def test_limits_follow_the_configuration_in_force():
    async def scenario():
        async with loopback_node.run_ready_node() as running:
            changed = loopback_node.configuration(2)
            changed['limits'].update(idle_ms=100, max_body_bytes=2)
            running.store.put('op/config', changed)
            routes = running.node.runtime.state.routes
            await helper.wait_until(lambda: routes.in_force.number == 2)
            with anyio.fail_after(2):
                answer = await raw.send_and_receive(
                    running.address, VALID_REQUEST
                )
            assert answer.startswith(b'HTTP/1.1 200')
            large = (
                POST,
                HEAD,
                b'content-length: 3\r\n',
                CLOSE,
                b'abc',
            )
            answer = await raw.send_and_receive(running.address, *large)
            assert answer.startswith(b'HTTP/1.1 413')

    anyio.run(scenario)


def test_idle_connection_stays_open_if_its_timeout_grows():
    async def scenario():
        async with loopback_node.run_ready_node() as running:
            short = loopback_node.configuration(2)
            short['limits'].update(idle_ms=900)
            running.store.put('op/config', short)
            routes = running.node.runtime.state.routes
            await helper.wait_until(lambda: routes.in_force.number == 2)
            host, _, port = running.address.rpartition(':')
            async with await anyio.connect_tcp(host, int(port)) as client:
                await client.send(VALID_REQUEST)
                await client.receive()
                running.store.put('op/config', loopback_node.configuration(3))
                await helper.wait_until(lambda: routes.in_force.number == 3)
                await anyio.sleep(1)
                await client.send(VALID_REQUEST)
                assert (await client.receive()).startswith(b'HTTP/1.1 200')

    anyio.run(scenario)


@pytest.mark.parametrize('start', [GET, POST])
def test_disconnect_of_the_caller_cancels_the_call_at_its_target(start):
    async def scenario():
        async with loopback_node.run_ready_node(targets=1) as running:
            target = running.target_by_id['i-0']
            target.behaviour = load_targets.Behaviour.HANG
            host, _, port = running.address.rpartition(':')
            async with await anyio.connect_tcp(host, int(port)) as client:
                await client.send(b''.join((start, HEAD, b'\r\n')))
                await helper.wait_until(lambda: target.running)
            with anyio.fail_after(0.5):
                await helper.wait_until(lambda: target.dropped)

    anyio.run(scenario)


async def _call_at_the_start(config_after_ms):
    platform_store = store.create()
    async with anyio.create_task_group() as tasks:
        target = load_targets.create('i-0')
        address = loopback_node.serve_app(tasks, target)
        platform_store.put(
            'servers/i-0', loopback_node.registration_of(address)
        )
        tree = loopback_node.settings_tree(
            loopback_node.serve_app(tasks, platform_store)
        )
        started = node.create(settings.build(tree))
        tasks.start_soon(started.run)
        tasks.start_soon(_publish, platform_store, config_after_ms)
        answer = await loopback_node.send_request(
            started.identity.caller_address
        )
        tasks.cancel_scope.cancel()
    return answer.status


async def _publish(platform_store, after_ms):
    await anyio.sleep(after_ms / 1000)
    platform_store.put('op/config', loopback_node.configuration(1))


@pytest.mark.parametrize(('after_ms', 'status'), [(0, 200), (5000, 503)])
def test_call_shortly_after_the_start_waits_for_routes(after_ms, status):
    assert anyio.run(_call_at_the_start, after_ms) == status


def test_stop_at_the_start_leaves_a_held_call_its_time():
    # The listener gave up 2 s after the exit was decided, which counts only
    # calls that have left the queue of the start. The call got a 500.
    async def scenario():
        platform_store = store.create()
        async with anyio.create_task_group() as tasks:
            target = load_targets.create('i-0')
            target.service_ms = 2200
            platform_store.put(
                'servers/i-0',
                loopback_node.registration_of(
                    loopback_node.serve_app(tasks, target)
                ),
            )
            tree = loopback_node.settings_tree(
                loopback_node.serve_app(tasks, platform_store)
            )
            async with loopback_node.run_node(tree) as started:
                tasks.start_soon(_stop_and_publish, started, platform_store)
                answer = await loopback_node.send_request(
                    started.identity.caller_address, deadline_ms='4000'
                )
            tasks.cancel_scope.cancel()
        return answer.status

    assert anyio.run(scenario) == 200


async def _stop_and_publish(started, platform_store):
    await anyio.sleep(0.2)
    started.stop()
    await started.runtime.exit.wait()
    slow = loopback_node.configuration(1)
    for route in slow['routes']:
        route['timeout_ms'] = 4000
    platform_store.put('op/config', slow)


def test_call_held_at_the_start_is_logged_with_its_wait(monkeypatch):
    sink = sinks.ListSink()
    monkeypatch.setattr(logs, 'current_sink', lambda: sink)
    assert anyio.run(_call_at_the_start, 5000) == 503
    call, refused = [
        lines.read(text).field_by_name for text in sink.lines if 'id=' in text
    ]
    assert float(call['held_ms']) > 100
    assert float(refused['after_ms']) >= float(call['held_ms'])
