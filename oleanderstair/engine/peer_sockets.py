"""Opens the ZeroMQ sockets of the link between instances."""

import typing

import zmq

from oleanderstair.engine import strangers

_QUEUE_LIMIT: typing.Final = 200
"""How many frames wait in a socket, in either direction."""

_MAX_FRAME_BYTES: typing.Final = 4_000_000
"""The longest frame that is read."""

_RECONNECT_MS: typing.Final = 100
"""How long after a lost connection the first try to connect again is."""

_RECONNECT_MAX_MS: typing.Final = 2000
"""The longest pause between two such tries."""

_BACKLOG: typing.Final = 512
"""How many connections may wait to be accepted."""


class Keys(typing.NamedTuple):
    """The fleet's CURVE key pair in Z85; empty keys mean plain text."""

    public: str = ''
    secret: str = ''


class Options(typing.NamedTuple):
    """What holds for all sockets of a link.

    A connection that opens, or that ``heartbeats`` watch, may be silent for
    ``silence_ms``.
    """

    silence_ms: int
    heartbeats: bool


def open_router(
    context: 'zmq.Context[zmq.Socket[bytes]]',
    keys: Keys,
    options: Options,
) -> 'zmq.Socket[bytes]':
    """Return the socket for what arrives; it is not bound yet."""
    router = context.socket(zmq.ROUTER)
    _prepare(router, options)
    router.setsockopt(zmq.MAXMSGSIZE, _MAX_FRAME_BYTES)
    # A peer whose connection went silent may come back on a new one.
    router.setsockopt(zmq.ROUTER_HANDOVER, 1)
    router.setsockopt(zmq.BACKLOG, _BACKLOG)
    if keys.public:
        router.curve_server = True
        router.curve_secretkey = keys.secret.encode()
        router.curve_publickey = keys.public.encode()
        router.zap_domain = strangers.DOMAIN
    return router


def connect(
    dealer: 'zmq.Socket[bytes]',
    address: str,
    incarnation: bytes,
    keys: Keys,
    options: Options,
) -> 'zmq.Socket[bytes]':
    """Return ``dealer`` as it connects to the peer at ``address``."""
    _prepare(dealer, options)
    dealer.setsockopt(zmq.ROUTING_ID, incarnation)
    # Nothing is queued for a peer that is away: it would come as news.
    dealer.setsockopt(zmq.IMMEDIATE, 1)
    dealer.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
    dealer.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
    if keys.public:
        dealer.curve_serverkey = keys.public.encode()
        dealer.curve_publickey = keys.public.encode()
        dealer.curve_secretkey = keys.secret.encode()
    dealer.connect(f'tcp://{address}')
    return dealer


def _prepare(made: 'zmq.Socket[typing.Any]', options: Options) -> None:
    made.setsockopt(zmq.LINGER, 0)
    made.setsockopt(zmq.SNDHWM, _QUEUE_LIMIT)
    made.setsockopt(zmq.RCVHWM, _QUEUE_LIMIT)
    made.setsockopt(zmq.HANDSHAKE_IVL, options.silence_ms)
    if not options.heartbeats:
        return
    made.setsockopt(zmq.HEARTBEAT_IVL, options.silence_ms)
    made.setsockopt(zmq.HEARTBEAT_TIMEOUT, options.silence_ms)
    made.setsockopt(zmq.HEARTBEAT_TTL, 3 * options.silence_ms)
