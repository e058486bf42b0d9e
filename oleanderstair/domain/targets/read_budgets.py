"""Divides the read budget of a target's load report among all instances.

Each instance may read a target's load a whole number of times in any second.
The numbers add up to the budget without coordination. The instances of the
target's data centre share most of it, all others share the rest. Most of
each part goes to the instances that are assigned to the service. These are
the instances assigned to a host that has a route to it. Until its count of
instances is complete, an instance assumes the configured number. So instances
that start during a partition don't use the reads of those that they can't
reach.
"""

import typing
import zlib

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.fleet import host_assignment, member_list
from oleanderstair.domain.tables import load_reports, registry
from oleanderstair.domain.targets import (
    count_completeness,
    evacuations,
    locality,
)

READ_WINDOW_MS: typing.Final[clock.Millis] = 1050
"""How long a read counts against the budget.

This is a second plus the time by which two reads may arrive closer together
than they were sent.
"""

PARTIAL_VIEW_SHARE: typing.Final = 0.5
"""The share of its reads that an assigned instance uses with a partial view.

With a partial view it sees no live instance in some data centre that has
targets. Beyond a partition other instances may be assigned to the service.
"""

_BUDGET_USED_SHARE: typing.Final = 0.9
"""The share of the configured budget that is divided."""

_PROBE_SHARE: typing.Final = 0.05
"""The share of the budget for probes of random targets, by which instances
find out whether they reach any."""

_MS_PER_S: typing.Final = 1000

_LOCAL_SHARE: typing.Final = 0.75
"""The share of a target's reads for the instances of its data centre."""

_ASSIGNED_SHARE: typing.Final = 0.8
"""The share of a target's reads for the instances assigned to its service."""


def may_read(
    state: world.World,
    entry: registry.Entry,
    now_ms: clock.Millis,
    kept_count: int = 0,
) -> bool:
    """Return whether the budget allows a read of a target now.

    ``kept_count`` reads are left for later.
    """
    used_count = len(_recent_reads(state, entry, now_ms)) + kept_count
    return used_count < own_reads_per_s(state, entry, now_ms)


def spend_read(
    state: world.World,
    entry: registry.Entry,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a target may be read now; if so, count the read."""
    if not may_read(state, entry, now_ms):
        return False
    load = load_reports.load_of(state.loads, entry.target_id)
    recent = _recent_reads(state, entry, now_ms)
    load_reports.put_load(
        state.loads,
        load._replace(reads_at_ms=(*recent, now_ms)),
    )
    return True


def _recent_reads(
    state: world.World,
    entry: registry.Entry,
    now_ms: clock.Millis,
) -> tuple[clock.Millis, ...]:
    """Return when this instance has read a target within the window."""
    load = load_reports.load_of(state.loads, entry.target_id)
    return tuple(
        read_ms
        for read_ms in load.reads_at_ms
        if now_ms - read_ms < READ_WINDOW_MS
    )


def random_probe_interval_ms(state: world.World) -> clock.Millis:
    """Return how often each instance may probe a random target.

    If all instances do, the probes are ``_PROBE_SHARE`` of the budget.
    """
    instance_count = max(
        state.instances.largest_count, state.policy.assumed_instances, 1
    )
    target_count = max(evacuations.open_target_count(state), 1)
    probes_per_s = target_count * _PROBE_SHARE * state.policy.probes_per_s
    return instance_count / max(probes_per_s, 1) * _MS_PER_S


def own_reads_per_s(
    state: world.World,
    entry: registry.Entry,
    now_ms: clock.Millis,
) -> int:
    """Return how often this instance may read a target in any second.

    A remainder of the division is given to different instances for each
    target.
    """
    table = state.instances
    is_count_complete = count_completeness.is_count_complete(state, now_ms)
    assumed_count = 0 if is_count_complete else state.policy.assumed_instances
    local_count = max(
        table.largest_local_count,
        assumed_count / locality.data_centre_count(state),
        1,
    )
    instance_count = max(table.largest_count, assumed_count, 1)
    budget = _BUDGET_USED_SHARE * state.policy.probes_per_s
    local_share = _LOCAL_SHARE if instance_count > local_count else 1
    data_centre = entry.data_centre
    if data_centre == state.identity.data_centre:
        assigned_ids = host_assignment.instance_ids_for_service(
            state, entry.service, data_centre
        )
        share = _BudgetShare(
            local_share * budget,
            local_count,
            _rank_among(
                state, table.local_rank, table.largest_local_count, local_count
            ),
        )
    else:
        assigned_ids = host_assignment.remote_instance_ids_for_service(
            state, entry.service, data_centre
        )
        share = _BudgetShare(
            (1 - _LOCAL_SHARE) * budget,
            instance_count,
            _rank_among(state, table.rank, table.largest_count, instance_count),
        )
    return _divide_reads(state, entry, share, assigned_ids)


class _BudgetShare(typing.NamedTuple):
    """A part of the budget that ``instance_count`` instances divide.

    The count may be an assumed one, which need not be a whole number.
    ``rank`` is the position of this instance among them.
    """

    budget: float
    instance_count: float
    rank: int


def _rank_among(
    state: world.World,
    known_rank: int,
    known_count: int,
    instance_count: float,
) -> int:
    """Return the position of this instance among ``instance_count``.

    Instances that have just started know few others, and all would be among
    the first. They would read the same targets, and send them their calls.
    """
    if known_count >= instance_count:
        return known_rank
    return zlib.crc32(state.identity.instance_id.encode())


def _divide_reads(
    state: world.World,
    entry: registry.Entry,
    share: _BudgetShare,
    assigned_ids: tuple[str, ...],
) -> int:
    """Return how often this instance may read a target in any second.

    Most reads go to the assigned instances, whose number is independent of
    the number of all instances. One that sees at most half of its data centre
    may be on the minority side of a partition. It is treated as not assigned,
    as the assigned instances on the other side use their reads.
    """
    if not assigned_ids:
        return _own_part_of_reads(share, entry)
    other_share = share._replace(budget=share.budget * (1 - _ASSIGNED_SHARE))
    own_id = state.identity.instance_id
    if own_id not in assigned_ids or not sees_local_majority(state):
        return _own_part_of_reads(other_share, entry)
    view_share = 1 if _sees_all_data_centres(state) else PARTIAL_VIEW_SHARE
    budget = share.budget * _ASSIGNED_SHARE * view_share
    assigned_share = _BudgetShare(
        budget, len(assigned_ids), assigned_ids.index(own_id)
    )
    return max(
        _own_part_of_reads(assigned_share, entry),
        _own_part_of_reads(other_share, entry),
    )


def sees_local_majority(state: world.World) -> bool:
    """Return whether most instances of this data centre are live.

    True if more than half of their largest recent count are live.
    """
    live_by_data_centre = member_list.current_view(state).live_by_data_centre
    live_count = len(live_by_data_centre.get(state.identity.data_centre, ()))
    return 2 * live_count > state.instances.largest_local_count


def _sees_all_data_centres(state: world.World) -> bool:
    """Return whether each data centre with targets has a live instance."""
    live_by_data_centre = member_list.current_view(state).live_by_data_centre
    return locality.data_centres(state) <= live_by_data_centre.keys()


def _own_part_of_reads(share: _BudgetShare, entry: registry.Entry) -> int:
    """Return this instance's whole number of reads of a target per second.

    The remainder is given to different instances for each target.
    """
    rounded_count = int(share.instance_count) + (
        share.instance_count > int(share.instance_count)
    )
    whole, remainder = divmod(int(share.budget), rounded_count)
    offset = zlib.crc32(entry.target_id.encode())
    return whole + ((share.rank + offset) % rounded_count < remainder)
