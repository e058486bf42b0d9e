"""Count the instances that share a fleet-wide budget.

The count must not be too low: during a network partition the unreachable
instances go on spending their part of the budget. So the largest count of the
last ``COUNT_KEPT_MS`` is used.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world

COUNT_PERIOD_MS: typing.Final = 1000
"""The interval between two counts."""

COUNT_KEPT_MS: typing.Final = 600_000
"""How long the largest count is kept after the last count of that size."""


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Count all known instances once a second, recently dead ones included.

    Keep the largest count and the ranks of this instance at that count.
    """
    table = state.instances
    if now_ms - table.counted_at_ms < COUNT_PERIOD_MS:
        return []
    table.counted_at_ms = now_ms
    data_centre_by_id = {
        row.instance_id: row.data_centre
        for row in state.members.member_by_incarnation.values()
    }
    data_centre_by_id[state.identity.instance_id] = state.identity.data_centre
    local_ids = [
        instance_id
        for instance_id, data_centre in data_centre_by_id.items()
        if data_centre == state.identity.data_centre
    ]
    table.counted_data_centres = frozenset(data_centre_by_id.values())
    is_first = table.largest_counted_at_ms == clock.NEVER_MS
    if is_first or len(data_centre_by_id) > table.largest_count:
        table.count_grew_at_ms = now_ms
    is_expired = now_ms - table.largest_counted_at_ms > COUNT_KEPT_MS
    if is_expired or len(data_centre_by_id) >= table.largest_count:
        table.largest_counted_at_ms = now_ms
        table.largest_count = len(data_centre_by_id)
        table.largest_local_count = len(local_ids)
        table.rank = sorted(data_centre_by_id).index(state.identity.instance_id)
        table.local_rank = sorted(local_ids).index(state.identity.instance_id)
    return []
