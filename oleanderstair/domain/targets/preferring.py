"""Prefers a few of many near targets, others at each instance.

Connections to these stay in use, and reports of them recent. The instances of
a data centre take windows of one shuffled ring of targets, spaced by their
ranks, so that each target is preferred by as many as any other, and a change
of either moves a window by a target or two.
"""

import functools
import math
import typing

from oleanderstair import clock
from oleanderstair.domain import rendezvous, world
from oleanderstair.domain.targets import counts, places

PREFERRED: typing.Final = 8
"""How many targets an instance prefers: twice those compared for one call, so
that a third may be slow, leaving or barred."""

PREFERRED_FROM: typing.Final = 12
"""From how many near targets on some are preferred."""

_RINGS: typing.Final = 256
"""How many rings are remembered, one for each service of late."""


def preferred_ids(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> tuple[str, ...]:
    """Return the few near targets that this instance goes to first.

    All are, while it isn't known how many instances share them.
    """
    near = places.near_ids(state, service)
    if len(near) < PREFERRED_FROM or not counts.knows_all(state, now_ms):
        return near
    table = state.instances
    count = max(table.largest_near_count, 1)
    return _window(near, service, table.near_rank * len(near) // count)


def holders(state: world.World, service: str) -> int:
    """Return by how many instances at most a near target is preferred."""
    near = len(places.near_ids(state, service))
    count = max(state.instances.largest_near_count, 1)
    return min(math.ceil(count * PREFERRED / max(near, 1)) + 1, count)


@functools.lru_cache(maxsize=_RINGS)
def _window(
    near: tuple[str, ...],
    service: str,
    start: int,
) -> tuple[str, ...]:
    ring = rendezvous.first(near, service, len(near))
    return tuple(ring[(start + step) % len(ring)] for step in range(PREFERRED))
