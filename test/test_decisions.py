"""Decision log lines: which are written, which merged, and how they parse."""

import os

import pytest

from oleanderstair.domain import actions, events, outcomes
from oleanderstair.domain.targets import outlier_detection
from oleanderstair.emulator import gateway_fleet, gateway_targets
from oleanderstair.explaining import beliefs, decisions, lines, sinks
from test import helper, test_gateway_fleet


def logged_fleet(
    **fields: int,
) -> tuple[gateway_fleet.GatewayFleet, sinks.ListSink]:
    """Return a fleet whose first instance logs its decisions to a list."""
    fleet = test_gateway_fleet.make_fleet(**fields)
    sink = sinks.ListSink()
    log = decisions.DecisionLog(
        fleet.member_by_id['entry-0'].state,
        sink,
        lambda: fleet.times.now_ms() / 1000,
    )
    fleet.on_step.append(
        lambda state, event, done: log.observe(
            fleet.times.now_ms(), event, done
        ),
    )
    return fleet, sink


def kinds_of(sink: sinks.ListSink, request_id: str) -> list[str]:
    """Return the kinds of the lines about one request, in order."""
    read = [lines.read(text) for text in sink.lines]
    return [
        line.kind
        for line in read
        if line is not None and line.field_by_name.get('id') == request_id
    ]


def test_successful_calls_are_merged_into_one_line_with_a_count() -> None:
    fleet, sink = logged_fleet()
    for _ in range(5):
        fleet.call('entry-0', 'lookup')
    fleet.run_for(2000)
    merged = [text for text in sink.lines if 'served-merged' in text]
    assert len(merged) == 1
    assert merged[0].endswith('route=lookup count=5')
    named = [text for text in sink.lines if 'id=' in text]
    assert not named


def test_all_lines_of_a_failed_call_are_written() -> None:
    fleet, sink = logged_fleet(targets=1)
    fleet.target_by_id['burza-0'].crashing_paths.add('/order/')
    fleet.call('entry-0', 'order', request_id='r-1')
    fleet.run_for(1000)
    assert kinds_of(sink, 'r-1') == [
        'call',
        'sampled',
        'sent',
        'attempt-ended',
        'refused',
    ]
    refused = lines.read(sink.lines[-1])
    assert refused is not None
    assert refused.field_by_name['outcome'] == 'unknown'
    assert refused.field_by_name['reason'] == 'target-lost'


def test_a_retry_line_has_its_reason() -> None:
    fleet, sink = logged_fleet()
    # Each call adds to the retry budget.
    for _ in range(20):
        fleet.call('entry-0', 'lookup')
        fleet.run_for(100)
    fleet.target_by_id['burza-1'].machine.slowed = 3
    shed = gateway_targets.Behaviour.SHED
    fleet.target_by_id['burza-0'].behaviour = shed
    fleet.call('entry-0', 'lookup', request_id='r-1')
    fleet.run_for(1000)
    assert any(
        'why=retry-after-shed' in text and 'id=r-1' in text
        for text in sink.lines
    )


def test_many_refusals_are_merged_with_a_count() -> None:
    fleet, sink = logged_fleet()
    for _ in range(1000):
        fleet.call('entry-0', 'nothing')
    fleet.run_for(1100)
    full = len([text for text in sink.lines if 'event=refused ' in text])
    merged = [
        lines.read(text)
        for text in sink.lines
        if 'event=refused-no-route-merged' in text
    ]
    counted = sum(
        int(line.field_by_name['count']) for line in merged if line is not None
    )
    assert 0 < full <= decisions.BURST_LINES
    assert full + counted == 1000


def test_a_store_outage_is_logged_once_at_each_end() -> None:
    fleet, sink = logged_fleet()
    fleet.store.down = True
    fleet.stores.cut_watches()
    fleet.run_for(3000)
    fleet.store.down = False
    fleet.run_for(25_000)
    kinds = [text.split()[0] for text in sink.lines if 'store-' in text]
    assert kinds == ['event=store-lost', 'event=store-regained']


def test_the_ejection_and_return_of_a_target_are_logged() -> None:
    state = helper.make_world()
    kinds: list[str] = []
    logged = beliefs.Beliefs(
        state, lambda at_ms, kind, fields: kinds.append(kind)
    )
    logged.note_target(0, 'burza-0')
    for _ in range(2):
        outlier_detection.record_failure(
            state, 'burza-0', outlier_detection.FAILURE_PENALTY, now_ms=10
        )
        logged.note_target(10, 'burza-0')
    outlier_detection.record_success(state, 'burza-0', now_ms=20)
    logged.note_target(20, 'burza-0')
    logged.note_target(30, 'burza-0')
    assert kinds == ['target-barred', 'target-trusted']


def test_peer_changes_are_merged_into_few_lines() -> None:
    fleet, sink = logged_fleet(instances=3)
    fleet.run_for(3000)
    fleet.kill('entry-2')
    fleet.run_for(8000)
    peer_lines = [text for text in sink.lines if 'event=peers' in text]
    assert 'came=' in peer_lines[0]
    assert 'went=entry-2~3' in peer_lines[-1]
    assert len(peer_lines) <= 3


def test_the_trail_of_an_ended_call_is_dropped() -> None:
    fleet, _ = logged_fleet()
    log = decisions.DecisionLog(
        fleet.member_by_id['entry-0'].state,
        sinks.ListSink(),
        fleet.times.now_ms,
    )
    fleet.on_step.append(
        lambda state, event, done: log.observe(0, event, done),
    )
    call_id = fleet.call('entry-0', 'lookup')
    fleet.call('entry-0', 'nothing')
    fleet.step('entry-0', events.CallerLeft(call_id))
    fleet.run_for(2000)
    assert not log._trail_by_call


@pytest.mark.parametrize(
    'text',
    ['plain', '', 'a "b" c', 'x=1 event=refused', 'a\nb', 'caffè\x00', '\\'],
)
def test_a_line_is_parsed_as_it_was_written(text: str) -> None:
    written = lines.write('call', (('id', text), ('count', 3)))
    assert '\n' not in written
    assert lines.read(f'12.3 entry-1 {written}') == lines.Line(
        '12.3 entry-1',
        'call',
        {'id': text, 'count': '3'},
    )


def test_a_slow_reader_loses_lines_and_does_not_block() -> None:
    reader, writer = os.pipe()
    sink = sinks.DescriptorSink(writer, held_bytes=1000)
    for _ in range(5000):
        sink.put('event=call id=1')
        sink.flush()
    assert sink.dropped
    os.read(reader, 1_000_000)
    before = sink.dropped
    sink.put('event=call id=2')
    sink.flush()
    assert sink.dropped <= before + 1
    os.close(reader)
    sink.put('event=call id=3')
    sink.flush()
    os.close(writer)


def test_the_time_that_a_call_was_held_is_logged_and_counted() -> None:
    state = helper.make_world()
    sink = sinks.ListSink()
    log = decisions.DecisionLog(state, sink, lambda: 1.0)
    received = events.CallReceived(1, '', 'GET', '/a', 900, request_id='r')
    log.hold(1, 120)
    refused = actions.Refuse(
        1,
        outcomes.Outcome.NOT_RUN,
        outcomes.Reason.UNCONFIRMED,
    )
    log.observe(500, received, [refused])
    call, ended = sink.lines
    assert 'held_ms=120' in call
    assert 'after_ms=120' in ended


def test_callers_that_leave_early_are_logged_up_to_a_rate() -> None:
    sink = sinks.ListSink()
    log = decisions.DecisionLog(helper.make_world(), sink, lambda: 1.0)
    for _ in range(decisions.BURST_LINES + 5):
        log.leave('r', 'in-body', 30, 500)
    log.observe(500, events.Tick(), [])
    assert 'event=caller-left at=1.0000 id=r where=in-body' in sink.lines[0]
    assert sink.lines[-1].endswith('count=5')


def test_unanswered_requests_are_logged_up_to_a_rate() -> None:
    # Guards against a flood of lines when many connections end at once.
    sink = sinks.ListSink()
    log = decisions.DecisionLog(helper.make_world(), sink, lambda: 1.0)
    for _ in range(decisions.BURST_LINES + 5):
        log.close_unanswered('reset', 2, 500)
    log.observe(500, events.Tick(), [])
    assert sink.lines[0].endswith('why=reset requests=2')
    assert sink.lines[-1].endswith('count=5')


def test_limited_clients_are_logged_up_to_a_rate() -> None:
    # Guards against a flood of lines from clients that are refused.
    sink = sinks.ListSink()
    log = decisions.DecisionLog(helper.make_world(), sink, lambda: 1.0)
    for _ in range(decisions.BURST_LINES + 5):
        log.limit_client('memory', '10.0.0.1:4000', 656_000, 500)
    log.observe(500, events.Tick(), [])
    assert sink.lines[0].endswith(
        'limit=memory client=10.0.0.1:4000 held_bytes=656000'
    )
    assert sink.lines[-1].endswith('count=5')
