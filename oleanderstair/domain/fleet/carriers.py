"""Says which instances of a data centre carry the calls of a host.

Load shifts within milliseconds, so that who sends little to a service knows
little of its targets, and two who don't see each other's calls meet behind the
same slot. So the calls of a host go to few instances of each data centre: as
many as can carry what the targets there can serve, and always enough that the
loss of one leaves another. Other hosts go to others. All instances work the
same ones out of what they all know.
"""

import math
import typing

from oleanderstair.domain import rendezvous, world
from oleanderstair.domain.fleet import members
from oleanderstair.domain.tables import carriers
from oleanderstair.domain.tables import members as rows
from oleanderstair.domain.tables import routes

FEWEST: typing.Final = 2
"""How many instances carry a host at least, so that one may be lost."""

WORK_SHARE: typing.Final = 1 / 3
"""The part of its aim that a call is taken to keep a slot."""

_MS_PER_S: typing.Final = 1000


def of_host(
    state: world.World,
    host: str,
    data_centre: str,
) -> tuple[rows.Member, ...]:
    """Return the ready instances that carry a host in a data centre."""
    table = _table(state)
    place = (host, data_centre)
    found = table.rows_by_place.get(place)
    if found is None:
        found = _choose(state, host, data_centre)
        table.rows_by_place[place] = found
    return found


def of_service(
    state: world.World,
    service: str,
    data_centre: str,
) -> tuple[str, ...]:
    """Return the ids of the instances whose calls may go to a service.

    They are sorted; there are none where no route leads there.
    """
    table = _table(state)
    place = (service, data_centre)
    found = table.ids_by_place.get(place)
    if found is None:
        ids = {
            row.instance_id
            for host in table.hosts_by_service.get(service, ())
            for row in of_host(state, host, data_centre)
        }
        found = tuple(sorted(ids))
        table.ids_by_place[place] = found
    return found


def elsewhere(
    state: world.World,
    service: str,
    data_centre: str,
) -> tuple[str, ...]:
    """Return those of all data centres but one whose calls may go there."""
    table = _table(state)
    place = (service, data_centre)
    found = table.ids_elsewhere.get(place)
    if found is None:
        ids = {
            instance_id
            for other in members.view(state).living_by_data_centre
            if other != data_centre
            for instance_id in of_service(state, service, other)
        }
        found = tuple(sorted(ids))
        table.ids_elsewhere[place] = found
    return found


def _table(state: world.World) -> carriers.CarriersTable:
    """Return the table, emptied where what it was worked out of changed."""
    table = state.carriers
    in_force = state.routes.in_force
    number = in_force.number if in_force else 0
    known = (members.view(state).version, number, state.registry.revision)
    if table.known != known:
        if table.known[1] != number:
            table.hosts_by_service = _hosts_by_service(in_force)
        table.known = known
        table.rows_by_place.clear()
        table.ids_by_place.clear()
        table.ids_elsewhere.clear()
    return table


def _hosts_by_service(
    in_force: routes.Routing | None,
) -> dict[str, tuple[str, ...]]:
    found: dict[str, set[str]] = {}
    by_host = in_force.routes_by_host if in_force else {}
    for host, of_it in by_host.items():
        for route in of_it:
            for part in route.parts:
                found.setdefault(part.service, set()).add(host)
    return {service: tuple(sorted(hosts)) for service, hosts in found.items()}


def _choose(
    state: world.World,
    host: str,
    data_centre: str,
) -> tuple[rows.Member, ...]:
    by_id = {row.instance_id: row for row in _alike(state, data_centre)}
    if not by_id:
        return ()
    order = rendezvous.first(by_id, host, len(by_id))
    least = max(min(row.capacity for row in by_id.values()), 1)
    needed = _most_per_s(state, host, data_centre) / least
    count = max(FEWEST, math.ceil(needed))
    return tuple(by_id[instance_id] for instance_id in order[:count])


def _alike(state: world.World, data_centre: str) -> list[rows.Member]:
    """Return the large ready instances, or the few largest.

    Callers spread evenly over those that an answer names.
    """
    here = members.view(state).living_by_data_centre.get(data_centre, ())
    ready = [row for row in here if row.standing is rows.Standing.READY]
    ready.sort(key=lambda row: (-row.capacity, row.instance_id))
    large = members.large(ready)
    return large if len(large) >= FEWEST else ready[:FEWEST]


def _most_per_s(state: world.World, host: str, data_centre: str) -> float:
    """Return how many calls a second the targets of a host can serve."""
    registry = state.registry
    per_s = float()
    for service, aim_ms in _aim_by_service(state, host).items():
        slots = sum(
            registry.entry_by_id[target_id].slots
            for target_id in registry.ids_by_service.get(service, ())
            if registry.entry_by_id[target_id].data_centre == data_centre
        )
        per_s += slots * _MS_PER_S / (aim_ms * WORK_SHARE)
    return per_s


def _aim_by_service(state: world.World, host: str) -> dict[str, float]:
    """Return the shortest aim of the calls that a host sends to a service."""
    in_force = state.routes.in_force
    found: dict[str, float] = {}
    for route in in_force.routes_by_host.get(host, ()) if in_force else ():
        for part in route.parts:
            known_ms = found.get(part.service, math.inf)
            found[part.service] = min(known_ms, max(route.aim_ms, 1))
    return found
