"""Which targets are limited, until when, and what their limits allow."""

import pytest

from oleanderstair.domain import events, messages
from oleanderstair.domain.tables import load_reports, operator_state
from oleanderstair.domain.targets import (
    availability,
    evacuations,
    slow_start_limits,
)
from oleanderstair.emulator import gateway_fleet, plans
from oleanderstair.explaining import gauges
from oleanderstair.platform import dialect

LOOKUP = plans.Kind('lookup', 'burza', 0, plans.Work(40), aim_ms=400)
LIMITS = {'slow_start_overage': 1.5, 'slow_start_slack': 8}


def make_fleet(instances=1, targets=1, per_s=7.2, **limits):
    fleet = gateway_fleet.create(1)
    for number in range(targets):
        fleet.add_target(f'burza-{number}', 'burza')
    fleet.store.limit_by_service = {
        'burza': operator_state.SlowStartLimit(3000, per_s)
    }
    fleet.publish(LOOKUP)
    for number in range(instances):
        fleet.add_instance(
            f'entry-{number}',
            seeds=('entry-0',),
            assumed_instances=1,
            **{**LIMITS, **limits},
        )
    fleet.run_for(6000)
    return fleet


def is_limited(fleet, target_id='burza-0', instance_id='entry-0'):
    state = fleet.member_by_id[instance_id].state
    entry = state.registry.entry_by_id[target_id]
    return slow_start_limits.is_limited(state, entry, fleet.times.now_ms())


def call(fleet, for_ms=300):
    call_id = fleet.call('entry-0', 'lookup')
    fleet.run_for(for_ms)
    return fleet.told_by_call[call_id]


def end_attempt(fleet, **fields):
    """End the attempt of a call that has just been sent."""
    fleet.call('entry-0', 'lookup')
    fleet.run_for(5)
    state = fleet.member_by_id['entry-0'].state
    sent = tuple(state.routed.call_by_id.values())[0]
    attempt_id = sent.attempts[0].attempt_id
    fleet.step(
        'entry-0', events.AttemptEnded(sent.call_id, attempt_id, **fields)
    )


@pytest.mark.parametrize(
    ('field', 'slow_start_ms'),
    [
        ({}, 0),
        ({b'slow-start-ms': b'0'}, 0),
        ({b'slow-start-ms': b' 2900 '}, 2900),
        ({b'slow-start-ms': b'12.5'}, 12.5),
        ({b'slow-start-ms': b'-1'}, None),
        ({b'slow-start-ms': b'inf'}, None),
        ({b'slow-start-ms': b''}, None),
    ],
)
def test_a_malformed_slow_start_is_not_read_as_warm(field, slow_start_ms):
    fields = {b'server-load': b'1,0,4', **field}
    assert dialect.read_load_report(fields).slow_start_ms == slow_start_ms


def test_without_the_settings_nothing_is_limited():
    fleet = make_fleet(slow_start_overage=0, slow_start_slack=0)
    fleet.target_by_id['burza-0'].turn_cold(3000)
    assert not is_limited(fleet)
    for _ in range(30):
        fleet.call('entry-0', 'lookup')
        fleet.run_for(30)
    assert fleet.target_by_id['burza-0'].arrivals == 30
    assert not fleet.member_by_id['entry-0'].state.slow_starts.warmth_by_id


def test_a_target_is_unlimited_only_while_its_warm_report_is_recent():
    fleet = make_fleet()
    assert is_limited(fleet)
    assert call(fleet, 100).status == 200
    assert not is_limited(fleet)
    fleet.run_for(slow_start_limits.WARM_VALID_MS)
    assert is_limited(fleet)
    assert call(fleet).status == 200


@pytest.mark.parametrize(
    'fields',
    [
        {'verdict': events.Verdict.NOT_SENT, 'crashed': True},
        {'verdict': events.Verdict.BROKEN},
        {'verdict': events.Verdict.BROKEN, 'stale': True},
        {'verdict': events.Verdict.SILENT},
    ],
)
def test_a_target_that_failed_is_limited_until_a_later_report(fields):
    # Guards against a report that was requested before the failure.
    fleet = make_fleet()
    end_attempt(fleet, **fields)
    assert is_limited(fleet)
    report = load_reports.Report(0, 0, 4)
    fleet.step('entry-0', events.LoadRead('burza-0', report, 10))
    assert is_limited(fleet)
    fleet.run_for(20)
    fleet.step('entry-0', events.LoadRead('burza-0', report, 10))
    assert not is_limited(fleet)


def test_a_failed_read_and_an_unreadable_report_prove_nothing():
    fleet = make_fleet()
    call(fleet, 100)
    fleet.step('entry-0', events.LoadRead('burza-0', None, 500))
    assert is_limited(fleet)
    fleet.run_for(20)
    unreadable = load_reports.Report(0, 0, 4, slow_start_ms=None)
    fleet.step('entry-0', events.LoadRead('burza-0', unreadable, 1))
    assert is_limited(fleet)


def test_an_ended_evacuation_puts_its_targets_in_doubt(monkeypatch):
    fleet = make_fleet()
    call(fleet, 100)
    ended_at_ms = fleet.times.now_ms()
    monkeypatch.setattr(evacuations, 'ended_at_ms', lambda *_: ended_at_ms)
    assert is_limited(fleet)
    fleet.run_for(50)
    call(fleet, 100)
    assert not is_limited(fleet)


def test_a_new_incarnation_is_limited_by_its_entry():
    fleet = make_fleet()
    fleet.crash('burza-0')
    fleet.restart('burza-0', cold_ms=2000)
    fleet.run_for(100)
    state = fleet.member_by_id['entry-0'].state
    assert slow_start_limits.is_cold(state, 'burza-0', fleet.times.now_ms())
    shown = gauges.read(state, fleet.times.now_ms())
    labels = (('service', 'burza'),)
    assert gauges.Gauge('slow_start_targets', labels, 1) in shown
    assert gauges.Gauge('slow_start_bound_per_s', labels, 18.8) in shown
    fleet.run_for(2000)
    assert call(fleet).status == 200
    assert not slow_start_limits.is_cold(state, 'burza-0', fleet.times.now_ms())


def test_cold_targets_alone_queue_calls_or_refuse_them_with_a_retry_time():
    # Guards a service all of whose targets are cold at once.
    fleet = make_fleet()
    fleet.target_by_id['burza-0'].turn_cold(3000)
    call_ids = [fleet.call('entry-0', 'lookup') for _ in range(20)]
    fleet.run_for(1000)
    answers = [fleet.told_by_call[call_id] for call_id in call_ids]
    refused = [one for one in answers if one.status != 200]
    assert 1 <= 20 - len(refused) <= 18
    least_ms = slow_start_limits.MIN_RETRY_AFTER_MS
    assert all(one.retry_after_ms >= least_ms for one in refused)
    assert fleet.counts['slow-start-held-back', 'burza'] >= len(refused)


@pytest.mark.parametrize(
    ('per_s', 'overage', 'slack'),
    [(7.2, 1.5, 8), (5.1, 1.5, 8), (50, 1.2, 0), (20, 1, 4), (3, 2, 20)],
)
def test_two_groups_of_senders_and_unnoticed_calls_stay_within_the_bound(
    per_s, overage, slack
):
    fleet = make_fleet(
        per_s=per_s, slow_start_overage=overage, slow_start_slack=slack
    )
    state = fleet.member_by_id['entry-0'].state
    limit = state.operator_state.limit_by_service['burza']
    rate_per_s = slow_start_limits.sender_rate_per_s(state, limit)
    sender_count = 4 if slack >= 8 else 2
    most = sender_count * (rate_per_s + 1) + slack / 2
    assert most <= per_s * overage + slack + 1e-9
    assert rate_per_s > 0.1 * per_s


def test_an_instance_that_knows_nobody_has_no_part():
    # Guards against a started instance that reaches targets and the store, but
    # no peer.
    fleet = make_fleet(instances=3)
    fleet.kill('entry-2')
    for other_id in ('entry-0', 'entry-1'):
        fleet.links.cut(other_id, 'entry-2')
        fleet.links.cut('entry-2', other_id)
    state = fleet.add_instance('entry-2', seeds=('entry-0',), **LIMITS)
    fleet.run_for(20_000)
    assert fleet.member_by_id['entry-2'].is_ready
    entry = state.registry.entry_by_id['burza-0']
    now_ms = fleet.times.now_ms()
    assert not slow_start_limits.own_rate_per_s(state, entry, now_ms)


def test_at_most_twice_the_senders_send_however_views_differ():
    # Guards against a set of senders that follows from who seems to live.
    fleet = make_fleet(instances=9)
    now_ms = fleet.times.now_ms()
    senders = set()
    for instance_id, member in fleet.member_by_id.items():
        state = member.state
        entry = state.registry.entry_by_id['burza-0']
        availability.wait_ms(state, 'burza-0', now_ms)
        table = state.slow_starts
        table.ready_ids_version = state.members.view.version
        table.ready_ids = frozenset((instance_id,))
        if slow_start_limits.own_rate_per_s(state, entry, now_ms):
            senders.add(instance_id)
    assert 2 <= len(senders) <= 4


def test_an_urgent_call_goes_to_a_warm_target():
    fleet = make_fleet(targets=2)
    for target in fleet.target_by_id.values():
        target.work = lambda received, rng: 250
    fleet.target_by_id['burza-0'].turn_cold(3000)
    for _ in range(20):
        fleet.call('entry-0', 'lookup')
        fleet.run_for(150)
    assert fleet.target_by_id['burza-1'].arrivals >= 17


def test_few_reads_are_kept_for_when_a_report_expires():
    # Guards against a burst of calls that uses up the reads of a second, after
    # which a warm target is limited for the rest of it.
    fleet = make_fleet(probes_per_s=8)
    call_ids = []
    for _ in range(150):
        call_ids.append(fleet.call('entry-0', 'lookup'))
        fleet.run_for(20)
    fleet.run_for(500)
    statuses = [fleet.told_by_call[call_id].status for call_id in call_ids]
    assert statuses.count(200) >= 0.85 * len(statuses)


def notice_of(fleet, cold_ms=2900, **fields):
    state = fleet.member_by_id['entry-1'].state
    born_ms = state.registry.entry_by_id['burza-0'].born_ms
    notice = messages.TargetCold('burza-0', born_ms, cold_ms)
    sender = fleet.member_by_id['entry-0'].incarnation
    return events.PeerHeard(sender, notice._replace(**fields))


def read_by(fleet, instance_id, slow_start_ms):
    report = load_reports.Report(0, 0, 4, slow_start_ms=slow_start_ms)
    fleet.step(instance_id, events.LoadRead('burza-0', report, took_ms=1))


def test_the_first_that_reads_a_slow_start_tells_the_others():
    # An instance that reads the target seldom would send it calls without a
    # limit for up to a second.
    fleet = make_fleet(instances=2)
    for instance_id in ('entry-0', 'entry-1'):
        read_by(fleet, instance_id, slow_start_ms=0)
        assert not is_limited(fleet, instance_id=instance_id)
    read_by(fleet, 'entry-0', slow_start_ms=2900)
    fleet.run_for(20)
    assert is_limited(fleet, instance_id='entry-1')


@pytest.mark.parametrize(
    'fields',
    [
        {'born_ms': 12_345},
        {'cold_ms': -1},
        {'cold_ms': 1e12},
        {'target_id': 'x'},
    ],
    ids=['another start', 'past', 'too long', 'unknown target'],
)
def test_a_notice_that_does_not_fit_limits_nothing(fields):
    # A notice of an earlier start would limit a target that has returned.
    fleet = make_fleet(instances=2)
    read_by(fleet, 'entry-1', slow_start_ms=0)
    fleet.step('entry-1', notice_of(fleet, **fields))
    assert not is_limited(fleet, instance_id='entry-1')
    fleet.step('entry-1', notice_of(fleet))
    assert is_limited(fleet, instance_id='entry-1')
