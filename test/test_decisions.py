"""Decision lines: what is written, what is merged, and how it is read."""

import os

import pytest

from oleanderstair.domain import events
from oleanderstair.domain.targets import trust
from oleanderstair.emulator import gateway_fleet, gateway_targets
from oleanderstair.explaining import beliefs, decisions, lines, sinks
from test import helper, test_gateway_fleet


def logged_fleet(
    **fields: int,
) -> tuple[gateway_fleet.GatewayFleet, sinks.ListSink]:
    """Return a fleet whose first instance writes its decisions."""
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
    """Return the kinds of the lines on one request, in order."""
    read = [lines.read(text) for text in sink.lines]
    return [
        line.kind
        for line in read
        if line is not None and line.field_by_name.get('id') == request_id
    ]


def test_ordinary_calls_are_one_line_with_a_count() -> None:
    fleet, sink = logged_fleet()
    for _ in range(5):
        fleet.call('entry-0', 'lookup')
    fleet.run_for(2000)
    merged = [text for text in sink.lines if 'served-merged' in text]
    assert len(merged) == 1
    assert merged[0].endswith('route=lookup count=5')
    named = [text for text in sink.lines if 'id=' in text]
    assert not named


def test_a_broken_order_is_told_in_full() -> None:
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


def test_a_retry_says_why() -> None:
    fleet, sink = logged_fleet()
    # Each call earns a part of a repeat.
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


def test_a_flood_of_refusals_is_merged_with_a_count() -> None:
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


def test_a_lost_and_regained_store_is_said_once() -> None:
    fleet, sink = logged_fleet()
    fleet.store.down = True
    fleet.stores.cut_watches()
    fleet.run_for(3000)
    fleet.store.down = False
    fleet.run_for(25_000)
    told = [text.split()[0] for text in sink.lines if 'store-' in text]
    assert told == ['event=store-lost', 'event=store-regained']


def test_a_target_is_said_to_be_barred_and_trusted_again() -> None:
    state = helper.make_world()
    said: list[str] = []
    told = beliefs.Beliefs(state, lambda at_ms, kind, fields: said.append(kind))
    told.note_target(0, 'burza-0')
    for _ in range(2):
        trust.note_failure(state, 'burza-0', trust.FAILED, now_ms=10)
        told.note_target(10, 'burza-0')
    trust.note_success(state, 'burza-0', now_ms=20)
    told.note_target(20, 'burza-0')
    told.note_target(30, 'burza-0')
    assert said == ['target-barred', 'target-trusted']


def test_instances_that_come_and_go_are_one_line() -> None:
    fleet, sink = logged_fleet(instances=3)
    fleet.run_for(3000)
    fleet.kill('entry-2')
    fleet.run_for(8000)
    told = [text for text in sink.lines if 'event=peers' in text]
    assert 'came=' in told[0]
    assert 'went=entry-2~3' in told[-1]
    assert len(told) <= 3


def test_no_call_leaves_a_trail_behind() -> None:
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
def test_a_line_is_read_as_it_was_written(text: str) -> None:
    written = lines.write('call', (('id', text), ('count', 3)))
    assert '\n' not in written
    assert lines.read(f'12.3 entry-1 {written}') == lines.Line(
        '12.3 entry-1',
        'call',
        {'id': text, 'count': '3'},
    )


def test_a_slow_reader_costs_lines_and_no_time() -> None:
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
