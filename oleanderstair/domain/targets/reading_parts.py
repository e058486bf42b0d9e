"""Divides the reads of a target's load among all instances.

Each instance has a whole number of reads of a target in any second. The
parts add up to the budget without a word between instances: those of the
target's data centre share most of it, the others the rest. Who can't tell yet
how many there are assumes a number, so that those that start while some are cut
off don't spend the part of these.
"""

import typing
import zlib

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import load_reports, registry
from oleanderstair.domain.targets import counts, places, preferring

WINDOW_MS: typing.Final[clock.Millis] = 1050
"""How long a read counts: a second, and what reads may come together."""

_USED: typing.Final = 0.95
_NEAR_SHARE: typing.Final = 0.75
_PREFERRED_SHARE: typing.Final = 0.8
"""The share of a near target's reads of those that prefer it."""


def spend(
    state: world.World,
    entry: registry.Entry,
    now_ms: clock.Millis,
) -> bool:
    """Count one read of a target and return whether it may be made."""
    known = load_reports.load_of(state.loads, entry.target_id)
    recent = tuple(
        read_ms for read_ms in known.read_at_ms if now_ms - read_ms < WINDOW_MS
    )
    if len(recent) >= own_part(state, entry, now_ms):
        return False
    load_reports.put_load(
        state.loads,
        known._replace(read_at_ms=(*recent, now_ms)),
    )
    return True


def own_part(
    state: world.World,
    entry: registry.Entry,
    now_ms: clock.Millis,
) -> int:
    """Return how often this instance may read a target in any second.

    What can't be divided goes to some instances, others for each target.
    """
    table = state.instances
    if counts.knows_all(state, now_ms):
        assumed = 0
    else:
        assumed = state.policy.assumed_instances
    near = max(table.largest_near_count, assumed / places.count(state), 1)
    every = max(table.largest_count, assumed, 1)
    budget = _USED * state.policy.probes_per_s
    near_share = _NEAR_SHARE if every > near else 1
    if entry.data_centre == state.identity.data_centre:
        return _near_part(state, entry, near_share * budget, near, now_ms)
    return _part((1 - _NEAR_SHARE) * budget, every, table.rank, entry)


def _near_part(
    state: world.World,
    entry: registry.Entry,
    budget: float,
    near: float,
    now_ms: clock.Millis,
) -> int:
    """Return the part of a near target's reads, most for who prefers it."""
    every = places.near_ids(state, entry.service)
    found = preferring.preferred_ids(state, entry.service, now_ms)
    rank = state.instances.near_rank
    if len(found) == len(every):
        return _part(budget, near, rank, entry)
    if entry.target_id in found:
        holders = preferring.holders(state, entry.service)
        return int(_PREFERRED_SHARE * budget / holders)
    return _part((1 - _PREFERRED_SHARE) * budget, near, rank, entry)


def _part(
    budget: float,
    count: float,
    rank: int,
    entry: registry.Entry,
) -> int:
    holders = int(count) + (count > int(count))
    whole, left = divmod(int(budget), holders)
    turn = zlib.crc32(entry.target_id.encode())
    return whole + ((rank + turn) % holders < left)
