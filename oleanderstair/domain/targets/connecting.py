"""How many connections to one target this instance may hold."""

import typing

from oleanderstair.domain import world

LEAST: typing.Final = 2
"""What an instance may hold at any size of the fleet."""

_UNTOLD: typing.Final = 16


def limit_of(state: world.World) -> int:
    """Return the part of this instance of what a target accepts.

    It goes by the largest recent count of instances and by the service
    whose targets accept least.
    """
    in_force = state.routes.in_force
    if in_force is None or not in_force.service_by_name:
        return _UNTOLD
    accepted = min(
        service.connections for service in in_force.service_by_name.values()
    )
    count = max(
        state.instances.largest_count,
        state.policy.assumed_instances,
        1,
    )
    return max(accepted // count, LEAST)
