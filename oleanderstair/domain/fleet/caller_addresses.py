"""Choose the instance addresses that are returned to a caller.

Callers pick one of the returned addresses at random, so an instance receives
callers in proportion to how often its address is returned.
"""

import typing

from oleanderstair.domain import world
from oleanderstair.domain.fleet import host_assignment, member_list, regions
from oleanderstair.domain.tables import members

ADDRESS_LIMIT: typing.Final = 64
"""The largest number of addresses in an answer."""

_MIN_MEAN_SHARE: typing.Final = 0.5
"""The share of the mean number of ready instances per data centre below which
a data centre has too few."""


def choose_addresses(
    state: world.World, host: str, data_centre: str
) -> list[str]:
    """Return caller addresses for a host, in random order; may be empty.

    If ``data_centre`` has too few ready instances, addresses of other data
    centres follow, also in random order. They are of the same region if it has
    any.
    """
    ready = _instances_for_callers(state)
    local = list(host_assignment.instances_for_host(state, host, data_centre))
    if not local and len(ready) == 1:
        return [ready[0].caller_address]
    rng = state.address_rng
    rng.shuffle(local)
    local_ready_count = sum(row.data_centre == data_centre for row in ready)
    if local_ready_count < _min_ready_count(ready):
        local.extend(_remote_instances(state, host, data_centre))
    return [row.caller_address for row in local[:ADDRESS_LIMIT]]


def _remote_instances(
    state: world.World,
    host: str,
    data_centre: str,
) -> list[members.Member]:
    """Return the instances for a host in other data centres, shuffled.

    Data centres that are known to be in another region are left out, unless no
    other has a ready instance.
    """
    ready_by_data_centre = {
        other: host_assignment.instances_for_host(state, host, other)
        for other in member_list.current_view(state).live_by_data_centre
    }
    is_region_served = any(
        rows and not regions.is_other_region(state, data_centre, other)
        for other, rows in ready_by_data_centre.items()
    )
    remote = [
        row
        for other, rows in ready_by_data_centre.items()
        if other != data_centre
        and not (
            is_region_served
            and regions.is_other_region(state, data_centre, other)
        )
        for row in rows
    ]
    state.address_rng.shuffle(remote)
    return remote


def _instances_for_callers(state: world.World) -> list[members.Member]:
    """Return the live instances that accept callers.

    Where none is ready, this instance is returned, even if it is stopping,
    unless it is still starting.
    """
    live_by_data_centre = member_list.current_view(state).live_by_data_centre
    live = [
        row
        for data_centre_rows in live_by_data_centre.values()
        for row in data_centre_rows
    ]
    ready = [row for row in live if row.standing is members.Standing.READY]
    if ready:
        return ready
    own = member_list.own_row(state)
    return [] if own.standing is members.Standing.STARTING else [own]


def _min_ready_count(ready: list[members.Member]) -> int:
    """Return the number of ready instances that a data centre needs."""
    data_centres = {row.data_centre for row in ready}
    if not data_centres:
        return 0
    mean = len(ready) / len(data_centres)
    return max(host_assignment.MIN_HOST_INSTANCES, int(mean * _MIN_MEAN_SHARE))
