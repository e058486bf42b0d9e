"""Tracks mean, median, high quantile and maximum of latency.

The quantiles and the robust average move by a bounded step per sample, so
that a few outliers have little effect.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain.tables import services

_MEAN_WEIGHT: typing.Final = 0.05

_MEDIAN_STEP: typing.Final = 0.05
"""The step of the median, relative to it."""

_HIGH_STEP: typing.Final = 0.1
"""The step of the high quantile, relative to it."""

_HIGH_QUANTILE: typing.Final = 0.99

_LONGEST_DECAY: typing.Final = 0.9995
"""The factor by which the maximum decays with each sample."""

_FIRST_HIGH_FACTOR: typing.Final = 2
"""The first estimate of the high quantile, as a multiple of the sample."""

_AVERAGE_WEIGHT: typing.Final = 0.2

_MAX_AVERAGE_STEP: typing.Final = 0.5
"""The maximum step of the robust average, relative to it."""


def add_latency(
    load: services.ServiceLoad,
    latency_ms: clock.Millis,
) -> services.ServiceLoad:
    """Return the load of a service updated with one latency sample."""
    if not load.answered_count:
        return load._replace(
            answered_count=1,
            median_latency_ms=latency_ms,
            mean_latency_ms=latency_ms,
            high_latency_ms=latency_ms * _FIRST_HIGH_FACTOR,
            longest_latency_ms=latency_ms,
        )
    median_ms = _step_quantile(
        load.median_latency_ms, latency_ms, 0.5, _MEDIAN_STEP
    )
    high_ms = _step_quantile(
        load.high_latency_ms, latency_ms, _HIGH_QUANTILE, _HIGH_STEP
    )
    return load._replace(
        answered_count=load.answered_count + 1,
        median_latency_ms=median_ms,
        mean_latency_ms=load.mean_latency_ms
        + _MEAN_WEIGHT * (latency_ms - load.mean_latency_ms),
        high_latency_ms=max(high_ms, median_ms),
        longest_latency_ms=max(
            latency_ms, load.longest_latency_ms * _LONGEST_DECAY
        ),
    )


def update_average(
    estimate_ms: clock.Millis, latency_ms: clock.Millis
) -> clock.Millis:
    """Return an average moved towards a sample by a bounded step.

    Return the sample itself if there is no average yet.
    """
    if not estimate_ms:
        return latency_ms
    bound_ms = _MAX_AVERAGE_STEP * estimate_ms
    step_ms = _AVERAGE_WEIGHT * (latency_ms - estimate_ms)
    return estimate_ms + min(max(step_ms, -bound_ms), bound_ms)


def _step_quantile(
    estimate_ms: clock.Millis,
    latency_ms: clock.Millis,
    quantile: float,
    step: float,
) -> clock.Millis:
    """Return the estimate of a quantile, updated with a sample.

    The steps up and down are in the ratio of the quantile to its complement.
    So the estimate settles where that share of the samples is below it.
    """
    if latency_ms > estimate_ms:
        return estimate_ms * (1 + step * quantile)
    return estimate_ms * (1 - step * (1 - quantile))
