"""Choose the peers that receive a message in a gossip round."""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import instances

LOCAL_PEER_COUNT: typing.Final = 2
"""The number of peers per round in the data centre of this instance."""

REMOTE_PEER_COUNT: typing.Final = 1
"""The number of peers per round in all other data centres together."""


def choose_peers(
    state: world.World,
    now_ms: clock.Millis,
) -> list[instances.Peer]:
    """Return up to two peers of this data centre and one of another.

    Peers that have been silent for more than ``peer_silence_ms`` are left out.
    Local peers are chosen round robin, which bounds the time until each is
    reached. The position among the remote ones advances at random.
    """
    own = state.identity
    local: list[instances.Peer] = []
    remote: list[instances.Peer] = []
    for incarnation in sorted(state.instances.peer_by_incarnation):
        peer = state.instances.peer_by_incarnation[incarnation]
        if now_ms - peer.heard_at_ms > state.policy.peer_silence_ms:
            continue
        is_local = (peer.region, peer.data_centre) == (
            own.region,
            own.data_centre,
        )
        (local if is_local else remote).append(peer)
    table = state.traffic
    chosen = _peers_in_turn(local, table.local_turn, LOCAL_PEER_COUNT)
    chosen += _peers_in_turn(remote, table.remote_turn, REMOTE_PEER_COUNT)
    table.local_turn += LOCAL_PEER_COUNT
    table.remote_turn += _random_stride(state, len(remote))
    return chosen


def _peers_in_turn(
    peers: list[instances.Peer],
    first: int,
    count: int,
) -> list[instances.Peer]:
    limit = min(count, len(peers))
    return [peers[(first + step) % len(peers)] for step in range(limit)]


def _random_stride(state: world.World, count: int) -> int:
    # With a fixed stride all instances would choose the same remote peer.
    return state.rng.randrange(count) if count else 0
