"""Which instances hold the watch on the head: a few per data centre.

Each instance ranks the live instances of its data centre by a hash, so no
election is needed; where two disagree for a while, one watch more is held.
"""

import hashlib
import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.fleet import live
from oleanderstair.domain.tables import instances

_RANK_MS: typing.Final = 1000


def is_reader(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether this instance watches the configuration service."""
    if state.instances.phase is instances.Phase.STOPPING:
        return False
    table = state.reads
    if now_ms - table.ranked_at_ms >= _RANK_MS:
        table.ranked_at_ms = now_ms
        table.is_reader = _is_among_first(state, now_ms)
    return table.is_reader


def _is_among_first(state: world.World, now_ms: clock.Millis) -> bool:
    own = state.identity
    here = (own.region, own.data_centre)
    names = [
        peer.instance_id
        for peer in live.heard_peers(state, now_ms)
        if (peer.region, peer.data_centre) == here and not peer.leaving
    ]
    ranked = sorted({own.instance_id, *names}, key=_rank)
    wanted = state.policy.readers_per_data_centre
    return own.instance_id in ranked[:wanted]


def _rank(instance_id: str) -> bytes:
    return hashlib.sha256(f'reader/{instance_id}'.encode()).digest()
