"""Metrics with many labels, and log lines with hostile field values."""

import io
import re

import pytest

from oleanderstair import eliot_logs, logs, metrics

HOSTILE = (
    'a\nevent=forged x=1',
    'a\r\x1b[2J',
    'a" event="b',
    'a\\',
    '',
    'č',
)


def test_labels_beyond_the_limit_share_one_series():
    collected = metrics.create()
    for number in range(3000):
        collected.observe('added-ms', f'service-{number}', 1)
        collected.count('refused', f'reason-{number}')
    report = metrics.create_report(collected)
    assert len(report['histograms']) < 1100
    assert len(report['counters']) < 1100
    assert sum(entry['count'] for entry in report['histograms']) == 3000
    assert sum(entry['count'] for entry in report['counters']) == 3000


def test_percentiles_are_close_to_the_observed_values():
    collected = metrics.create()
    for span_ms in range(1, 1001):
        collected.observe('added-ms', 'burza/ran', span_ms)
    found = collected.summarize_histograms()[0]['percentiles_ms']
    assert found['p50'] == pytest.approx(500, rel=0.02)
    assert found['p99'] == pytest.approx(990, rel=0.02)


@pytest.mark.parametrize('hostile', HOSTILE)
def test_event_is_written_as_one_line_of_pairs(hostile):
    line = logs.format_line('fault', {'where': hostile})
    assert re.match(r'event=fault at=[\d.]+ where="', line)
    assert line.isascii()
    assert line.isprintable()
    assert len(io.StringIO(line).readlines()) == 1


@pytest.mark.parametrize('hostile', HOSTILE)
def test_eliot_event_is_written_as_one_line_of_pairs(hostile):
    fields = {'message_type': 'fault', 'where': hostile}
    line = eliot_logs.format_line(fields)
    assert line.startswith('event=fault where="')
    assert line.isascii()
    assert line.isprintable()
    assert len(io.StringIO(line).readlines()) == 1
    field_text = line.partition('where=')[2]
    assert field_text.replace(r'\\', '').replace(r'\"', '').count('"') == 2
