"""Assign the calls of each host to a few instances of each data centre.

The load of a target changes within milliseconds. An instance that sends few
calls to a service has little information on its targets, and two instances
that don't see each other's calls may pick the same slot. So each host has as
few instances in a data centre as can handle what the targets there can serve,
and at least two, so that the loss of one leaves another. Rendezvous hashing
spreads the hosts over the instances. All instances compute the same
assignment from the same members, routes and targets.
"""

import math
import typing

from oleanderstair.domain import rendezvous, world
from oleanderstair.domain.fleet import member_list
from oleanderstair.domain.tables import host_assignments, members, routes

MIN_HOST_INSTANCES: typing.Final = 2
"""The fewest instances for a host, so that one may be lost."""

MIN_CAPACITY_SHARE: typing.Final = 0.5
"""The lowest capacity of an assigned instance, as a share of the largest;
callers spread evenly over the returned addresses, whatever the capacity."""

SERVICE_TIME_SHARE: typing.Final = 1 / 3
"""The assumed time that a call occupies a slot, as a share of its latency
target."""

_MS_PER_S: typing.Final = 1000


def instances_for_host(
    state: world.World,
    host: str,
    data_centre: str,
) -> tuple[members.Member, ...]:
    """Return the ready instances assigned to a host in a data centre."""
    table = _current_table(state)
    key = (host, data_centre)
    assigned = table.rows_by_host.get(key)
    if assigned is None:
        assigned = _assign_instances(state, host, data_centre)
        table.rows_by_host[key] = assigned
    return assigned


def instance_ids_for_service(
    state: world.World,
    service: str,
    data_centre: str,
) -> tuple[str, ...]:
    """Return the sorted ids of the instances that may call a service.

    These are all that are assigned to a host with a route to the service;
    empty where no route leads to it.
    """
    table = _current_table(state)
    key = (service, data_centre)
    assigned = table.ids_by_service.get(key)
    if assigned is None:
        ids = {
            row.instance_id
            for host in table.hosts_by_service.get(service, ())
            for row in instances_for_host(state, host, data_centre)
        }
        assigned = tuple(sorted(ids))
        table.ids_by_service[key] = assigned
    return assigned


def hosts_of_service(state: world.World, service: str) -> tuple[str, ...]:
    """Return the sorted hosts that have a route to a service."""
    return _current_table(state).hosts_by_service.get(service, ())


def remote_instance_ids_for_service(
    state: world.World,
    service: str,
    data_centre: str,
) -> tuple[str, ...]:
    """Return the sorted ids of instances that may call a service.

    Instances of ``data_centre`` are left out.
    """
    table = _current_table(state)
    key = (service, data_centre)
    assigned = table.remote_ids_by_service.get(key)
    if assigned is None:
        ids = {
            instance_id
            for other in member_list.current_view(state).live_by_data_centre
            if other != data_centre
            for instance_id in instance_ids_for_service(state, service, other)
        }
        assigned = tuple(sorted(ids))
        table.remote_ids_by_service[key] = assigned
    return assigned


def _current_table(state: world.World) -> host_assignments.HostAssignmentsTable:
    """Return the table, cleared if members, routes or targets changed."""
    table = state.host_assignments
    in_force = state.routes.in_force
    configuration_number = in_force.number if in_force else 0
    versions = (
        member_list.current_view(state).version,
        configuration_number,
        state.registry.revision,
    )
    if table.source_versions != versions:
        if table.source_versions[1] != configuration_number:
            table.hosts_by_service = _hosts_by_service(in_force)
        table.source_versions = versions
        table.rows_by_host.clear()
        table.ids_by_service.clear()
        table.remote_ids_by_service.clear()
    return table


def _hosts_by_service(
    in_force: routes.Routing | None,
) -> dict[str, tuple[str, ...]]:
    hosts_by_service: dict[str, set[str]] = {}
    routes_by_host = in_force.routes_by_host if in_force else {}
    for host, host_routes in routes_by_host.items():
        for route in host_routes:
            for part in route.parts:
                hosts_by_service.setdefault(part.service, set()).add(host)
    return {
        service: tuple(sorted(hosts))
        for service, hosts in hosts_by_service.items()
    }


def _assign_instances(
    state: world.World,
    host: str,
    data_centre: str,
) -> tuple[members.Member, ...]:
    row_by_id = {
        row.instance_id: row
        for row in _similar_capacity_instances(state, data_centre)
    }
    if not row_by_id:
        return ()
    ranked_ids = rendezvous.top_members(row_by_id, host, len(row_by_id))
    min_capacity = max(min(row.capacity for row in row_by_id.values()), 1)
    needed_count = _max_calls_per_s(state, host, data_centre) / min_capacity
    count = max(MIN_HOST_INSTANCES, math.ceil(needed_count))
    return tuple(row_by_id[instance_id] for instance_id in ranked_ids[:count])


def _similar_capacity_instances(
    state: world.World, data_centre: str
) -> list[members.Member]:
    """Return the ready instances of similar capacity.

    Where these are fewer than ``MIN_HOST_INSTANCES``, return the largest
    ready instances instead.
    """
    local = member_list.current_view(state).live_by_data_centre.get(
        data_centre, ()
    )
    ready = [row for row in local if row.standing is members.Standing.READY]
    ready.sort(key=lambda row: (-row.capacity, row.instance_id))
    max_capacity = ready[0].capacity if ready else 0
    large = [
        row
        for row in ready
        if row.capacity >= MIN_CAPACITY_SHARE * max_capacity
    ]
    return (
        large
        if len(large) >= MIN_HOST_INSTANCES
        else ready[:MIN_HOST_INSTANCES]
    )


def _max_calls_per_s(state: world.World, host: str, data_centre: str) -> float:
    """Return how many calls per second the targets of a host can serve.

    Only targets of ``data_centre`` count.
    """
    registry = state.registry
    calls_per_s = float()
    for service, aim_ms in _aim_ms_by_service(state, host).items():
        slots = sum(
            registry.entry_by_id[target_id].slots
            for target_id in registry.ids_by_service.get(service, ())
            if registry.entry_by_id[target_id].data_centre == data_centre
        )
        calls_per_s += slots * _MS_PER_S / (aim_ms * SERVICE_TIME_SHARE)
    return calls_per_s


def _aim_ms_by_service(state: world.World, host: str) -> dict[str, float]:
    """Return the shortest latency target of a host's routes, by service."""
    in_force = state.routes.in_force
    aim_ms_by_service: dict[str, float] = {}
    for route in in_force.routes_by_host.get(host, ()) if in_force else ():
        for part in route.parts:
            known_ms = aim_ms_by_service.get(part.service, math.inf)
            aim_ms_by_service[part.service] = min(
                known_ms, max(route.aim_ms, 1)
            )
    return aim_ms_by_service
