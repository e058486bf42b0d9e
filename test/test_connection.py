"""What an application's response looks like on a client's connection."""

import gc
import weakref

import anyio
import pytest

from oleanderstair.engine import bounded, listener
from test import raw

PATIENT = bounded.Bounds(idle_ms=300, request_time_ms=2000)
GET = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
LAST = b'GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n'


def start(status=200, fields=()):
    return {
        'type': 'http.response.start',
        'status': status,
        'headers': list(fields),
    }


def piece(body, more=False):
    return {'type': 'http.response.body', 'body': body, 'more_body': more}


def app_sending(*messages):
    async def app(scope, receive, send):
        for message in messages:
            await send(message)

    return app


async def echo(scope, receive, send):
    body = b''
    more = True
    while more:
        message = await receive()
        body += message.get('body', b'')
        more = message.get('more_body', False)
    said = b'%b %b ' % (scope['path'].encode(), scope['query_string'])
    await send(start())
    await send(piece(said + body))


def say(app, *pieces):
    async def scenario():
        bound = listener.bind('127.0.0.1', 0)
        server = listener.create(app, PATIENT)
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.serve, [bound])
                answer = await raw.say(listener.address_of(bound), *pieces)
                server.should_exit = True
        return answer

    return anyio.run(scenario)


def test_response_without_a_length_is_chunked():
    answer = say(app_sending(start(), piece(b'ab', True), piece(b'c')), LAST)
    head, _, body = answer.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200 OK\r\n')
    assert b'transfer-encoding: chunked' in head
    assert b'connection: close' in head
    assert body == b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n'


def test_response_with_a_length_is_written_as_it_is():
    length = (b'Content-Length', b'3')
    answer = say(app_sending(start(404, [length]), piece(b'abc')), LAST)
    assert answer == (
        b'HTTP/1.1 404 Not Found\r\ncontent-length: 3\r\n'
        b'connection: close\r\n\r\nabc'
    )


def test_status_that_nobody_named_has_no_phrase():
    length = (b'content-length', b'0')
    answer = say(app_sending(start(599, [length]), piece(b'')), LAST)
    assert answer.startswith(b'HTTP/1.1 599 \r\n')


@pytest.mark.parametrize(
    ('method', 'status'),
    [(b'HEAD', 200), (b'GET', 204), (b'GET', 304)],
)
def test_response_that_has_no_body_ends_with_its_head(method, status):
    request = LAST.replace(b'GET', method)
    answer = say(app_sending(start(status), piece(b'')), request)
    assert answer.endswith(b'\r\n\r\n')
    assert b'chunked' not in answer


def test_close_is_told_once():
    close = (b'connection', b'close')
    answer = say(app_sending(start(200, [close]), piece(b'a')), GET)
    assert answer.count(b'connection: close') == 1


def test_requests_on_one_connection_are_answered_in_order():
    first = GET.replace(b'/ ', b'/one ')
    second = GET.replace(b'/ ', b'/two?x=%20 ')
    answer = say(echo, first, second + LAST.replace(b'/ ', b'/a%20b '))
    told = [answer.index(path) for path in (b'/one', b'/two x=%20', b'/a b')]
    assert told == sorted(told)
    assert answer.count(b'HTTP/1.1 200') == 3


def test_old_clients_connection_is_closed():
    answer = say(echo, b'GET /old HTTP/1.0\r\n\r\n')
    assert b'connection: close' in answer
    assert b'/old' in answer


def test_client_that_waits_is_told_to_go_on():
    answer = say(
        echo,
        b'POST /in HTTP/1.1\r\nhost: a\r\nconnection: close\r\n'
        b'content-length: 4\r\nexpect: 100-continue\r\n\r\n',
        b'twig',
    )
    assert answer.startswith(b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200')
    assert b'twig' in answer


def test_large_body_arrives_whole():
    body = b'x' * 500_000
    answer = say(
        echo,
        b'POST /in HTTP/1.1\r\nhost: a\r\nconnection: close\r\n'
        b'content-length: 500000\r\n\r\n',
        body,
    )
    assert answer.count(b'x') == len(body)


def test_upgrade_is_answered_and_ends_the_connection():
    answer = say(
        echo,
        b'GET /up HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\n'
        b'upgrade: websocket\r\n\r\n',
    )
    assert answer.startswith(b'HTTP/1.1 200')
    assert b'connection: close' in answer


async def fail(scope, receive, send):
    raise ValueError('no answer')


@pytest.mark.parametrize(
    'app',
    [
        fail,
        app_sending(),
        app_sending(piece(b'too early')),
        app_sending(start(200, [(b'x: y', b'z')]), piece(b'')),
        app_sending(start(200, [(b'x', b'y\r\nz: a')]), piece(b'')),
    ],
)
def test_application_without_a_response_is_a_fault_of_ours(app):
    answer = say(app, GET)
    assert answer.startswith(b'HTTP/1.1 500 ')
    assert b'connection: close' in answer
    assert b'z: a' not in answer


@pytest.mark.parametrize(
    'app',
    [
        app_sending(start(200, [(b'content-length', b'9')]), piece(b'short')),
        app_sending(start(200, [(b'content-length', b'2')]), piece(b'long')),
        app_sending(start(200), piece(b'part', True)),
        app_sending(start(200), start(200)),
    ],
)
def test_response_that_is_not_whole_ends_with_its_connection(app):
    answer = say(app, GET, GET)
    assert answer.count(b'HTTP/1.1') == 1
    assert not answer.endswith(b'0\r\n\r\n')


def test_closed_connection_leaves_nothing_for_the_garbage_collector():
    async def scenario():
        bound = listener.bind('127.0.0.1', 0)
        server = listener.create(echo, PATIENT)
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.serve, [bound])
                address = listener.address_of(bound)
                host, _, port = address.rpartition(':')
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    await stream.send(GET)
                    await stream.receive()
                    held = weakref.WeakSet(server.held.connections)
                    assert len(held) == 1
                while held:
                    await anyio.sleep(0.01)
                server.should_exit = True

    gc.collect()
    gc.disable()
    try:
        anyio.run(scenario)
    finally:
        gc.enable()
