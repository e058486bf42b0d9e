"""Platform reads with dead connections and invalid answers."""

import contextlib
import functools

import anyio
import pytest

from oleanderstair.engine import http_platform

BOUND_S = 10
OK = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s'
INCOMPLETE_LIST = b'[{"instance_id":"a","region":"b","data_centre":"c"}]'


class Server:
    """Answers a number of requests per connection, then no more."""

    def __init__(self, answers_each=1000, body=b'{}', status=b''):
        self.answers_each = answers_each
        self.body = body
        self.status = status
        self.connections = 0

    async def __call__(self, stream):
        self.connections += 1
        async with stream:
            with contextlib.suppress(anyio.EndOfStream):
                for _ in range(self.answers_each):
                    await stream.receive()
                    await stream.send(
                        self.status or OK % (len(self.body), self.body)
                    )
                await anyio.sleep(BOUND_S)


def read_from(server, work):
    """Call ``work`` with a reader of ``server`` and return its result."""
    results = []

    async def bounded():
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        url = f'http://127.0.0.1:{port}'
        reader = http_platform.create(url, url, 300)
        with anyio.fail_after(BOUND_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, server)
                results.append(await work(reader))
                await reader.aclose()
                tasks.cancel_scope.cancel()
        await listener.aclose()

    anyio.run(bounded)
    return results[0]


def test_read_never_reuses_a_connection():
    server = Server(answers_each=1)

    async def read_thrice(reader):
        return [await reader.get('head') for _ in range(3)]

    assert read_from(server, read_thrice) == [b'{}', b'{}', b'{}']
    assert server.connections == 3


def test_watch_never_reuses_a_connection():
    server = Server(answers_each=1)

    async def watch_twice(reader):
        first = await reader.watch('head', 'digest', 100)
        return first, await reader.watch('head', 'digest', 100)

    assert read_from(server, watch_twice) == (b'{}', b'{}')
    assert server.connections == 2


@pytest.mark.parametrize(
    ('server', 'error_text'),
    [
        (Server(answers_each=0), 'within the timeout'),
        (Server(body=b'x' * (http_platform.MAX_VALUE_BYTES + 1)), 'megabyte'),
        (Server(status=b'HTTP/1.1 503 Down\r\n\r\n'), '503'),
        (Server(status=b'nonsense\r\n\r\n'), 'ProtocolError'),
        (Server(body=INCOMPLETE_LIST), 'instance list'),
        (Server(body=b'[1]'), 'instance list'),
    ],
)
def test_failure_raises_a_platform_error(server, error_text):
    async def read(reader):
        with pytest.raises(http_platform.PlatformError, match=error_text):
            await reader.get('head')
            await reader.read()

    read_from(server, read)


def test_absent_value_is_none():
    missing = b'HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n'
    get = functools.partial(http_platform.HttpPlatformReader.get, name='head')
    assert read_from(Server(status=missing), get) is None
