"""Keeps what this instance sends to its peers below a rate in bytes."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, messages, world
from oleanderstair.domain.fleet import codec
from oleanderstair.domain.tables import instances

BURST_MS: typing.Final = 1000
FRAME_BYTES: typing.Final = 36
"""What ZMTP framing and CURVE add to each encoded message."""

_NOTE_BYTES_PER_S: typing.Final = 1_000_000
_NOTE_BURST_BYTES: typing.Final = 4_000_000
_MS_PER_S: typing.Final = 1000


def size_of(message: messages.Message) -> int:
    """Return the bytes that ``message`` takes on the wire."""
    return len(codec.encode(message)) + FRAME_BYTES


def available(state: world.World, now_ms: clock.Millis) -> float:
    """Return the bytes of control messages that may be sent now."""
    _refill(state, now_ms)
    return state.traffic.tokens


def send(
    state: world.World,
    incarnation: str,
    address: str,
    message: messages.Message,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send a message, or drop and count it where the rate is used up."""
    _refill(state, now_ms)
    table = state.traffic
    size = size_of(message)
    if isinstance(message, messages.NoteBody):
        if table.note_tokens < size:
            return [_held(message)]
        table.note_tokens -= size
    else:
        if table.tokens < size:
            return [_held(message)]
        table.tokens -= size
    return [actions.SendPeer(incarnation, address, message)]


def send_each(
    state: world.World,
    peer: instances.Peer,
    batch: list[messages.Message],
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send several messages to one peer, the most urgent first."""
    sent: list[actions.Action] = []
    for message in batch:
        sent.extend(
            send(state, peer.incarnation, peer.peer_address, message, now_ms),
        )
    return sent


def send_to_all(
    state: world.World,
    peers: list[instances.Peer],
    message: messages.Message,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send one message to several peers."""
    sent: list[actions.Action] = []
    for peer in peers:
        sent.extend(send_each(state, peer, [message], now_ms))
    return sent


def _refill(state: world.World, now_ms: clock.Millis) -> None:
    table = state.traffic
    per_s = state.policy.peer_bytes_per_s
    # A new instance starts with full buckets; no gap grants more than that.
    passed_ms = min(now_ms - table.refilled_at_ms, _NOTE_BURST_BYTES)
    share = max(passed_ms, 0) / _MS_PER_S
    burst = per_s * BURST_MS / _MS_PER_S
    table.tokens = min(burst, table.tokens + per_s * share)
    table.note_tokens = min(
        _NOTE_BURST_BYTES,
        table.note_tokens + _NOTE_BYTES_PER_S * share,
    )
    table.refilled_at_ms = now_ms


def _held(message: messages.Message) -> actions.Action:
    return actions.Count('peer-over-rate', type(message).__name__)
