"""The bytes that this instance may still send to its peers."""

import msgspec

from oleanderstair import clock


class TrafficTable(msgspec.Struct):
    """Two token buckets in bytes, and the peers' turns.

    ``tokens`` are for control messages, ``note_tokens`` for note bodies.
    Peers echo ``nonce`` when they answer this incarnation.
    """

    tokens: float = 0
    note_tokens: float = 0
    refilled_at_ms: clock.Millis = clock.NEVER_MS
    local_turn: int = 0
    outside_turn: int = 0
    heartbeat_turn: int = 0
    nonce: int = 0
    hello_at_ms_by_address: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )


def create() -> TrafficTable:
    """Create a table whose buckets fill at the first use."""
    return TrafficTable()
