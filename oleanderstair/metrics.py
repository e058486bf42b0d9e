"""Counters, and latency histograms kept by hdrhistogram."""

import typing

import msgspec
from hdrh import histogram

from oleanderstair import clock

_LOWEST_US: typing.Final = 1
_HIGHEST_US: typing.Final = 60_000_000
_SIGNIFICANT_DIGITS: typing.Final = 2
_BUCKET_BYTES: typing.Final = 4
_MAX_SERIES: typing.Final = 1000
"""The maximum number of counters, and of histograms. At the limit, new labels
are recorded under ``_OTHER_LABEL``."""

_OTHER_LABEL: typing.Final = 'other'
_US_PER_MS: typing.Final = 1000
_PERCENTILES: typing.Final = (50, 99, 99.9)

SeriesKey: typing.TypeAlias = tuple[str, str]
"""The name and label of a series."""


class Summary(typing.TypedDict):
    """The percentiles of one histogram, in ms."""

    name: str
    label: str
    count: int
    percentiles_ms: dict[str, float]


class Counter(typing.TypedDict):
    """The value of one counter."""

    name: str
    label: str
    count: int


class Report(typing.TypedDict):
    """All metrics of an instance."""

    counters: list[Counter]
    histograms: list[Summary]


class Metrics(msgspec.Struct):
    """Counters and histograms by name and label."""

    count_by_series: dict[SeriesKey, int] = msgspec.field(default_factory=dict)
    histogram_by_series: dict[SeriesKey, histogram.HdrHistogram] = (
        msgspec.field(
            default_factory=dict,
        )
    )

    def count(self, name: str, label: str = '', amount: int = 1) -> None:
        """Add ``amount`` to a counter.

        At ``_MAX_SERIES`` counters, new labels of a name share one counter.
        """
        key = (name, label)
        if len(self.count_by_series) >= _MAX_SERIES:
            key = key if key in self.count_by_series else (name, _OTHER_LABEL)
        self.count_by_series[key] = self.count_by_series.get(key, 0) + amount

    def observe(self, name: str, label: str, span_ms: clock.Millis) -> None:
        """Record a duration, clamped to the range of the histograms.

        At ``_MAX_SERIES`` histograms, new labels of a name share one.
        """
        series = self.histogram_by_series.get((name, label))
        if series is None:
            series = self._create_histogram(name, label)
        span_us = int(span_ms * _US_PER_MS)
        series.record_value(min(max(span_us, _LOWEST_US), _HIGHEST_US))

    def _create_histogram(
        self, name: str, label: str
    ) -> histogram.HdrHistogram:
        if len(self.histogram_by_series) >= _MAX_SERIES:
            label = _OTHER_LABEL
        return self.histogram_by_series.setdefault(
            (name, label),
            histogram.HdrHistogram(
                _LOWEST_US,
                _HIGHEST_US,
                _SIGNIFICANT_DIGITS,
                word_size=_BUCKET_BYTES,
            ),
        )

    def summarize_histograms(self) -> list[Summary]:
        """Return the percentiles of each histogram, by name and label."""
        return [
            Summary(
                name=name,
                label=label,
                count=series.get_total_count(),
                percentiles_ms={
                    f'p{percentile}': series.get_value_at_percentile(percentile)
                    / _US_PER_MS
                    for percentile in _PERCENTILES
                },
            )
            for (name, label), series in sorted(
                self.histogram_by_series.items()
            )
        ]


def create_report(metrics: Metrics) -> Report:
    """Return all counters and percentiles, by name and label."""
    counters = [
        Counter(name=name, label=label, count=amount)
        for (name, label), amount in sorted(metrics.count_by_series.items())
    ]
    return Report(counters=counters, histograms=metrics.summarize_histograms())


def create() -> Metrics:
    """Create an empty set of metrics."""
    return Metrics()
