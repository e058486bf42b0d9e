"""The link between instances, by ZeroMQ over TCP with CURVE.

All instances share the fleet's key pair; who holds another key gets nothing
and is counted. A connection carries the incarnation as its routing id.
"""

import asyncio
import re
import typing

import result
import zmq

from oleanderstair import clock
from oleanderstair.domain import messages
from oleanderstair.domain.fleet import codec
from oleanderstair.engine import arrivals, frames, peer_sockets, strangers

SILENCE_MS: typing.Final = 3000
"""How long a connection may be silent before it is replaced."""

_DEALER_LIMIT: typing.Final = 1024
"""How many connections to peers are kept, and peers that were heard."""

_WAITING_LIMIT: typing.Final = 64
"""How many frames wait for connections that open."""

_CONNECT_MS: typing.Final = 200
"""How long a frame waits for its connection to open."""

_RETRY_MS: typing.Final = 5
"""How often waiting frames are tried again."""

_UNUSED_MS: typing.Final = 60_000
"""After how long without use a connection is closed."""

_FRAMES: typing.Final = 2
"""How many frames the router gives for a message: its sender and itself."""

_INCARNATION: typing.Final = re.compile('[a-z0-9-]{1,63}~[0-9a-z]{1,32}')


Keys: typing.TypeAlias = peer_sockets.Keys


class Heard(typing.NamedTuple):
    """A message and the incarnation that sent it."""

    sender: str
    message: messages.Message


class Link(typing.Protocol):
    """Send messages to peers and receive theirs; any may be lost."""

    def send(
        self,
        address: str,
        message: messages.Message,
        incarnation: str = '',
    ) -> int:
        """Send without waiting; return the bytes sent, 0 where dropped."""

    async def receive(self) -> Heard:
        """Return the next message that could be read."""

    def close(self) -> None:
        """Release the sockets."""

    def report_to(self, count: typing.Callable[[str, str], None]) -> None:
        """Count what is dropped, malformed, strange or replaced."""


class _Dealer(typing.NamedTuple):
    """A connection; ``asked_at_ms`` is the oldest unanswered question."""

    socket: 'zmq.Socket[bytes]'
    used_at_ms: clock.Millis
    asked_at_ms: clock.Millis | None = None


class _Waiting(typing.NamedTuple):
    address: str
    frame: bytes
    until_ms: clock.Millis


class ZmqLink:
    """One ROUTER for what arrives, one DEALER for each peer address."""

    def __init__(
        self,
        endpoint: str,
        incarnation: str,
        keys: Keys,
        silence_ms: clock.Millis,
        heartbeats: bool,
    ) -> None:
        """Bind to ``endpoint`` as ``incarnation``."""
        self._incarnation = incarnation.encode()
        self._silence_ms = int(silence_ms)
        self._keys = keys
        self._options = peer_sockets.Options(self._silence_ms, heartbeats)
        self._clock = clock.monotonic()
        self._count: typing.Callable[[str, str], None] = _count_nothing
        self._plain: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._gate: strangers.Gate | None = None
        if keys.public:
            self._gate = strangers.create(self._plain, keys.public)
        self._router = peer_sockets.open_router(
            self._plain, keys, self._options
        )
        self._refused = strangers.watch_refusals(self._router, self._plain)
        self._router.bind(endpoint)
        self._arrivals = arrivals.create(self._router)
        self._dealer_by_address: dict[str, _Dealer] = {}
        self._waiting: list[_Waiting] = []
        self._frames = frames.create()
        self._heard_at_ms_by_incarnation: dict[str, clock.Millis] = {}

    @property
    def address(self) -> str:
        """Return the bound host and port."""
        endpoint = self._router.getsockopt_string(zmq.LAST_ENDPOINT)
        return endpoint.removeprefix('tcp://')

    def report_to(self, count: typing.Callable[[str, str], None]) -> None:
        """Count what is dropped, malformed, strange or replaced."""
        self._count = count

    def send(
        self,
        address: str,
        message: messages.Message,
        incarnation: str = '',
    ) -> int:
        """Send without waiting; return the bytes sent, 0 where dropped.

        A connection on which ``incarnation`` does not answer is replaced.
        """
        self._count_strangers()
        frame = self._frames.frame_of(message)
        dealer = self._dealer(address, incarnation, _asks(message))
        if _try_send(dealer, frame):
            return len(frame)
        return len(frame) if self._wait(address, frame) else 0

    async def receive(self) -> Heard:
        """Return the next message that could be read."""
        while True:
            heard = _read(await self._arrivals.next())
            if heard is not None:
                self._note_heard(heard.sender)
                return heard
            self._count('peer-dropped', 'malformed')

    def close(self) -> None:
        """Release the sockets."""
        self._arrivals.close()
        for dealer in self._dealer_by_address.values():
            dealer.socket.close(0)
        self._router.disable_monitor()
        self._refused.close(0)
        if self._gate is not None:
            self._gate.close()
        self._plain.destroy(0)

    def _wait(self, address: str, frame: bytes) -> bool:
        """Keep a frame for the time that a new connection takes to open."""
        if len(self._waiting) >= _WAITING_LIMIT:
            self._count('peer-dropped', 'not-connected')
            return False
        until_ms = self._clock.now_ms() + _CONNECT_MS
        if not self._waiting:
            self._retry_soon()
        self._waiting.append(_Waiting(address, frame, until_ms))
        return True

    def _retry_soon(self) -> None:
        # The sockets are of asyncio as well, and a task would outlive them.
        loop = asyncio.get_running_loop()
        loop.call_later(clock.to_seconds(_RETRY_MS), self._retry)

    def _retry(self) -> None:
        if self._plain.closed:
            return
        now_ms = self._clock.now_ms()
        left = []
        for waiting in self._waiting:
            dealer = self._dealer_by_address.get(waiting.address)
            if dealer is None or now_ms > waiting.until_ms:
                self._drop_unconnected(waiting.address)
            elif not _try_send(dealer.socket, waiting.frame):
                left.append(waiting)
        self._waiting = left
        if left:
            self._retry_soon()

    def _drop_unconnected(self, address: str) -> None:
        """Give up a connection that did not open; the next one is tried anew.

        Else ever longer pauses between tries would hide that a peer is back.
        """
        self._count('peer-dropped', 'not-connected')
        dealer = self._dealer_by_address.pop(address, None)
        if dealer is not None:
            dealer.socket.close(0)

    def _dealer(
        self,
        address: str,
        incarnation: str,
        asks: bool,
    ) -> 'zmq.Socket[bytes]':
        now_ms = self._clock.now_ms()
        dealer = self._dealer_by_address.pop(address, None)
        if dealer is not None:
            dealer = self._settle(dealer, incarnation)
        if dealer is not None and self._is_silent(dealer, now_ms):
            dealer.socket.close(0)
            self._count('peer-connections', 'replaced')
            dealer = None
        if dealer is None:
            dealer = _Dealer(
                self._connect(address),
                now_ms,
            )
        if asks and dealer.asked_at_ms is None:
            dealer = dealer._replace(asked_at_ms=now_ms)
        # Insertion order is the order of use, so the first is the oldest.
        self._dealer_by_address[address] = dealer._replace(used_at_ms=now_ms)
        self._close_unused(now_ms)
        return dealer.socket

    def _settle(self, dealer: _Dealer, incarnation: str) -> _Dealer:
        """Forget the open question where the peer was heard since."""
        heard_at_ms = self._heard_at_ms_by_incarnation.get(incarnation)
        if heard_at_ms is None or dealer.asked_at_ms is None:
            return dealer
        if heard_at_ms < dealer.asked_at_ms:
            return dealer
        return dealer._replace(asked_at_ms=None)

    def _is_silent(self, dealer: _Dealer, now_ms: clock.Millis) -> bool:
        if dealer.asked_at_ms is None:
            return False
        # Twice the bound, as ZeroMQ's own heartbeat replaces most of them.
        return now_ms - dealer.asked_at_ms > 2 * self._silence_ms

    def _connect(self, address: str) -> 'zmq.Socket[bytes]':
        return peer_sockets.connect(
            self._plain.socket(zmq.DEALER),
            address,
            self._incarnation,
            self._keys,
            self._options,
        )

    def _close_unused(self, now_ms: clock.Millis) -> None:
        table = self._dealer_by_address
        oldest = next(iter(table))
        unused_ms = now_ms - table[oldest].used_at_ms
        if len(table) > _DEALER_LIMIT or unused_ms > _UNUSED_MS:
            table.pop(oldest).socket.close(0)

    def _note_heard(self, incarnation: str) -> None:
        table = self._heard_at_ms_by_incarnation
        table.pop(incarnation, None)
        table[incarnation] = self._clock.now_ms()
        if len(table) > _DEALER_LIMIT:
            table.pop(next(iter(table)))

    def _count_strangers(self) -> None:
        for _ in range(strangers.refusals(self._refused)):
            self._count('peer-dropped', 'stranger')


def create(
    host: str,
    port: int,
    incarnation: str,
    keys: Keys,
    silence_ms: clock.Millis = SILENCE_MS,
    heartbeats: bool = True,
) -> ZmqLink:
    """Create a link that is bound and ready to receive.

    Without ``heartbeats`` only a question that stays unanswered shows that
    a connection went silent; that costs no bytes.
    """
    endpoint = f'tcp://{host}:{port or "*"}'
    return ZmqLink(endpoint, incarnation, keys, silence_ms, heartbeats)


def _try_send(dealer: 'zmq.Socket[bytes]', frame: bytes) -> bool:
    try:
        dealer.send(frame, zmq.NOBLOCK)
    except zmq.Again:
        return False
    return True


def _asks(message: messages.Message) -> bool:
    """Return whether a live peer answers this message."""
    if isinstance(message, (messages.Pulse, messages.Heartbeat)):
        return not message.reply
    if isinstance(message, messages.Roster):
        return message.turn is messages.Turn.ASKS
    return isinstance(message, messages.KeyedCall)


def _read(parts: list[bytes]) -> Heard | None:
    if len(parts) != _FRAMES:
        return None
    sender = parts[0].decode('latin-1')
    if not _INCARNATION.fullmatch(sender):
        return None
    decoded = codec.decode(parts[1])
    if isinstance(decoded, result.Err):
        return None
    return Heard(sender, decoded.ok_value)


def _count_nothing(name: str, label: str) -> None:
    """Drop a count until there are metrics."""
