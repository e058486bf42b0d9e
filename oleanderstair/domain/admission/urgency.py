"""Orders the ranks of the routes that lead to a service."""

import typing

from oleanderstair.domain import world
from oleanderstair.domain.tables import routes

NEUTRAL: typing.Final = 0.5
"""The urgency of all calls of a service whose routes have one rank."""


def urgency_of(state: world.World, service: str, rank: int) -> float:
    """Return the urgency of a rank at a service, from 0 to 1.

    It is 1 for the most urgent rank that a route to the service has, and 0 for
    the least urgent. The routes of a split count at each of its services.
    """
    ranks = ranks_of(state, service)
    if len(ranks) < 2 or rank not in ranks:
        return NEUTRAL
    return 1 - ranks.index(rank) / (len(ranks) - 1)


def ranks_of(state: world.World, service: str) -> tuple[int, ...]:
    """Return the ranks of the routes to a service, the most urgent first."""
    table = state.admission
    if table.indexed_routing is not state.routes.in_force:
        table.indexed_routing = state.routes.in_force
        table.ranks_by_service = _index_ranks(state.routes.in_force)
    return table.ranks_by_service.get(service, ())


def _index_ranks(
    in_force: routes.Routing | None,
) -> dict[str, tuple[int, ...]]:
    found: dict[str, set[int]] = {}
    by_host = in_force.routes_by_host if in_force else {}
    for of_host in by_host.values():
        for route in of_host:
            for part in route.parts:
                if part.weight:
                    found.setdefault(part.service, set()).add(route.rank)
    return {service: tuple(sorted(ranks)) for service, ranks in found.items()}
