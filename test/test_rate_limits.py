"""Targets that limit their requests per second in their answers."""

import pytest

from oleanderstair import metrics
from oleanderstair.domain import actions, events, gateway, messages
from oleanderstair.domain.fleet import codec
from oleanderstair.domain.targets import rate_limits
from oleanderstair.engine import exchanges
from oleanderstair.explaining import (
    decisions,
    failures,
    gauges,
    sinks,
    stories,
)
from oleanderstair.platform import dialect
from test import test_decisions, test_gateway_fleet


def announce(fleet, target_id, per_s, born_ms=1):
    state = fleet.member_by_id['entry-0'].state
    told = events.TargetTold(target_id, born_ms, limit_per_s=per_s)
    gateway.step(state, told, fleet.times.now_ms())
    return state


def call_steadily(fleet, for_ms, interval_ms=20):
    for _ in range(for_ms // interval_ms):
        for instance_id in fleet.member_by_id:
            fleet.call(instance_id, 'lookup')
        fleet.run_for(interval_ms)


@pytest.mark.parametrize(
    ('text', 'per_s'),
    [
        (b'1.7', 1.7),
        (b' 0 ', 0),
        (b'12', 12),
        (b'-1', None),
        (b'nan', None),
        (b'inf', None),
        (b'1e9', None),
        (b'9' * 400, None),
        (b'1_0', None),
        (b'', None),
    ],
)
def test_a_malformed_limit_is_ignored(text, per_s):
    answer = exchanges.Answer(
        200, [(b'server-limit', text), (b'request-id', b'r-1')], b''
    )
    notice = dialect.read_target_notice(answer)
    assert getattr(notice, 'limit_per_s', None) == per_s


def test_a_limit_holds_until_answers_no_longer_name_it():
    fleet = test_gateway_fleet.make_fleet(targets=1)
    state = fleet.member_by_id['entry-0'].state
    target = fleet.target_by_id['burza-0']
    target.limit_per_s = 5
    call_steadily(fleet, 2000)
    assert rate_limits.limit_of(state, 'burza-0').per_s == 5
    target.limit_per_s = None
    call_steadily(fleet, 3000)
    assert rate_limits.limit_of(state, 'burza-0') is None


def test_failed_answers_do_not_end_a_limit():
    fleet = test_gateway_fleet.make_fleet(targets=1)
    state = fleet.member_by_id['entry-0'].state
    target = fleet.target_by_id['burza-0']
    target.limit_per_s = 5
    call_steadily(fleet, 1000)
    target.limit_per_s = None
    target.fail_share = 1
    call_steadily(fleet, 3000)
    assert rate_limits.limit_of(state, 'burza-0') is not None


def test_a_limit_of_an_earlier_incarnation_is_ignored():
    fleet = test_gateway_fleet.make_fleet()
    state = announce(fleet, 'burza-0', 5, born_ms=7)
    assert rate_limits.limit_of(state, 'burza-0') is None
    announce(fleet, 'burza-0', 5)
    assert rate_limits.limit_of(state, 'burza-0') is not None
    fleet.crash('burza-0')
    fleet.restart('burza-0')
    fleet.run_for(1000)
    assert rate_limits.limit_of(state, 'burza-0') is None


def test_calls_to_limited_targets_are_counted_by_target_and_reason():
    fleet = test_gateway_fleet.make_fleet(targets=1)
    state = fleet.member_by_id['entry-0'].state
    counts = metrics.create()
    log = decisions.DecisionLog(
        state, sinks.ListSink(), lambda: fleet.times.now_ms() / 1000, counts
    )
    fleet.on_step.append(
        lambda state, event, done: log.observe(
            fleet.times.now_ms(), event, done
        ),
    )
    announce(fleet, 'burza-0', 5)
    fleet.run_for(500)
    fleet.call('entry-0', 'lookup')
    fleet.run_for(500)
    label = 'target=burza-0 why=first'
    assert counts.count_by_series['sends-to-limited', label] == 1
    shown = gauges.read(state, fleet.times.now_ms())
    limit = gauges.Gauge('target_limit_per_s', (('target', 'burza-0'),), 5)
    assert limit in shown


def tell_peer(fleet, *fields, sender='entry-9~1'):
    state = fleet.member_by_id['entry-0'].state
    told = events.PeerHeard(sender, messages.TargetLimited(*fields))
    return state, gateway.step(state, told, fleet.times.now_ms())


def test_an_older_report_of_a_peer_changes_nothing():
    fleet = test_gateway_fleet.make_fleet()
    state = announce(fleet, 'burza-0', 5)
    fleet.run_for(500)
    tell_peer(fleet, 'burza-0', 1, 5, 1000, True)
    assert rate_limits.limit_of(state, 'burza-0') is not None
    tell_peer(fleet, 'burza-0', 1, 5, 100, True)
    assert rate_limits.limit_of(state, 'burza-0') is None
    tell_peer(fleet, 'burza-0', 1, 5, 200)
    assert rate_limits.limit_of(state, 'burza-0') is None


@pytest.mark.parametrize(
    'fields',
    [
        ('burza-0', 1, float('nan'), 0),
        ('burza-0', 1, float('inf'), 0),
        ('burza-0', 1, -1, 0),
        ('burza-0', 1, 5, float('nan')),
        ('burza-0', 1, 5, -1),
        ('burza-0', 7, 5, 0),
        ('unknown', 1, 5, 0),
    ],
)
def test_an_invalid_report_of_a_peer_changes_nothing(fields):
    fleet = test_gateway_fleet.make_fleet()
    state, _ = tell_peer(fleet, *fields)
    assert not state.rate_limits.limit_by_id
    fleet.call('entry-0', 'lookup')
    fleet.run_for(500)


def test_a_limit_is_broadcast_at_once_and_then_seldom():
    fleet = test_gateway_fleet.make_fleet(instances=2)
    state = fleet.member_by_id['entry-0'].state
    sent = []
    for _ in range(100):
        told = events.TargetTold('burza-0', 1, limit_per_s=5)
        done = gateway.step(state, told, fleet.times.now_ms())
        sent.extend(one for one in done if isinstance(one, actions.SendPeer))
        fleet.run_for(100)
    assert len(sent) == 2
    decoded = codec.decode(codec.encode(sent[0].message))
    assert decoded.unwrap() == sent[0].message


def test_a_target_that_accepts_nothing_gets_a_call_now_and_then():
    fleet = test_gateway_fleet.make_fleet(targets=1)
    fleet.target_by_id['burza-0'].limit_per_s = 0
    call_steadily(fleet, 2000)
    fleet.target_by_id['burza-0'].arrivals = 0
    call_steadily(fleet, 70_000, interval_ms=100)
    assert fleet.target_by_id['burza-0'].arrivals == 2


def test_a_limit_ends_if_no_answer_shows_it_for_long():
    fleet = test_gateway_fleet.make_fleet()
    state = announce(fleet, 'burza-0', 0)
    assert rate_limits.permit_wait_ms(state, 'burza-0', fleet.times.now_ms())
    fleet.run_for(rate_limits.LIMIT_KEPT_MS + 1)
    wait_ms = rate_limits.permit_wait_ms(state, 'burza-0', fleet.times.now_ms())
    assert not wait_ms


def test_a_call_waits_for_a_permit_within_its_time_in_the_queue():
    fleet = test_gateway_fleet.make_fleet(targets=1)
    announce(fleet, 'burza-0', 20)
    call_id = fleet.call('entry-0', 'lookup')
    assert call_id not in fleet.told_by_call
    fleet.run_for(500)
    assert fleet.told_by_call[call_id].status == 200


def test_a_refusal_for_rate_limits_is_explained():
    fleet, sink = test_decisions.logged_fleet(targets=2)
    announce(fleet, 'burza-0', 0.1)
    announce(fleet, 'burza-1', 0.1)
    fleet.call('entry-0', 'lookup', request_id='r-1')
    fleet.run_for(100)
    said = stories.read('entry-0', sink.lines)
    story = stories.follow('r-1', said)
    assert 'refused as no-target' in story.cause
    assert 'may come back after' in story.cause
    assert 'rate limits of 2 targets allowed no call' in story.cause
    found = failures.find(said)
    assert found[0].why == 'all targets limit their calls per second'
