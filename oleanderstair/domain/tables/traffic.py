"""Token buckets for messages to peers, and round robin positions."""

import msgspec

from oleanderstair import clock


class TrafficTable(msgspec.Struct):
    """Two token buckets in bytes, and positions in rotations of peers.

    ``tokens`` are for control messages, ``note_tokens`` for note bodies.
    Peers echo ``nonce`` in replies to this incarnation.
    ``introduced_at_ms_by_address`` holds when a full heartbeat was last sent
    to each address.
    """

    tokens: float = 0
    note_tokens: float = 0
    refilled_at_ms: clock.Millis = clock.NEVER_MS
    local_turn: int = 0
    remote_turn: int = 0
    heartbeat_turn: int = 0
    nonce: int = 0
    introduced_at_ms_by_address: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )


def create() -> TrafficTable:
    """Create a table whose buckets fill at the first use."""
    return TrafficTable()
