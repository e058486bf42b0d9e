"""Limits the connections that this instance may hold to one target."""

import typing

from oleanderstair.domain import world

MIN_CONNECTIONS: typing.Final = 2
"""The lower bound of the limit, however many instances there are."""

_DEFAULT_CONNECTIONS: typing.Final = 16


def target_connection_limit(state: world.World) -> int:
    """Return the maximum number of connections to one target.

    The limit that a target accepts is divided by the largest recent count of
    instances. The lowest limit of all services applies to every target.
    """
    in_force = state.routes.in_force
    if in_force is None or not in_force.service_by_name:
        return _DEFAULT_CONNECTIONS
    accepted_count = min(
        service.connections for service in in_force.service_by_name.values()
    )
    count = max(
        state.instances.largest_count,
        state.policy.assumed_instances,
        1,
    )
    return max(accepted_count // count, MIN_CONNECTIONS)
