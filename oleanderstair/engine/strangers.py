"""Admits peers that hold the fleet's key, and counts who is refused."""

import importlib
import typing

import zmq

DOMAIN: typing.Final = b'fleet'

_REFUSALS: typing.Final = (
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
)


class _FleetKey(typing.NamedTuple):
    public: bytes

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client's public key is the fleet's."""
        return key == self.public


class Gate:
    """The ZAP handler of one context."""

    def __init__(self, authenticator: typing.Any, public: str) -> None:
        """Admit the holder of the ``public`` key only."""
        self._authenticator = authenticator
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain=DOMAIN.decode(),
            credentials_provider=_FleetKey(public.encode()),
        )

    def close(self) -> None:
        """Stop answering."""
        self._authenticator.stop()


def create(context: 'zmq.Context[zmq.Socket[bytes]]', public: str) -> Gate:
    """Create a gate; it must be made inside a running event loop."""
    # A link without keys starts without what only a gate needs.
    awaited = importlib.import_module('zmq.asyncio')
    handlers = importlib.import_module('zmq.auth.asyncio')
    shadow = awaited.Context.shadow(context)
    return Gate(handlers.AsyncioAuthenticator(shadow), public)


def watch_refusals(
    router: 'zmq.Socket[bytes]',
    context: 'zmq.Context[zmq.Socket[bytes]]',
) -> 'zmq.Socket[bytes]':
    """Return a socket that tells of refused handshakes at ``router``."""
    endpoint = f'inproc://refused-{id(router)}'
    router.monitor(endpoint, _REFUSALS)
    refused = context.socket(zmq.PAIR)
    refused.setsockopt(zmq.LINGER, 0)
    refused.connect(endpoint)
    return refused


def refusals(refused: 'zmq.Socket[bytes]') -> int:
    """Return how many handshakes were refused since the last call."""
    count = 0
    while refused.poll(0, zmq.POLLIN):
        refused.recv_multipart(zmq.NOBLOCK)
        count += 1
    return count
