"""Failed requests sorted by cause, from log lines alone."""

import json
import pathlib

import cappa
import pytest

from oleanderstair.explaining import failures, stories
from oleanderstair.ui import explain

LOGS = pathlib.Path(__file__).parent / 'logs'
CALL = 'event=call at=1.0 id=r runs=again most_sends=2 left_ms=900.0'
SENT = (
    'event=sent at=1.1 id=r attempt=1 target=i-1 why=first'
    ' report=1+0/4@1.00 report_age_ms=2.0'
)
TIMEOUT = 'event=refused at=1.9 id=r reason=timeout sends=1'
LEFT = 'event=caller-left at=1.9 id=r after_ms=900.0'


def sort(*lines: str) -> list[tuple[str, str]]:
    """Return how the requests of some lines failed, and why."""
    found = failures.find(stories.read('entry-1', lines))
    return [(failure.told, failure.why) for failure in found]


@pytest.mark.parametrize(
    ('beside', 'why'),
    [
        (
            'event=attempt-ended at=1.5 id=s target=i-1 verdict=broken',
            'others failed at its target meanwhile',
        ),
        (
            'event=sent at=1.5 id=s target=i-1 report=1+0/4@5.00',
            "its target's machine was slow to others meanwhile",
        ),
        (
            'event=sent at=1.5 id=s target=i-1 report=3+1/4@1.00',
            'its target became full meanwhile',
        ),
        (
            'event=attempt-ended at=1.5 id=s target=i-1 verdict=answered',
            'long work, while its target answered others',
        ),
        (
            'event=target-barred at=5.0 target=i-1',
            'long work; nothing ill was said of its target',
        ),
    ],
)
def test_what_others_met_at_a_target_explains_a_slow_call(
    beside: str,
    why: str,
) -> None:
    assert sort(CALL, SENT, TIMEOUT, beside)[0] == ('timeout', why)


@pytest.mark.parametrize(
    ('lines', 'told', 'why'),
    [
        (
            (CALL, SENT.replace('@1.00', '@4.00'), TIMEOUT),
            'timeout',
            "its target's machine was slow by its report",
        ),
        (
            (CALL, SENT.replace('report=', 'x='), TIMEOUT),
            'timeout',
            'its target gave no report before it',
        ),
        (
            (CALL, SENT, LEFT.replace('900', '300'), TIMEOUT),
            'caller-left',
            'its caller gave up before its deadline',
        ),
        (
            (
                CALL,
                'event=queued at=1.0 id=r',
                'event=refused at=1.1 id=r reason=overloaded',
            ),
            'overloaded',
            'others waited already',
        ),
        (
            (CALL, 'event=refused at=1.1 id=r reason=overloaded'),
            'overloaded',
            'the line was full',
        ),
        (
            (
                CALL.replace('again', 'once'),
                SENT,
                'event=attempt-ended at=1.2 id=r attempt=1 verdict=broken',
                'event=refused at=1.2 id=r reason=target-lost sends=1',
            ),
            'target-lost',
            'the connection broke; its route runs once',
        ),
        (
            ('event=rejected at=1.0 id=r reason=too-slow detail=x',),
            'too-slow',
            'the request is not as it must be',
        ),
        (
            ('event=caller-left at=1.0 id=r where=in-body after_ms=1.0',),
            'caller-left',
            'it left in-body',
        ),
        ((CALL,), 'not-ended', failures.UNKNOWN),
    ],
)
def test_a_failed_request_has_a_cause_in_a_few_words(
    lines: tuple[str, ...],
    told: str,
    why: str,
) -> None:
    assert sort(*lines) == [(told, why)]


def test_a_request_that_is_answered_in_time_is_none() -> None:
    answered = 'event=answered at=1.5 id=r status=200 after_ms=500.0'
    assert not sort(CALL, SENT, answered)
    late = f'{answered} late_ms=9.0'
    assert [told for told, _ in sort(CALL, SENT, late)] == ['late']


def test_every_failed_request_of_a_hunted_day_has_a_cause() -> None:
    lines = (LOGS / 'hunted-day.log').read_text(encoding='utf-8').splitlines()
    found = failures.find(stories.read('all', lines))
    assert found
    assert failures.UNKNOWN not in {failure.why for failure in found}


def test_failures_are_counted_with_those_that_were_merged(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / 'entry-1.log'
    merged = 'event=refused-overloaded-merged at=2.0 route=a count=7'
    text = '\n'.join((CALL, SENT, TIMEOUT, merged, ''))
    path.write_text(text, encoding='utf-8')
    cappa.invoke(explain.Logs, argv=['failed', str(path), '--json'])
    document = json.loads(capsys.readouterr().out)[0]
    assert [row['request_id'] for row in document['failed']] == ['r']
    assert [row['requests'] for row in document['counts']] == [7, 1]
    cappa.invoke(explain.Logs, argv=['failed', str(path)])
    assert 'merged under load' in capsys.readouterr().out
