"""Targets that limit their requests per second in their answers."""

import pytest

from oleanderstair.domain import events, gateway
from oleanderstair.domain.targets import rate_limits
from oleanderstair.engine import exchanges
from oleanderstair.explaining import decisions, gauges, sinks
from oleanderstair.platform import dialect
from oleanderstair import metrics
from test import test_gateway_fleet


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
    fleet.call('entry-0', 'lookup')
    fleet.run_for(500)
    label = 'target=burza-0 why=first'
    assert counts.count_by_series['sends-to-limited', label] == 1
    shown = gauges.read(state, fleet.times.now_ms())
    limit = gauges.Gauge('target_limit_per_s', (('target', 'burza-0'),), 5)
    assert limit in shown
