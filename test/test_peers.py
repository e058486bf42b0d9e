"""The ZeroMQ link between instances over loopback sockets."""

import contextlib
import socket

import anyio
import pytest
import zmq

from oleanderstair import errors, settings
from oleanderstair.domain import messages
from oleanderstair.domain.fleet import codec
from oleanderstair.engine import frame_cache, peers
from soak import silencing

BOUND_S = 10
HEAD = messages.NoteHead(1, 'digest', confirmed=True)
STATE = messages.InstanceState(
    leaving=False,
    confirmed=True,
    note_number=1,
    note_digest='digest',
    largest_count=2,
)


def make_keys():
    public, secret = zmq.curve_keypair()
    return peers.Keys(public.decode(), secret.decode())


@contextlib.contextmanager
def open_links(*keys, silence_ms=300, heartbeats=True):
    peer_links = []
    counts = {}

    def count(name, label):
        counts[label] = counts.get(label, 0) + 1

    try:
        for number, pair in enumerate(keys):
            peer_links.append(
                peers.create(
                    '127.0.0.1',
                    0,
                    f'entry-{number}~a{number}',
                    pair,
                    silence_ms,
                    heartbeats,
                ),
            )
        peer_links[0].count_with(count)
        yield peer_links, counts
    finally:
        for link in peer_links:
            link.close()


async def send_until(link, address, condition, message=HEAD):
    """Send until ``condition`` holds, as the first sends may be dropped."""
    while not condition():
        link.send(address, message)
        await anyio.sleep(0.02)


async def receive_into(link, received):
    while True:
        received.append(await link.receive())


def run(work, *arguments):
    async def bounded():
        with anyio.fail_after(BOUND_S):
            async with anyio.create_task_group() as tasks:
                await work(tasks, *arguments)
                tasks.cancel_scope.cancel()

    anyio.run(bounded)


def test_peers_with_the_fleet_key_receive_messages():
    async def work(tasks):
        keys = make_keys()
        received = []
        with open_links(keys, keys) as (peer_links, _):
            tasks.start_soon(receive_into, peer_links[0], received)
            await send_until(
                peer_links[1], peer_links[0].address, lambda: received
            )
            assert received[0] == peers.ReceivedMessage('entry-1~a1', HEAD)

    run(work)


@pytest.mark.parametrize('kind', ['other key', 'only the public key', 'plain'])
def test_peer_without_the_fleet_key_is_refused_and_counted(kind):
    async def work(tasks):
        keys = make_keys()
        other = make_keys()
        received = []
        with open_links(keys, keys) as (peer_links, counts):
            unauthorized = peer_links[1]
            unauthorized._keys = peers.Keys()
            if kind == 'other key':
                unauthorized._keys = other
            tasks.start_soon(receive_into, peer_links[0], received)
            if kind == 'only the public key':
                connect_with(unauthorized, keys.public, other)

            def counted():
                peer_links[0]._count_refused_handshakes()
                return counts.get('stranger')

            await send_until(unauthorized, peer_links[0].address, counted)
            assert not received

    def connect_with(unauthorized, public, own):
        def connect(address):
            dealer = unauthorized._context.socket(zmq.DEALER)
            dealer.curve_serverkey = public.encode()
            dealer.curve_publickey = own.public.encode()
            dealer.curve_secretkey = own.secret.encode()
            dealer.connect(f'tcp://{address}')
            return dealer

        unauthorized._open_socket = connect

    run(work)


def test_malformed_frames_and_sender_ids_are_counted():
    async def work(tasks):
        received = []
        plain = peers.Keys()
        with open_links(plain, plain) as (peer_links, counts):
            tasks.start_soon(receive_into, peer_links[0], received)
            await send_until(
                peer_links[1], peer_links[0].address, lambda: received
            )
            dealer = (
                peer_links[1]
                ._connection_by_address[peer_links[0].address]
                .socket
            )
            dealer.send(b'')
            dealer.send(b''.join((b'\x02', codec.encode(HEAD)[1:])))
            dealer.send_multipart([b'one', b'two'])
            await until(lambda: counts.get('malformed') == 3)
            without_id = peer_links[1]._context.socket(zmq.DEALER)
            without_id.connect(f'tcp://{peer_links[0].address}')
            without_id.send(codec.encode(HEAD))
            await until(lambda: counts.get('malformed') == 4)
            without_id.close(0)

    run(work)


async def until(condition):
    while not condition():
        await anyio.sleep(0.01)


class Forwarder:
    """Forwards bytes of TCP connections, except those listed in ``silent``."""

    def __init__(self, host, port):
        self.host = host
        self.port = int(port)
        self.silent = set()
        self.opened = 0

    async def __call__(self, near):
        self.opened += 1
        number = self.opened
        async with await anyio.connect_tcp(self.host, self.port) as far:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.pump, number, near, far)
                tasks.start_soon(self.pump, number, far, near)

    async def pump(self, number, source, sink):
        with contextlib.suppress(anyio.EndOfStream, OSError):
            while True:
                chunk = await source.receive()
                if number not in self.silent:
                    await sink.send(chunk)


async def start_forwarder(tasks, address):
    """Serve a forwarder to ``address``; return it and where it listens."""
    forwarder = Forwarder(*address.split(':'))
    listener = await anyio.create_tcp_listener(
        local_host='127.0.0.1', family=socket.AF_INET
    )
    tasks.start_soon(listener.serve, forwarder)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    return forwarder, f'127.0.0.1:{port}'


def test_silent_connection_is_replaced():
    async def work(tasks):
        received = []
        keys = make_keys()
        with open_links(keys, keys) as (peer_links, _):
            forwarder, address = await start_forwarder(
                tasks, peer_links[0].address
            )
            tasks.start_soon(receive_into, peer_links[0], received)
            await send_until(peer_links[1], address, lambda: received)
            forwarder.silent.add(1)
            received.clear()
            await send_until(peer_links[1], address, lambda: received)
            assert forwarder.opened > 1

    run(work)


# Guards against a connection that is silent for good, and is kept because the
# peer sends messages over its own connection.
def test_silent_connection_to_a_peer_that_sends_is_replaced():
    async def work(tasks):
        plain = peers.Keys()
        received = []
        with open_links(plain, plain, heartbeats=False) as (peer_links, counts):
            forwarder, address = await start_forwarder(
                tasks, peer_links[1].address
            )
            tasks.start_soon(receive_into, peer_links[0], [])
            tasks.start_soon(receive_into, peer_links[1], received)
            await send_until(peer_links[0], address, lambda: received)
            forwarder.silent.add(1)
            await anyio.sleep(0.1)
            received.clear()
            query = messages.Pulse(STATE)
            with anyio.fail_after(3):
                while not received:
                    peer_links[1].send(peer_links[0].address, query)
                    peer_links[0].send(address, query, 'entry-1~a1')
                    await anyio.sleep(0.02)
            assert counts['replaced'] == 1

    run(work)


# Guards against pushes that are lost for good on a connection that is silent,
# as no query is sent on it.
def test_connection_without_acknowledgements_is_replaced():
    async def work(tasks):
        plain = peers.Keys()
        received = []
        with open_links(plain, plain, heartbeats=False) as (peer_links, _):
            address = peer_links[1].address
            tasks.start_soon(receive_into, peer_links[1], received)
            await send_until(peer_links[0], address, lambda: received)
            port = int(address.rpartition(':')[2])
            # Both ends of the connection are in this process.
            silenced = silencing.silence_connections(
                lambda own, peer: port in {own, peer}
            )
            assert silenced == 2
            await anyio.sleep(0.1)
            received.clear()
            with anyio.fail_after(3):
                await send_until(peer_links[0], address, lambda: received)

    run(work)


def test_peer_that_never_answers_gets_a_new_connection():
    async def work(tasks):
        received = []
        plain = peers.Keys()
        with open_links(plain, plain) as (peer_links, counts):
            tasks.start_soon(receive_into, peer_links[1], received)
            pulse = messages.Pulse(STATE)
            await send_until(
                peer_links[0],
                peer_links[1].address,
                lambda: counts.get('replaced'),
                pulse,
            )

    run(work)


@pytest.mark.parametrize(
    ('section', 'remedy'),
    [
        ({}, 'oleanderstair keys make'),
        ({'public_key': 'short', 'secret_key': 'short'}, 'peers.public_key'),
    ],
)
def test_settings_without_usable_keys_are_refused(section, remedy):
    with pytest.raises(errors.UserError, match=remedy):
        settings.build({'instance': {'id': 'entry-1'}, 'peers': section})


def test_repeated_message_is_encoded_once():
    encoder = frame_cache.create()
    body = messages.NoteBody(1, 'digest', b'all of it')
    first = encoder.encode(body)
    assert encoder.encode(body) is first
    assert encoder.encode(HEAD) == codec.encode(HEAD)
    assert encoder.encode(body) == first
