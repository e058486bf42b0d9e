"""Estimates the latency of a route by its latest calls."""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import latencies, routes

_MIN_SAMPLES: typing.Final = 12
_MEDIAN_QUANTILE: typing.Final = 0.5
_P80_QUANTILE: typing.Final = 0.8
_P95_QUANTILE: typing.Final = 0.95
_AIM_PER_MEDIAN: typing.Final = 3.0
_AIM_PER_P95: typing.Final = 2.0


class ExpectedLatency(typing.NamedTuple):
    """Quantiles of the latency of a route, in ms.

    These are the median and the 80th and 95th percentile.
    """

    median_ms: clock.Millis
    p80_ms: clock.Millis
    p95_ms: clock.Millis


def route_latency(state: world.World, route: routes.Route) -> ExpectedLatency:
    """Return the latency quantiles of a route.

    With too few samples they are derived from the route's latency target;
    the 80th percentile is then the same as the 95th.
    """
    spans = latencies.sorted_latencies(state.latencies, route.name)
    if len(spans) < _MIN_SAMPLES:
        median_ms = route.aim_ms / _AIM_PER_MEDIAN
        p95_ms = route.aim_ms / _AIM_PER_P95
        return ExpectedLatency(median_ms, p95_ms, p95_ms)
    return ExpectedLatency(
        _quantile(spans, _MEDIAN_QUANTILE),
        _quantile(spans, _P80_QUANTILE),
        _quantile(spans, _P95_QUANTILE),
    )


def _quantile(spans: list[clock.Millis], share: float) -> clock.Millis:
    return spans[int(share * (len(spans) - 1))]
