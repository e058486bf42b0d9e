"""Divides the slots of a service among the live instances.

Each instance prefers the slots of its own share. So instances rarely compete
for a slot, although none sees the calls of the others. The share is only a
preference: an outdated list of instances can cause refused attempts, but
never a call that runs where it must not.
"""

import collections
import typing
import zlib

from oleanderstair import clock
from oleanderstair.domain import rendezvous, world
from oleanderstair.domain.tables import catalogue, services, targets

_MIN_SUBSET_SIZE: typing.Final = 48
"""The size up to which all targets of a service are borrowable."""

_INSTANCES_PER_TARGET: typing.Final = 8
"""How many instances may borrow slots of one target, on average, at least."""


def own_share(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> services.SlotShare:
    """Return this instance's share of the slots of a service.

    The share is cached until the catalogue or the live instances change.
    """
    live_ids = live_instance_ids(state)
    table = state.services
    in_force = state.catalogue.in_force
    cached = table.share_by_service.get(service)
    if cached is not None and cached.digest == in_force.digest:
        if cached.live_instance_ids is live_ids:
            return cached
    share = _build_share(state, service, in_force)
    table.share_by_service[service] = share
    return share


def is_borrowed(state: world.World, service: str, target_id: str) -> bool:
    """Return whether one more call at a target would exceed the share.

    Also true if the instance has no share of the service yet.
    """
    share = state.services.share_by_service.get(service)
    if share is None:
        return True
    condition = targets.condition_of(state.targets, target_id)
    return condition.in_flight >= share.slots_by_target.get(target_id, 0)


def live_instance_ids(state: world.World) -> tuple[str, ...]:
    """Return the sorted ids of the listed instances that are not leaving.

    This instance is included. The same tuple object is returned until the
    instances change, so callers may compare by identity.
    """
    table = state.services
    listed_at_ms = state.instances.listed_at_ms
    if table.live_instance_ids_at_ms == listed_at_ms:
        return table.live_instance_ids
    table.live_instance_ids_at_ms = listed_at_ms
    live_ids = {
        entry.instance_id
        for entry in state.instances.listed_by_id.values()
        if not entry.leaving
    }
    live_ids.add(state.identity.instance_id)
    ordered_ids = tuple(sorted(live_ids))
    if ordered_ids != table.live_instance_ids:
        table.live_instance_ids = ordered_ids
    return table.live_instance_ids


def _build_share(
    state: world.World,
    service: str,
    in_force: catalogue.Catalogue,
) -> services.SlotShare:
    live_ids = state.services.live_instance_ids
    own_id = state.identity.instance_id
    offset = live_ids.index(own_id) + zlib.crc32(service.encode())
    ids = in_force.target_ids_by_service.get(service, ())
    own_slots: collections.Counter[str] = collections.Counter()
    for index, target_id in enumerate(_interleave_slots(in_force, ids)):
        if (index - offset) % len(live_ids) == 0:
            own_slots[target_id] += 1
    return services.SlotShare(
        digest=in_force.digest,
        live_instance_ids=live_ids,
        slots_by_target=dict(own_slots),
        borrowable_target_ids=_borrowable_target_ids(
            own_id, ids, len(live_ids), own_slots
        ),
    )


def _interleave_slots(
    in_force: catalogue.Catalogue,
    ids: tuple[str, ...],
) -> typing.Iterator[str]:
    """Yield each target once per slot: all first slots, then all second ones.

    Each round starts one target later, so that the slots of one instance
    belong to different targets.
    """
    counts = {
        target_id: in_force.target_by_id[target_id].slots for target_id in ids
    }
    for round_number in range(max(counts.values(), default=0)):
        start = round_number % len(ids)
        for target_id in (*ids[start:], *ids[:start]):
            if round_number < counts[target_id]:
                yield target_id


def _borrowable_target_ids(
    own_id: str,
    ids: typing.Sequence[str],
    instance_count: int,
    own_slots: typing.Iterable[str],
) -> tuple[str, ...]:
    """Return the targets that this instance may use beyond its share.

    For a large service these are a subset chosen by rendezvous hashing, so
    that each target is in the subsets of several instances. The targets of
    the share are added.
    """
    limit = max(
        _MIN_SUBSET_SIZE, _INSTANCES_PER_TARGET * len(ids) // instance_count
    )
    if len(ids) <= limit:
        return tuple(ids)
    return tuple(
        {
            **dict.fromkeys(rendezvous.top_members(ids, own_id, limit)),
            **dict.fromkeys(own_slots),
        },
    )
