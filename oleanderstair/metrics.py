"""Metrics: counters, and latency histograms by hdrhistogram."""

import typing

import msgspec
from hdrh import histogram

from oleanderstair import clock

_LOWEST_US: typing.Final = 1
_HIGHEST_US: typing.Final = 60_000_000
_DIGITS: typing.Final = 2
_COUNTER_BYTES: typing.Final = 4
_SERIES_LIMIT: typing.Final = 1000
_OTHER: typing.Final = 'other'
_US_PER_MS: typing.Final = 1000
_PERCENTILES: typing.Final = (50, 99, 99.9)

Name: typing.TypeAlias = tuple[str, str]


class Summary(typing.TypedDict):
    """The percentiles of one histogram, in ms."""

    name: str
    label: str
    count: int
    percentiles_ms: dict[str, float]


class Counter(typing.TypedDict):
    """One counter."""

    name: str
    label: str
    count: int


class Report(typing.TypedDict):
    """All metrics of an instance."""

    counters: list[Counter]
    histograms: list[Summary]


class Metrics(msgspec.Struct):
    """Counters and histograms by name and label."""

    count_by_name: dict[Name, int] = msgspec.field(default_factory=dict)
    histogram_by_name: dict[Name, histogram.HdrHistogram] = msgspec.field(
        default_factory=dict,
    )

    def count(self, name: str, label: str = '', amount: int = 1) -> None:
        """Add ``amount`` to a counter; labels above the limit share one."""
        key = (name, label)
        if len(self.count_by_name) >= _SERIES_LIMIT:
            key = key if key in self.count_by_name else (name, _OTHER)
        self.count_by_name[key] = self.count_by_name.get(key, 0) + amount

    def observe(self, name: str, label: str, span_ms: clock.Millis) -> None:
        """Record a duration of ``span_ms`` ms."""
        found = self.histogram_by_name.get((name, label))
        if found is None:
            found = self._open_histogram(name, label)
        span_us = int(span_ms * _US_PER_MS)
        found.record_value(min(max(span_us, _LOWEST_US), _HIGHEST_US))

    def _open_histogram(self, name: str, label: str) -> histogram.HdrHistogram:
        if len(self.histogram_by_name) >= _SERIES_LIMIT:
            label = _OTHER
        return self.histogram_by_name.setdefault(
            (name, label),
            histogram.HdrHistogram(
                _LOWEST_US,
                _HIGHEST_US,
                _DIGITS,
                word_size=_COUNTER_BYTES,
            ),
        )

    def summaries(self) -> list[Summary]:
        """Return the percentiles of every histogram."""
        return [
            Summary(
                name=name,
                label=label,
                count=found.get_total_count(),
                percentiles_ms={
                    f'p{percentile}': found.get_value_at_percentile(percentile)
                    / _US_PER_MS
                    for percentile in _PERCENTILES
                },
            )
            for (name, label), found in sorted(self.histogram_by_name.items())
        ]


def describe(metrics: Metrics) -> Report:
    """Return all counters and percentiles, by name and label."""
    counters = [
        Counter(name=name, label=label, count=amount)
        for (name, label), amount in sorted(metrics.count_by_name.items())
    ]
    return Report(counters=counters, histograms=metrics.summaries())


def create() -> Metrics:
    """Create an empty set of metrics."""
    return Metrics()
