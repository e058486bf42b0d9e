"""Rate limit in bytes for the messages from this instance to its peers.

Control messages and note bodies have a token bucket each.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, messages, world
from oleanderstair.domain.fleet import codec
from oleanderstair.domain.tables import instances

BURST_MS: typing.Final = 1000
"""The burst of control messages, as a time at the configured rate."""

FRAME_OVERHEAD_BYTES: typing.Final = 36
"""The overhead of ZMTP framing and CURVE for each encoded message."""

_NOTE_BYTES_PER_S: typing.Final = 1_000_000
"""The rate limit for note bodies."""

_NOTE_BURST_BYTES: typing.Final = 4_000_000
"""The capacity of the bucket for note bodies."""

_MS_PER_S: typing.Final = 1000


def message_bytes(message: messages.Message) -> int:
    """Return the size of ``message`` on the wire, framing included."""
    return len(codec.encode(message)) + FRAME_OVERHEAD_BYTES


def available_bytes(state: world.World, now_ms: clock.Millis) -> float:
    """Return the bytes of control messages that may be sent now."""
    _refill_buckets(state, now_ms)
    return state.traffic.tokens


def send_message(
    state: world.World,
    incarnation: str,
    address: str,
    message: messages.Message,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send a message, or drop and count it if its bucket is too low."""
    _refill_buckets(state, now_ms)
    table = state.traffic
    size_bytes = message_bytes(message)
    if isinstance(message, messages.NoteBody):
        if table.note_tokens < size_bytes:
            return [_count_dropped(message)]
        table.note_tokens -= size_bytes
    else:
        if table.tokens < size_bytes:
            return [_count_dropped(message)]
        table.tokens -= size_bytes
    return [actions.SendPeer(incarnation, address, message)]


def send_messages(
    state: world.World,
    peer: instances.Peer,
    batch: list[messages.Message],
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send messages to one peer in the given order, the most urgent first.

    A message for which too few tokens are left is dropped.
    """
    sent: list[actions.Action] = []
    for message in batch:
        sent.extend(
            send_message(
                state, peer.incarnation, peer.peer_address, message, now_ms
            ),
        )
    return sent


def send_to_peers(
    state: world.World,
    peers: list[instances.Peer],
    message: messages.Message,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send one message to several peers."""
    sent: list[actions.Action] = []
    for peer in peers:
        sent.extend(send_messages(state, peer, [message], now_ms))
    return sent


def _refill_buckets(state: world.World, now_ms: clock.Millis) -> None:
    table = state.traffic
    bytes_per_s = state.policy.peer_bytes_per_s
    # The elapsed time of a new instance is infinite, as it has never refilled
    # its buckets. The limit is long enough to fill both.
    elapsed_ms = min(now_ms - table.refilled_at_ms, _NOTE_BURST_BYTES)
    elapsed_s = max(elapsed_ms, 0) / _MS_PER_S
    burst_bytes = bytes_per_s * BURST_MS / _MS_PER_S
    table.tokens = min(burst_bytes, table.tokens + bytes_per_s * elapsed_s)
    table.note_tokens = min(
        _NOTE_BURST_BYTES,
        table.note_tokens + _NOTE_BYTES_PER_S * elapsed_s,
    )
    table.refilled_at_ms = now_ms


def _count_dropped(message: messages.Message) -> actions.Action:
    return actions.Count('peer-over-rate', type(message).__name__)
