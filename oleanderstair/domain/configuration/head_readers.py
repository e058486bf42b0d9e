"""Selects the readers: the few instances per data centre that watch the head.

The head is the configuration value that identifies the newest note. Each
instance ranks the live instances of its data centre by a hash of their ids,
so no election is needed. While instances disagree about which are live, an
additional watch may be open.
"""

import hashlib
import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.fleet import peer_liveness
from oleanderstair.domain.tables import instances

_RANK_INTERVAL_MS: typing.Final = 1000
"""How often the ranking is recomputed."""


def is_reader(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether this instance is a reader of its data centre.

    True if it is not stopping and was among the first
    ``readers_per_data_centre`` live instances there when last ranked.
    """
    if state.instances.phase is instances.Phase.STOPPING:
        return False
    table = state.reads
    if now_ms - table.rank_checked_at_ms >= _RANK_INTERVAL_MS:
        table.rank_checked_at_ms = now_ms
        table.is_reader = _is_among_readers(state, now_ms)
    return table.is_reader


def _is_among_readers(state: world.World, now_ms: clock.Millis) -> bool:
    own = state.identity
    own_data_centre = (own.region, own.data_centre)
    peer_ids = [
        peer.instance_id
        for peer in peer_liveness.live_peers(state, now_ms)
        if (peer.region, peer.data_centre) == own_data_centre
        and not peer.leaving
    ]
    ranked = sorted({own.instance_id, *peer_ids}, key=_rank_key)
    reader_count = state.policy.readers_per_data_centre
    return own.instance_id in ranked[:reader_count]


def _rank_key(instance_id: str) -> bytes:
    return hashlib.sha256(f'reader/{instance_id}'.encode()).digest()
