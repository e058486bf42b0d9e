"""Divides the slots of a service among the live instances.

Each instance prefers the slots that are its own share, so that instances
which can't see each other's calls collide seldom. The share is a preference:
a stale list of instances costs refused attempts, never a wrong run.
"""

import collections
import typing
import zlib

from oleanderstair import clock
from oleanderstair.domain import rendezvous, world
from oleanderstair.domain.tables import catalogue, services, targets

_SPREAD_LIMIT: typing.Final = 48
_SPREAD_INSTANCES: typing.Final = 8


def share_of(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> services.Share:
    """Return this instance's share, worked out anew where its base moved."""
    live = roster(state)
    table = state.services
    in_force = state.catalogue.in_force
    known = table.share_by_service.get(service)
    if known is not None and known.digest == in_force.digest:
        if known.roster is live:
            return known
    made = _make_share(state, service, in_force)
    table.share_by_service[service] = made
    return made


def is_borrowed(state: world.World, service: str, target_id: str) -> bool:
    """Return whether one more call at a target exceeds the share."""
    share = state.services.share_by_service.get(service)
    if share is None:
        return True
    condition = targets.condition_of(state.targets, target_id)
    return condition.in_flight >= share.slots_by_target.get(target_id, 0)


def roster(state: world.World) -> tuple[str, ...]:
    """Return the live instances in order, the same value until they change."""
    table = state.services
    listed_at_ms = state.instances.listed_at_ms
    if table.roster_at_ms == listed_at_ms:
        return table.roster
    table.roster_at_ms = listed_at_ms
    live = {
        entry.instance_id
        for entry in state.instances.listed_by_id.values()
        if not entry.leaving
    }
    live.add(state.identity.instance_id)
    found = tuple(sorted(live))
    if found != table.roster:
        table.roster = found
    return table.roster


def _make_share(
    state: world.World,
    service: str,
    in_force: catalogue.Catalogue,
) -> services.Share:
    live = state.services.roster
    own_id = state.identity.instance_id
    rank = live.index(own_id) + zlib.crc32(service.encode())
    ids = in_force.target_ids_by_service.get(service, ())
    own: collections.Counter[str] = collections.Counter()
    for index, target_id in enumerate(_slots(in_force, ids)):
        if (index - rank) % len(live) == 0:
            own[target_id] += 1
    return services.Share(
        digest=in_force.digest,
        roster=live,
        slots_by_target=dict(own),
        others=_subset(own_id, ids, len(live), own),
    )


def _slots(
    in_force: catalogue.Catalogue,
    ids: tuple[str, ...],
) -> typing.Iterator[str]:
    """Yield each target once for each slot, all first slots first.

    Each level starts one target further on, so that the slots of one
    instance lie at different targets.
    """
    counts = {
        target_id: in_force.target_by_id[target_id].slots for target_id in ids
    }
    for level in range(max(counts.values(), default=0)):
        start = level % len(ids)
        for target_id in (*ids[start:], *ids[:start]):
            if level < counts[target_id]:
                yield target_id


def _subset(
    own_id: str,
    ids: typing.Sequence[str],
    instances: int,
    own: typing.Iterable[str],
) -> tuple[str, ...]:
    """Return the targets that may be used beyond the share.

    A large service is cut down by rendezvous hash, so that each target is
    in the subsets of several instances.
    """
    limit = max(_SPREAD_LIMIT, _SPREAD_INSTANCES * len(ids) // instances)
    if len(ids) <= limit:
        return tuple(ids)
    return tuple(
        {
            **dict.fromkeys(rendezvous.first(ids, own_id, limit)),
            **dict.fromkeys(own),
        },
    )
