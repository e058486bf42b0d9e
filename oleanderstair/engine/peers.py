"""The link between instances: ZeroMQ over TCP with CURVE encryption.

All instances share the key pair of the fleet. A handshake with another key
fails and is counted. The routing id of a connection is the incarnation of the
sender.
"""

import asyncio
import re
import typing

import result
import zmq

from oleanderstair import clock
from oleanderstair.domain import messages
from oleanderstair.domain.fleet import codec
from oleanderstair.engine import (
    curve_keys,
    frame_cache,
    peer_sockets,
    zmq_receiver,
)

SILENCE_MS: typing.Final = 3000
"""Timeout of handshakes, and interval and timeout of ZeroMQ heartbeats. A
connection is replaced if a message stays unanswered for twice this time."""

_MAX_CONNECTIONS: typing.Final = 1024
"""Maximum number of open connections to peers, and of peers whose last
message time is stored."""

_MAX_WAITING_FRAMES: typing.Final = 64
"""Maximum number of frames, over all peers, that wait for connections."""

_CONNECT_WAIT_MS: typing.Final = 200
"""Maximum time that a frame waits for its connection to open."""

_ANSWER_WAIT_MS: typing.Final = 3000
"""Maximum time that the answer to a call waits, as it can't be sent again."""

_REOPEN_SHARE: typing.Final = 0.5
"""A connection that an answer waits for is opened anew after this share of the
time for which the answer has waited, so that a slow handshake can end."""

_MAX_WAITING_ANSWERS: typing.Final = 16
"""How many answers for one address wait that long, so that a peer that is gone
leaves room for others."""

_MAX_WAITING_ANSWER_BYTES: typing.Final = 8_000_000
"""Size of the waiting frames up to which an answer may wait that long."""

_SEND_RETRY_MS: typing.Final = 5
"""Interval between attempts to send the waiting frames."""

_MAX_UNUSED_MS: typing.Final = 60_000
"""Time without use after which a connection is closed."""

_PARTS_PER_MESSAGE: typing.Final = 2
"""Parts of a message from the router socket: the sender, and the frame."""

_INCARNATION: typing.Final = re.compile('[a-z0-9-]{1,63}~[0-9a-z]{1,32}')


Keys: typing.TypeAlias = peer_sockets.Keys
OnDrop: typing.TypeAlias = typing.Callable[[messages.Message], None]
"""Handle a message that was queued and dropped, so that no peer has it."""


class ReceivedMessage(typing.NamedTuple):
    """A message, and the incarnation of its sender."""

    sender: str
    message: messages.Message


class Link(typing.Protocol):
    """Exchanges messages with peers, without a guarantee of delivery."""

    def send(
        self,
        address: str,
        message: messages.Message,
        incarnation: str = '',
    ) -> int:
        """Send or queue a message without blocking.

        Return the size of its frame in bytes, 0 if it was dropped.
        """

    async def receive(self) -> ReceivedMessage:
        """Return the next valid message."""

    def close(self) -> None:
        """Close all sockets."""

    def count_with(self, count: typing.Callable[[str, str], None]) -> None:
        """Set the function that counts drops, refusals and replacements.

        Its parameters are the name of the counter and a label.
        """

    def report_drops_to(self, on_drop: OnDrop) -> None:
        """Set the function that handles queued messages that are dropped."""


class _PeerConnection(typing.NamedTuple):
    """A connection to a peer.

    ``oldest_unanswered_ms`` is the time of the oldest query that has no reply
    yet. ``oldest_call_ms`` is that of the oldest call after which the peer has
    sent nothing, as its answer may take long.
    """

    socket: 'zmq.Socket[bytes]'
    used_at_ms: clock.Millis
    oldest_unanswered_ms: clock.Millis | None = None
    oldest_call_ms: clock.Millis | None = None


class _LastReceived(typing.NamedTuple):
    """When a peer sent its last message, and its last reply to a query."""

    message_at_ms: clock.Millis
    reply_at_ms: clock.Millis = clock.NEVER_MS


class _WaitingFrame(typing.NamedTuple):
    address: str
    message: messages.Message
    frame: bytes
    drop_at_ms: clock.Millis

    @property
    def is_answer(self) -> bool:
        return isinstance(self.message, messages.KeyedAnswer)


class ZmqLink:
    """Receives on one ROUTER socket; sends on a DEALER per peer address."""

    def __init__(
        self,
        endpoint: str,
        incarnation: str,
        keys: Keys,
        silence_ms: clock.Millis,
        heartbeats: bool,
    ) -> None:
        """Bind to ``endpoint`` with ``incarnation`` as the sender id."""
        self._incarnation = incarnation.encode()
        self._silence_ms = int(silence_ms)
        self._keys = keys
        self._options = peer_sockets.SocketOptions(self._silence_ms, heartbeats)
        self._clock = clock.create_monotonic()
        self._count: typing.Callable[[str, str], None] = _discard_count
        self._on_drop: OnDrop = _ignore_drop
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._authenticator: curve_keys.KeyAuthenticator | None = None
        if keys.public:
            self._authenticator = curve_keys.create(self._context, keys.public)
        self._router = peer_sockets.open_router(
            self._context, keys, self._options
        )
        self._handshake_failures = curve_keys.monitor_refused_handshakes(
            self._router, self._context
        )
        self._router.bind(endpoint)
        self._receiver = zmq_receiver.create(self._router)
        self._connection_by_address: dict[str, _PeerConnection] = {}
        self._waiting: list[_WaitingFrame] = []
        self._frame_cache = frame_cache.create()
        self._last_received_by_incarnation: dict[str, _LastReceived] = {}

    @property
    def address(self) -> str:
        """Return the bound address as ``host:port``."""
        endpoint = self._router.getsockopt_string(zmq.LAST_ENDPOINT)
        return endpoint.removeprefix('tcp://')

    def count_with(self, count: typing.Callable[[str, str], None]) -> None:
        """Set the function that counts drops, refusals and replacements.

        Its parameters are the name of the counter and a label.
        """
        self._count = count

    def report_drops_to(self, on_drop: OnDrop) -> None:
        """Set the function that handles queued messages that are dropped."""
        self._on_drop = on_drop

    def send(
        self,
        address: str,
        message: messages.Message,
        incarnation: str = '',
    ) -> int:
        """Send or queue a message without blocking.

        Return the size of its frame in bytes, 0 if it was dropped. A queued
        frame may still be dropped later.

        A connection is replaced if ``incarnation`` leaves a query on it
        unanswered for too long. What the peer sends by itself comes over its
        own connection, and proves nothing about this one.
        """
        self._count_refused_handshakes()
        frame = self._frame_cache.encode(message)
        socket = self._get_or_open_socket(address, incarnation, message)
        if _try_send(socket, frame):
            return len(frame)
        return len(frame) if self._queue_frame(address, message, frame) else 0

    async def receive(self) -> ReceivedMessage:
        """Return the next valid message."""
        while True:
            received = _decode_message(await self._receiver.receive())
            if received is not None:
                self._record_received(received)
                return received
            self._count('peer-dropped', 'malformed')

    def close(self) -> None:
        """Close all sockets."""
        self._receiver.close()
        for connection in self._connection_by_address.values():
            connection.socket.close(0)
        self._router.disable_monitor()
        self._handshake_failures.close(0)
        if self._authenticator is not None:
            self._authenticator.close()
        self._context.destroy(0)

    def _queue_frame(
        self, address: str, message: messages.Message, frame: bytes
    ) -> bool:
        """Queue a frame until its connection opens.

        Return False if the queue is full; the frame is dropped then.
        """
        if len(self._waiting) >= _MAX_WAITING_FRAMES:
            self._count('peer-dropped', 'not-connected')
            return False
        drop_at_ms = self._clock.now_ms() + self._max_wait_ms(
            address, message, frame
        )
        if not self._waiting:
            self._schedule_retry()
        self._waiting.append(_WaitingFrame(address, message, frame, drop_at_ms))
        return True

    def _max_wait_ms(
        self, address: str, message: messages.Message, frame: bytes
    ) -> clock.Millis:
        if not isinstance(message, messages.KeyedAnswer):
            return _CONNECT_WAIT_MS
        answer_count = sum(
            waiting.address == address and waiting.is_answer
            for waiting in self._waiting
        )
        if answer_count >= _MAX_WAITING_ANSWERS:
            return _CONNECT_WAIT_MS
        waiting_bytes = sum(len(waiting.frame) for waiting in self._waiting)
        if waiting_bytes + len(frame) > _MAX_WAITING_ANSWER_BYTES:
            return _CONNECT_WAIT_MS
        return _ANSWER_WAIT_MS

    def _schedule_retry(self) -> None:
        # A task could outlive the sockets, so the timer calls a method that
        # checks whether they are closed.
        loop = asyncio.get_running_loop()
        loop.call_later(clock.to_seconds(_SEND_RETRY_MS), self._send_waiting)

    def _send_waiting(self) -> None:
        if self._context.closed:
            return
        now_ms = self._clock.now_ms()
        still_waiting: list[_WaitingFrame] = []
        dropped: list[messages.Message] = []
        awaited_addresses = {
            waiting.address: waiting.drop_at_ms - _ANSWER_WAIT_MS
            for waiting in reversed(self._waiting)
            if waiting.is_answer and now_ms <= waiting.drop_at_ms
        }
        for address, since_ms in awaited_addresses.items():
            self._reopen_if_due(address, since_ms, now_ms)
        for waiting in self._waiting:
            connection = self._connection_by_address.get(waiting.address)
            if connection is None or now_ms > waiting.drop_at_ms:
                if waiting.address not in awaited_addresses:
                    self._abandon_connecting(waiting.address)
                dropped.append(waiting.message)
            elif not _try_send(connection.socket, waiting.frame):
                still_waiting.append(waiting)
        self._waiting = still_waiting
        if still_waiting:
            self._schedule_retry()
        # Handling a drop may send, so the list is up to date before.
        for message in dropped:
            self._on_drop(message)

    def _reopen_if_due(
        self, address: str, since_ms: clock.Millis, now_ms: clock.Millis
    ) -> None:
        """Open a connection anew that did not open in time.

        An answer has waited for it since ``since_ms``.
        """
        max_age_ms = max((now_ms - since_ms) * _REOPEN_SHARE, _CONNECT_WAIT_MS)
        connection = self._connection_by_address.get(address)
        if connection is not None:
            if now_ms - connection.used_at_ms <= max_age_ms:
                return
            connection.socket.close(0)
        self._connection_by_address.pop(address, None)
        self._connection_by_address[address] = _PeerConnection(
            self._open_socket(address), now_ms
        )

    def _abandon_connecting(self, address: str) -> None:
        """Drop a frame, and close its connection, which did not open in time.

        The next frame opens a new one. The reconnect delay of the old one has
        grown, so it would reach a peer that is up again only later.
        """
        self._count('peer-dropped', 'not-connected')
        connection = self._connection_by_address.pop(address, None)
        if connection is not None:
            connection.socket.close(0)

    def _get_or_open_socket(
        self,
        address: str,
        incarnation: str,
        message: messages.Message,
    ) -> 'zmq.Socket[bytes]':
        now_ms = self._clock.now_ms()
        connection = self._connection_by_address.pop(address, None)
        if connection is not None:
            connection = self._clear_answered(connection, incarnation)
        if connection is not None and self._is_silent(connection, now_ms):
            connection.socket.close(0)
            self._count('peer-connections', 'replaced')
            connection = None
        if connection is None:
            connection = _PeerConnection(
                self._open_socket(address),
                now_ms,
            )
        if _is_query(message) and connection.oldest_unanswered_ms is None:
            connection = connection._replace(oldest_unanswered_ms=now_ms)
        is_call = isinstance(message, messages.KeyedCall)
        if is_call and connection.oldest_call_ms is None:
            connection = connection._replace(oldest_call_ms=now_ms)
        # The table is ordered by last use, so the first entry is the oldest.
        self._connection_by_address[address] = connection._replace(
            used_at_ms=now_ms
        )
        self._close_unused(now_ms)
        return connection.socket

    def _clear_answered(
        self, connection: _PeerConnection, incarnation: str
    ) -> _PeerConnection:
        """Clear the oldest query and call if the peer has answered since."""
        last = self._last_received_by_incarnation.get(incarnation)
        if last is None:
            return connection
        return connection._replace(
            oldest_unanswered_ms=_time_if_after(
                connection.oldest_unanswered_ms, last.reply_at_ms
            ),
            oldest_call_ms=_time_if_after(
                connection.oldest_call_ms, last.message_at_ms
            ),
        )

    def _is_silent(
        self, connection: _PeerConnection, now_ms: clock.Millis
    ) -> bool:
        # Twice the timeout, because ZeroMQ heartbeats already replace most
        # silent connections.
        return any(
            sent_at_ms is not None
            and now_ms - sent_at_ms > 2 * self._silence_ms
            for sent_at_ms in (
                connection.oldest_unanswered_ms,
                connection.oldest_call_ms,
            )
        )

    def _open_socket(self, address: str) -> 'zmq.Socket[bytes]':
        return peer_sockets.connect_dealer(
            self._context.socket(zmq.DEALER),
            address,
            self._incarnation,
            self._keys,
            self._options,
        )

    def _close_unused(self, now_ms: clock.Millis) -> None:
        table = self._connection_by_address
        oldest = next(iter(table))
        unused_ms = now_ms - table[oldest].used_at_ms
        if len(table) > _MAX_CONNECTIONS or unused_ms > _MAX_UNUSED_MS:
            table.pop(oldest).socket.close(0)

    def _record_received(self, received: ReceivedMessage) -> None:
        table = self._last_received_by_incarnation
        now_ms = self._clock.now_ms()
        known = table.pop(received.sender, None) or _LastReceived(now_ms)
        last = known._replace(message_at_ms=now_ms)
        if _is_reply(received.message):
            last = last._replace(reply_at_ms=now_ms)
        table[received.sender] = last
        if len(table) > _MAX_CONNECTIONS:
            table.pop(next(iter(table)))

    def _count_refused_handshakes(self) -> None:
        for _ in range(
            curve_keys.count_refused_handshakes(self._handshake_failures)
        ):
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

    Without ``heartbeats``, which cost bandwidth, a dead connection is detected
    only by a message that stays unanswered.
    """
    endpoint = f'tcp://{host}:{port or "*"}'
    return ZmqLink(endpoint, incarnation, keys, silence_ms, heartbeats)


def _try_send(dealer: 'zmq.Socket[bytes]', frame: bytes) -> bool:
    try:
        dealer.send(frame, zmq.NOBLOCK)
    except zmq.Again:
        return False
    return True


def _is_query(message: messages.Message) -> bool:
    """Return whether a live peer replies to this message at once."""
    if isinstance(message, (messages.Pulse, messages.Heartbeat)):
        return not message.reply
    return (
        isinstance(message, messages.Roster)
        and message.turn is messages.Turn.ASKS
    )


def _is_reply(message: messages.Message) -> bool:
    """Return whether a peer sends this message only in reply to a query."""
    if isinstance(message, (messages.Pulse, messages.Heartbeat)):
        return message.reply
    return (
        isinstance(message, messages.Roster)
        and message.turn is messages.Turn.ANSWERS
    )


def _time_if_after(
    sent_at_ms: clock.Millis | None, answered_at_ms: clock.Millis
) -> clock.Millis | None:
    """Return ``sent_at_ms`` if it was not answered since, else None."""
    if sent_at_ms is None or answered_at_ms >= sent_at_ms:
        return None
    return sent_at_ms


def _decode_message(parts: list[bytes]) -> ReceivedMessage | None:
    if len(parts) != _PARTS_PER_MESSAGE:
        return None
    sender = parts[0].decode('latin-1')
    if not _INCARNATION.fullmatch(sender):
        return None
    decoded = codec.decode(parts[1])
    if isinstance(decoded, result.Err):
        return None
    return ReceivedMessage(sender, decoded.ok_value)


def _discard_count(name: str, label: str) -> None:
    """Discard a count while no metrics are set."""


def _ignore_drop(message: messages.Message) -> None:
    """Ignore a dropped message while nothing handles it."""
