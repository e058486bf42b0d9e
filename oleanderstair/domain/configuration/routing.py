"""Adopts whole configurations, and finds the route of a request."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import routes

SPLIT_LIMIT: typing.Final = 1024
"""How many splits of routes are remembered."""


def on_routing(
    state: world.World,
    event: events.RoutingRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Put a configuration in force; an older one changes nothing."""
    table = state.routes
    known = table.in_force
    if known is not None and event.routing.number <= known.number:
        return []
    table.in_force = event.routing
    table.adopted_at_ms = now_ms
    if table.refused and table.refused.number <= event.routing.number:
        table.refused = None
    unknown = ', '.join(event.routing.unknown_kinds)
    doubt = f'; calls of kind {unknown} run at most once' if unknown else ''
    return [
        actions.Audit(
            'configuration',
            str(event.routing.number),
            event.source,
            f'in force after {known.number if known else "none"}{doubt}',
        ),
    ]


def refuse(
    state: world.World,
    refused: routes.Refused | None,
    source: str,
) -> list[actions.Action]:
    """Note the newest configuration where that can't be read.

    The last good one stays in force.
    """
    table = state.routes
    if refused is None or refused == table.refused:
        return []
    if table.in_force and 0 < refused.number <= table.in_force.number:
        return []
    table.refused = refused
    return [
        actions.Count('configurations-refused'),
        actions.Audit(
            'configuration',
            str(refused.number),
            source,
            f'refused: {refused.why}',
        ),
    ]


def match(
    routing: routes.Routing,
    host: str,
    path: str,
) -> routes.Route | None:
    """Return the route with the longest prefix that begins ``path``."""
    for route in routing.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def index(
    found: typing.Iterable[routes.Route],
) -> dict[str, tuple[routes.Route, ...]]:
    """Return routes by host, the longest prefixes first."""
    by_host: dict[str, list[routes.Route]] = {}
    for route in found:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(of_host, key=_prefix_length, reverse=True))
        for host, of_host in by_host.items()
    }


def pick_service(state: world.World, route: routes.Route) -> str:
    """Return one of the route's services, so that weights hold soon.

    Each part earns its share of every call, and the one that is owed most
    pays. Instances begin at drawn credits, so that their errors differ.
    """
    if len(route.parts) == 1:
        return route.parts[0].service
    credits = _credits(state, route)
    whole = sum(part.weight for part in route.parts)
    for part in route.parts:
        if part.weight:
            credits[part.service] += part.weight / whole
    chosen = max(credits, key=credits.__getitem__)
    credits[chosen] -= 1
    return chosen


def _credits(state: world.World, route: routes.Route) -> dict[str, float]:
    """Return what each part of a route is owed, kept for as long as split."""
    table = state.routes.credit_by_parts
    key = (route.name, route.parts)
    if key not in table:
        while len(table) >= SPLIT_LIMIT:
            table.pop(next(iter(table)))
        table[key] = {
            part.service: state.rng.uniform(-1 / 2, 1 / 2)
            for part in route.parts
            if part.weight
        }
    return table[key]


def _prefix_length(route: routes.Route) -> int:
    return len(route.prefix)
