"""Authenticates peers by the CURVE key of the fleet."""

import importlib
import typing

import zmq

ZAP_DOMAIN: typing.Final = b'fleet'

_HANDSHAKE_FAILURES: typing.Final = (
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
)


class _FleetKeyCheck(typing.NamedTuple):
    """The credentials provider that the ZAP handler calls for each client."""

    public: bytes

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client's public key is that of the fleet."""
        return key == self.public


class KeyAuthenticator:
    """The ZAP (ZeroMQ authentication) handler of one context."""

    def __init__(self, authenticator: typing.Any, public: str) -> None:
        """Accept only connections with the ``public`` key."""
        self._authenticator = authenticator
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain=ZAP_DOMAIN.decode(),
            credentials_provider=_FleetKeyCheck(public.encode()),
        )

    def close(self) -> None:
        """Stop the ZAP handler."""
        self._authenticator.stop()


def create(
    context: 'zmq.Context[zmq.Socket[bytes]]', public: str
) -> KeyAuthenticator:
    """Create an authenticator; this needs a running event loop."""
    # Imported here, so that a link without keys doesn't load these modules.
    zmq_asyncio = importlib.import_module('zmq.asyncio')
    zmq_auth = importlib.import_module('zmq.auth.asyncio')
    shadow_context = zmq_asyncio.Context.shadow(context)
    return KeyAuthenticator(
        zmq_auth.AsyncioAuthenticator(shadow_context), public
    )


def monitor_refused_handshakes(
    router: 'zmq.Socket[bytes]',
    context: 'zmq.Context[zmq.Socket[bytes]]',
) -> 'zmq.Socket[bytes]':
    """Return a socket that receives an event per failed handshake."""
    endpoint = f'inproc://refused-{id(router)}'
    router.monitor(endpoint, _HANDSHAKE_FAILURES)
    handshake_failures = context.socket(zmq.PAIR)
    handshake_failures.setsockopt(zmq.LINGER, 0)
    handshake_failures.connect(endpoint)
    return handshake_failures


def count_refused_handshakes(handshake_failures: 'zmq.Socket[bytes]') -> int:
    """Return the number of failed handshakes since the last call."""
    count = 0
    while handshake_failures.poll(0, zmq.POLLIN):
        handshake_failures.recv_multipart(zmq.NOBLOCK)
        count += 1
    return count
