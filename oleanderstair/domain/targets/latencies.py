"""Tracks latency by quantiles that few outliers can't move far."""

import typing

from oleanderstair import clock
from oleanderstair.domain.tables import services

_MEAN_WEIGHT: typing.Final = 0.05
_MEDIAN_STEP: typing.Final = 0.05
_HIGH_STEP: typing.Final = 0.1
_HIGH_QUANTILE: typing.Final = 0.99
_FADE: typing.Final = 0.9995
_FIRST_HIGH_FACTOR: typing.Final = 2
_ROBUST_WEIGHT: typing.Final = 0.2
_ROBUST_STEP: typing.Final = 0.5


def learn(
    load: services.ServiceLoad,
    took_ms: clock.Millis,
) -> services.ServiceLoad:
    """Add one latency to the quantiles of a service."""
    if not load.answered:
        return load._replace(
            answered=1,
            median_ms=took_ms,
            mean_ms=took_ms,
            high_ms=took_ms * _FIRST_HIGH_FACTOR,
            longest_ms=took_ms,
        )
    median_ms = _track(load.median_ms, took_ms, 0.5, _MEDIAN_STEP)
    high_ms = _track(load.high_ms, took_ms, _HIGH_QUANTILE, _HIGH_STEP)
    return load._replace(
        answered=load.answered + 1,
        median_ms=median_ms,
        mean_ms=load.mean_ms + _MEAN_WEIGHT * (took_ms - load.mean_ms),
        high_ms=max(high_ms, median_ms),
        longest_ms=max(took_ms, load.longest_ms * _FADE),
    )


def follow(known_ms: clock.Millis, took_ms: clock.Millis) -> clock.Millis:
    """Move an average towards a latency by at most a part of itself."""
    if not known_ms:
        return took_ms
    bound_ms = _ROBUST_STEP * known_ms
    step_ms = _ROBUST_WEIGHT * (took_ms - known_ms)
    return known_ms + min(max(step_ms, -bound_ms), bound_ms)


def _track(
    known_ms: clock.Millis,
    took_ms: clock.Millis,
    quantile: float,
    step: float,
) -> clock.Millis:
    if took_ms > known_ms:
        return known_ms * (1 + step * quantile)
    return known_ms * (1 - step * (1 - quantile))
