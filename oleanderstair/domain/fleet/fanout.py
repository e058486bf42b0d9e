"""Chooses the few peers that hear something in a round."""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import instances

LOCAL_PEERS: typing.Final = 2
OUTSIDE_PEERS: typing.Final = 1


def choose(
    state: world.World,
    now_ms: clock.Millis,
) -> list[instances.Peer]:
    """Return a few heard peers in the data centre and one outside.

    The turn goes round, so that each peer is reached within a bounded time.
    """
    own = state.identity
    local: list[instances.Peer] = []
    outside: list[instances.Peer] = []
    for incarnation in sorted(state.instances.peer_by_incarnation):
        peer = state.instances.peer_by_incarnation[incarnation]
        if now_ms - peer.heard_at_ms > state.policy.peer_silence_ms:
            continue
        near = (peer.region, peer.data_centre) == (own.region, own.data_centre)
        (local if near else outside).append(peer)
    table = state.traffic
    chosen = _take(local, table.local_turn, LOCAL_PEERS)
    chosen += _take(outside, table.outside_turn, OUTSIDE_PEERS)
    table.local_turn += LOCAL_PEERS
    table.outside_turn += _outside_stride(state, len(outside))
    return chosen


def _take(
    peers: list[instances.Peer],
    turn: int,
    count: int,
) -> list[instances.Peer]:
    wanted = min(count, len(peers))
    return [peers[(turn + step) % len(peers)] for step in range(wanted)]


def _outside_stride(state: world.World, count: int) -> int:
    # Instances that take the same turns would all reach the same peer.
    return state.rng.randrange(count) if count else 0
