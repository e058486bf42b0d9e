"""Counts the instances that share a budget, as many as there were of late.

Whoever divides a budget must not count too few: in a split the others go on
spending their part. So the largest count of the last minutes holds.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world

COUNT_MS: typing.Final = 1000
"""How often instances are counted."""

HELD_MS: typing.Final = 600_000
"""How long a count holds after the last one that was as large."""


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Count the known instances, the lately dead among them."""
    table = state.instances
    if now_ms - table.counted_at_ms < COUNT_MS:
        return []
    table.counted_at_ms = now_ms
    place_by_id = {
        row.instance_id: row.data_centre
        for row in state.members.by_incarnation.values()
    }
    place_by_id[state.identity.instance_id] = state.identity.data_centre
    near = [
        instance_id
        for instance_id, place in place_by_id.items()
        if place == state.identity.data_centre
    ]
    table.counted_data_centres = frozenset(place_by_id.values())
    is_first = table.largest_at_ms == clock.NEVER_MS
    if is_first or len(place_by_id) > table.largest_count:
        table.grown_at_ms = now_ms
    is_over = now_ms - table.largest_at_ms > HELD_MS
    if is_over or len(place_by_id) >= table.largest_count:
        table.largest_at_ms = now_ms
        table.largest_count = len(place_by_id)
        table.largest_near_count = len(near)
        table.rank = sorted(place_by_id).index(state.identity.instance_id)
        table.near_rank = sorted(near).index(state.identity.instance_id)
    return []
