"""Opens the ZeroMQ sockets for messages between instances."""

import typing

import zmq

from oleanderstair.domain.fleet import codec
from oleanderstair.engine import curve_keys

_MAX_QUEUED_FRAMES: typing.Final = 200
"""Maximum number of frames queued in a socket, in each direction."""

_RECONNECT_MS: typing.Final = 100
"""Delay of the first reconnect after a lost connection."""

_RECONNECT_MAX_MS: typing.Final = 2000
"""Maximum delay between two reconnects."""

_BACKLOG: typing.Final = 512
"""Maximum number of connections that are not accepted yet."""


class Keys(typing.NamedTuple):
    """The CURVE key pair of the fleet in Z85; empty keys disable encryption."""

    public: str = ''
    secret: str = ''


class SocketOptions(typing.NamedTuple):
    """Options for all sockets of an instance.

    ``silence_ms`` is the timeout of a handshake. With ``heartbeats``, it is
    also the interval and timeout of ZeroMQ heartbeats.
    """

    silence_ms: int
    heartbeats: bool


def open_router(
    context: 'zmq.Context[zmq.Socket[bytes]]',
    keys: Keys,
    options: SocketOptions,
) -> 'zmq.Socket[bytes]':
    """Return the socket that receives messages; the caller binds it."""
    router = context.socket(zmq.ROUTER)
    _set_options(router, options)
    router.setsockopt(zmq.MAXMSGSIZE, codec.MAX_MESSAGE_BYTES)
    # A peer whose old connection is dead may reconnect with the same id.
    router.setsockopt(zmq.ROUTER_HANDOVER, 1)
    router.setsockopt(zmq.BACKLOG, _BACKLOG)
    if keys.public:
        router.curve_server = True
        router.curve_secretkey = keys.secret.encode()
        router.curve_publickey = keys.public.encode()
        router.zap_domain = curve_keys.ZAP_DOMAIN
    return router


def connect_dealer(
    dealer: 'zmq.Socket[bytes]',
    address: str,
    incarnation: bytes,
    keys: Keys,
    options: SocketOptions,
) -> 'zmq.Socket[bytes]':
    """Configure ``dealer``, connect it to ``address`` and return it."""
    _set_options(dealer, options)
    dealer.setsockopt(zmq.ROUTING_ID, incarnation)
    # No messages are queued until a connection is open: they would arrive
    # out of date.
    dealer.setsockopt(zmq.IMMEDIATE, 1)
    dealer.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
    dealer.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
    # The system ends a connection on which sent bytes stay unacknowledged.
    dealer.setsockopt(zmq.TCP_MAXRT, 2 * options.silence_ms)
    if keys.public:
        dealer.curve_serverkey = keys.public.encode()
        dealer.curve_publickey = keys.public.encode()
        dealer.curve_secretkey = keys.secret.encode()
    dealer.connect(f'tcp://{address}')
    return dealer


def _set_options(
    zmq_socket: 'zmq.Socket[typing.Any]', options: SocketOptions
) -> None:
    zmq_socket.setsockopt(zmq.LINGER, 0)
    zmq_socket.setsockopt(zmq.SNDHWM, _MAX_QUEUED_FRAMES)
    zmq_socket.setsockopt(zmq.RCVHWM, _MAX_QUEUED_FRAMES)
    zmq_socket.setsockopt(zmq.HANDSHAKE_IVL, options.silence_ms)
    if not options.heartbeats:
        return
    zmq_socket.setsockopt(zmq.HEARTBEAT_IVL, options.silence_ms)
    zmq_socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, options.silence_ms)
    # The peer closes the connection after three intervals without traffic.
    zmq_socket.setsockopt(zmq.HEARTBEAT_TTL, 3 * options.silence_ms)
