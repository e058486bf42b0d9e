"""Limits the connections that this instance may hold to one target."""

import typing

from oleanderstair.domain import world

MIN_CONNECTIONS: typing.Final = 2
"""The lower bound of the limit, however many instances there are."""

_DEFAULT_CONNECTIONS: typing.Final = 16
"""The limit while no configuration is in force."""


def target_connection_limit(state: world.World) -> int:
    """Return the maximum number of connections to one target.

    The number that a target accepts is divided by the largest recent count
    of instances, or by ``assumed_instances`` if that is larger. The lowest
    number of all services applies to every target. Without a configuration
    the limit is 16.
    """
    in_force = state.routes.in_force
    if in_force is None or not in_force.service_by_name:
        return _DEFAULT_CONNECTIONS
    accepted_connections = min(
        service.connections for service in in_force.service_by_name.values()
    )
    instance_count = max(
        state.instances.largest_count,
        state.policy.assumed_instances,
        1,
    )
    return max(accepted_connections // instance_count, MIN_CONNECTIONS)
