"""Writes metrics in the usual text format."""

import typing

from oleanderstair import metrics
from oleanderstair.explaining import gauges

CONTENT_TYPE: typing.Final = b'text/plain; version=0.0.4; charset=utf-8'

_PREFIX: typing.Final = 'oleanderstair'
_PERCENT: typing.Final = 100

_Labels: typing.TypeAlias = typing.Iterable[tuple[str, str]]


def write(
    measured: metrics.Metrics,
    figures: typing.Iterable[gauges.Gauge],
) -> str:
    """Return all counters, summaries and gauges, one sample a line."""
    report = metrics.create_report(measured)
    samples = [
        *_counters(report),
        *_summaries(report),
        *_gauges(figures),
    ]
    return ''.join(f'{sample}\n' for sample in samples)


def _counters(report: metrics.Report) -> typing.Iterator[str]:
    typed = ''
    for counter in report['counters']:
        name = _name_of(f'{counter["name"]}_total')
        if name != typed:
            yield f'# TYPE {name} counter'
        typed = name
        labels = _labels_of(counter['label'])
        yield _sample(name, labels, counter['count'])


def _summaries(report: metrics.Report) -> typing.Iterator[str]:
    typed = ''
    for summary in report['histograms']:
        name = _name_of(summary['name'])
        if name != typed:
            yield f'# TYPE {name} summary'
        typed = name
        labels = _labels_of(summary['label'])
        for percentile, span_ms in summary['percentiles_ms'].items():
            share = float(percentile.removeprefix('p')) / _PERCENT
            quantile = ('quantile', f'{share:g}')
            yield _sample(name, [*labels, quantile], span_ms)
        yield _sample(f'{name}_count', labels, summary['count'])


def _gauges(figures: typing.Iterable[gauges.Gauge]) -> typing.Iterator[str]:
    typed = ''
    for gauge in figures:
        name = _name_of(gauge.name)
        if name != typed:
            yield f'# TYPE {name} gauge'
        typed = name
        yield _sample(name, gauge.labels, gauge.figure)


def _name_of(name: str) -> str:
    return f'{_PREFIX}_{name}'.replace('-', '_')


def _labels_of(label: str) -> list[tuple[str, str]]:
    """Return the pairs of a label; one without names is named ``label``."""
    if not label:
        return []
    pairs = [part.partition('=') for part in label.split(' ')]
    if all(separator for _, separator, _ in pairs):
        return [(name, text) for name, _, text in pairs if text]
    return [('label', label)]


def _sample(name: str, labels: _Labels, figure: float) -> str:
    pairs = ','.join(f'{key}="{_escape(text)}"' for key, text in labels)
    braces = f'{{{pairs}}}' if pairs else ''
    return f'{name}{braces} {figure:.10g}'


def _escape(text: str) -> str:
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')
