"""Adopts configurations, and finds the route and service of a request."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import routes

MAX_SPLITS: typing.Final = 1024
"""For how many traffic splits the credits are kept."""


def on_configuration_read(
    state: world.World,
    event: events.RoutingRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Adopt a configuration if its number is above the one in force."""
    table = state.routes
    prior = table.in_force
    if prior is not None and event.routing.number <= prior.number:
        return []
    table.in_force = event.routing
    table.adopted_at_ms = now_ms
    if table.refused and table.refused.number <= event.routing.number:
        table.refused = None
    unknown = ', '.join(event.routing.unknown_kinds)
    kinds_text = (
        f'; calls of kind {unknown} run at most once' if unknown else ''
    )
    return [
        actions.Audit(
            'configuration',
            str(event.routing.number),
            event.source,
            f'in force after {prior.number if prior else "none"}{kinds_text}',
        ),
    ]


def record_refused(
    state: world.World,
    refused: routes.RefusedConfiguration | None,
    source: str,
) -> list[actions.Action]:
    """Record and audit a published configuration that can't be read.

    The last valid one stays in force. Nothing happens if ``refused`` is None,
    is recorded already, or has a readable number that is not above the one in
    force.
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


def find_route(
    routing: routes.Routing,
    host: str,
    path: str,
) -> routes.Route | None:
    """Return the route of ``host`` whose prefix of ``path`` is the longest.

    Return None if no route matches.
    """
    for route in routing.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def index_routes(
    all_routes: typing.Iterable[routes.Route],
) -> dict[str, tuple[routes.Route, ...]]:
    """Return the routes by host, ordered by descending prefix length."""
    by_host: dict[str, list[routes.Route]] = {}
    for route in all_routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(of_host, key=_prefix_length, reverse=True))
        for host, of_host in by_host.items()
    }


def pick_service(state: world.World, route: routes.Route) -> str:
    """Return a service of the route by smooth weighted round robin.

    Each call adds to a part's credit its share of the weights. The part with
    the highest credit is chosen, and its credit is reduced by 1. So the actual
    shares match the weights within a few calls. The credits start at random
    values, so that the rounding errors of instances do not add up.
    """
    if len(route.parts) == 1:
        return route.parts[0].service
    credits = _credits_of(state, route)
    total_weight = sum(part.weight for part in route.parts)
    for part in route.parts:
        if part.weight:
            credits[part.service] += part.weight / total_weight
    chosen = max(credits, key=credits.__getitem__)
    credits[chosen] -= 1
    return chosen


def _credits_of(state: world.World, route: routes.Route) -> dict[str, float]:
    """Return the credits of a route's parts by service, in calls.

    Parts of weight 0 have none. The credits last until the route's parts
    change or the oldest of ``MAX_SPLITS`` splits is dropped.
    """
    table = state.routes.credit_by_split
    key = (route.name, route.parts)
    if key not in table:
        while len(table) >= MAX_SPLITS:
            table.pop(next(iter(table)))
        table[key] = {
            part.service: state.rng.uniform(-1 / 2, 1 / 2)
            for part in route.parts
            if part.weight
        }
    return table[key]


def _prefix_length(route: routes.Route) -> int:
    return len(route.prefix)
