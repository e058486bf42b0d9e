"""Says how long calls of a route take, from those of the last time."""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import latencies, routes

_EVIDENCE: typing.Final = 12
_TYPICAL: typing.Final = 0.5
_EARLY: typing.Final = 0.8
_LATE: typing.Final = 0.95
_AIM_PER_TYPICAL: typing.Final = 3.0
_AIM_PER_LATE: typing.Final = 2.0


class Expected(typing.NamedTuple):
    """How long most calls take, and how long only the slow ones, in ms."""

    typical_ms: clock.Millis
    early_ms: clock.Millis
    late_ms: clock.Millis


def of_route(state: world.World, route: routes.Route) -> Expected:
    """Return what calls of a route took, or guess it from its aim."""
    spans = latencies.sorted_of(state.latencies, route.name)
    if len(spans) < _EVIDENCE:
        typical_ms = route.aim_ms / _AIM_PER_TYPICAL
        late_ms = route.aim_ms / _AIM_PER_LATE
        return Expected(typical_ms, late_ms, late_ms)
    return Expected(
        _at(spans, _TYPICAL),
        _at(spans, _EARLY),
        _at(spans, _LATE),
    )


def _at(spans: list[clock.Millis], share: float) -> clock.Millis:
    return spans[int(share * (len(spans) - 1))]
