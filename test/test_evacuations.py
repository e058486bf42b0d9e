"""No call and no load read goes to the targets of an evacuated data centre."""

import itertools

import pytest

from oleanderstair.domain import actions, events, outcomes
from oleanderstair.domain.configuration import evacuation_changes
from oleanderstair.domain.fleet import caller_addresses, host_assignment
from oleanderstair.domain.tables import load_reports
from oleanderstair.domain.targets import (
    evacuations,
    locality,
    reachability,
    read_budgets,
    sampling,
)
from oleanderstair.emulator import gateway_fleet, gateway_targets, plans
from oleanderstair.explaining import (
    decisions,
    failures,
    gauges,
    sinks,
    stories,
    trails,
)
from test import fleets

LOOKUP = plans.Kind('lookup', 'burza', 0, plans.Work(40))
ORDER = plans.Kind('order', 'burza', 0, plans.Work(40), idempotent=False)
CENTRES = ('trnava', 'nitra', 'senec')
HEARD_MS = 1000
"""The time after which all instances know of a change in these fleets."""

MIN_SERVED_SHARE = 0.5
"""What is served at least while a third of the capacity is evacuated and half
of the rest is harmed."""


def make_fleet(instances=6, targets=12, **limits):
    fleet = gateway_fleet.create(1)
    for number, centre in zip(range(targets), itertools.cycle(CENTRES)):
        fleet.add_target(f'burza-{number}', 'burza', centre)
    fleet.publish(LOOKUP, ORDER)
    limits = {'evacuation_bound_ms': 5000, 'assumed_instances': 1, **limits}
    for number, centre in zip(range(instances), itertools.cycle(CENTRES)):
        fleet.add_instance(f'entry-{number}', centre, **limits)
    fleet.run_for(1000)
    fleets.introduce(states_of(fleet), fleet.times.now_ms())
    fleet.run_for(2000)
    return fleet


def states_of(fleet):
    return [member.state for member in fleet.member_by_id.values()]


def call_all(fleet, for_ms, kinds=('lookup', 'order')):
    """Send calls to all instances in turn, one every 5 ms; return the ids."""
    instance_ids = itertools.cycle(fleet.member_by_id)
    call_ids = []
    for kind in itertools.islice(itertools.cycle(kinds), for_ms // 5):
        call_ids.append(fleet.call(next(instance_ids), kind))
        fleet.run_for(5)
    return call_ids


def watch_sends(fleet):
    """Return a list to which the target of each call and read is added."""
    sent = []

    def note(state, event, done):
        sent.extend(
            fleet.target_by_id[action.target_id].data_centre
            for action in done
            if isinstance(action, (actions.Dispatch, actions.ReadLoad))
        )

    fleet.on_step.append(note)
    return sent


def evacuate(fleet, *data_centres):
    for data_centre in data_centres:
        fleet.store.evacuate(data_centre)
    fleet.run_for(HEARD_MS)


def outcomes_of(fleet, call_ids):
    return [fleet.told_by_call[call_id] for call_id in call_ids]


def served_share(fleet, call_ids):
    told = outcomes_of(fleet, call_ids)
    ran = [one for one in told if one.outcome is outcomes.Outcome.RAN]
    return len(ran) / len(told)


# Nothing new


@pytest.mark.parametrize('harm', ['none', 'slow', 'shed', 'crash', 'isolated'])
def test_nothing_is_sent_to_an_evacuated_data_centre(harm):
    # First attempts, hedges, retries, queued and forwarded calls, load reads
    # and random probes each choose a target on a way of their own.
    fleet = make_fleet()
    call_all(fleet, 500)
    evacuate(fleet, 'nitra')
    sent = watch_sends(fleet)
    others = [
        target
        for target in fleet.target_by_id.values()
        if target.data_centre != 'nitra'
    ]
    for target in others[:4]:
        if harm == 'slow':
            target.work = lambda received, rng: 700
        elif harm == 'shed':
            target.behaviour = gateway_targets.Behaviour.SHED
        elif harm == 'crash':
            fleet.crash(target.target_id)
    if harm == 'isolated':
        fleet.cut_from_targets('entry-0')
        fleet.cut_from_targets('entry-4')
    call_ids = call_all(fleet, 2000)
    fleet.run_for(2000)
    assert set(sent) == {'trnava', 'senec'}
    assert served_share(fleet, call_ids) > MIN_SERVED_SHARE


def test_a_call_in_flight_there_ends_undisturbed():
    # An evacuation cuts nothing off.
    fleet = make_fleet()
    for target in fleet.target_by_id.values():
        target.work = lambda received, rng: 900
    call_ids = call_all(fleet, 100, ('order',))
    there = [
        run.call_id
        for run in fleet.runs
        if fleet.target_by_id[run.target_id].data_centre == 'nitra'
    ]
    evacuate(fleet, 'nitra')
    assert there
    assert served_share(fleet, there) == 1
    assert set(there) <= set(call_ids)


def test_settings_without_a_bound_ignore_a_request():
    # Deployments that don't call for evacuations are served as before.
    fleet = make_fleet(evacuation_bound_ms=0)
    evacuate(fleet, 'nitra')
    sent = watch_sends(fleet)
    call_all(fleet, 500)
    assert 'nitra' in sent


def test_calls_of_an_evacuated_data_centre_are_served_by_the_others():
    # Its instances go on serving, and callers are still given their addresses.
    fleet = make_fleet()
    evacuate(fleet, 'nitra')
    member = fleet.member_by_id['entry-1']
    assert member.state.identity.data_centre == 'nitra'
    call_ids = [fleet.call('entry-1', 'lookup') for _ in range(8)]
    fleet.run_for(1000)
    assert served_share(fleet, call_ids) == 1
    assert fleet.counts['diverted-calls', 'data_centre=nitra'] == 8
    state = fleet.member_by_id['entry-0'].state
    addresses = caller_addresses.choose_addresses(state, plans.HOST, 'nitra')
    assert set(addresses) == {'entry-1:80', 'entry-4:80'}


def test_read_budgets_are_divided_as_before():
    # A data centre without usable targets still has instances that count.
    fleet = make_fleet()
    state = fleet.member_by_id['entry-0'].state
    entry = state.registry.entry_by_id['burza-0']
    now_ms = fleet.times.now_ms()
    reads = read_budgets.own_reads_per_s(state, entry, now_ms)
    assigned = host_assignment.instances_for_host(state, plans.HOST, 'nitra')
    evacuate(fleet, 'nitra')
    now_ms = fleet.times.now_ms()
    assert read_budgets.own_reads_per_s(state, entry, now_ms) == reads
    still = host_assignment.instances_for_host(state, plans.HOST, 'nitra')
    assert {row.instance_id for row in still} == {
        row.instance_id for row in assigned
    }
    assert locality.data_centre_count(state) == 3


def test_probes_of_the_other_targets_stay_within_the_budget():
    # The probes of all targets would go to the few that are left.
    fleet = make_fleet()
    state = fleet.member_by_id['entry-0'].state
    before_ms = read_budgets.random_probe_interval_ms(state)
    evacuate(fleet, 'nitra', 'senec')
    after_ms = read_budgets.random_probe_interval_ms(state)
    assert after_ms == pytest.approx(3 * before_ms)


# Isolation


def test_targets_that_are_taken_down_are_no_lost_links():
    # The instances would forward their calls, though they reach the others.
    fleet = make_fleet()
    evacuate(fleet, 'nitra')
    for target_id, target in fleet.target_by_id.items():
        if target.data_centre == 'nitra':
            failed = events.LoadRead(target_id, None, sampling.READ_TIMEOUT_MS)
            fleet.step('entry-0', failed)
    assert not reachability.is_isolated(fleet.member_by_id['entry-0'].state)


def test_isolation_is_detected_by_the_targets_that_are_left():
    # With two open targets, three failures would never come.
    fleet = make_fleet(targets=6)
    evacuate(fleet, 'nitra', 'senec')
    fleet.cut_from_targets('entry-0')
    for _ in range(20):
        fleet.call('entry-0', 'lookup')
        fleet.run_for(100)
    assert reachability.is_isolated(fleet.member_by_id['entry-0'].state)


# Nothing left


def test_calls_are_refused_at_once_if_all_targets_are_evacuated():
    # A call that waits for nothing holds its caller up.
    fleet = make_fleet()
    evacuate(fleet, *CENTRES)
    now_ms = fleet.times.now_ms()
    call_ids = [
        fleet.call('entry-0', kind, deadline_ms=900)
        for kind in ('lookup', 'order')
    ]
    for told in outcomes_of(fleet, call_ids):
        assert told.at_ms == now_ms
        assert told.outcome is outcomes.Outcome.NOT_RUN
        assert told.status == 503
        # Callers honour up to a third of the time that they have left.
        assert 200 <= told.retry_after_ms <= 300
    assert fleet.counts['evacuation-refusals', 'service=burza'] == 2


def test_queued_calls_are_refused_if_all_targets_are_evacuated():
    # They would wait for a slot of a target that may not be used.
    fleet = make_fleet(instances=1, targets=1)
    fleet.target_by_id['burza-0'].work = lambda received, rng: 5000
    call_ids = [
        fleet.call('entry-0', 'order', deadline_ms=4000) for _ in range(6)
    ]
    fleet.run_for(30)
    queued = [one for one in call_ids if one not in fleet.told_by_call][4:]
    assert queued
    fleet.store.evacuate('trnava')
    fleet.run_for(100)
    for told in outcomes_of(fleet, queued):
        assert told.outcome is outcomes.Outcome.NOT_RUN
        assert told.reason is outcomes.Reason.NO_TARGET
        assert told.retry_after_ms > 0


def test_an_isolated_instance_refuses_at_once_as_well():
    # It would ask four peers, none of which may send the call.
    fleet = make_fleet()
    fleet.cut_from_targets('entry-0')
    call_all(fleet, 1000)
    fleet.run_for(1000)
    assert reachability.is_isolated(fleet.member_by_id['entry-0'].state)
    evacuate(fleet, *CENTRES)
    call_id = fleet.call('entry-0', 'lookup')
    told = fleet.told_by_call[call_id]
    assert told.reason is outcomes.Reason.NO_TARGET


def test_a_call_that_may_have_run_is_not_refused_as_not_run():
    # Its first target broke; the others are evacuated by then.
    fleet = make_fleet(instances=1, targets=3)
    for target in fleet.target_by_id.values():
        target.work = lambda received, rng: 300
    call_id = fleet.call('entry-0', 'lookup')
    fleet.run_for(50)
    evacuated = fleet.store.evacuate
    for centre in CENTRES:
        evacuated(centre)
    fleet.run_for(200)
    for target in tuple(fleet.target_by_id.values()):
        if target.running:
            fleet.crash(target.target_id)
    fleet.run_for(1000)
    told = fleet.told_by_call[call_id]
    assert told.outcome is outcomes.Outcome.UNKNOWN


# Return


def returned_count(fleet):
    return sum(
        not evacuations.is_closed(state, 'nitra') for state in states_of(fleet)
    )


def test_instances_return_one_after_the_other():
    # All at once would overload targets that have just started.
    fleet = make_fleet(instances=30)
    evacuate(fleet, 'nitra')
    fleet.store.end_evacuation('nitra')
    counts = []
    for _ in range(4):
        fleet.run_for(evacuation_changes.RETURN_SPREAD_MS / 4)
        counts.append(returned_count(fleet))
    fleet.run_for(500)
    assert counts[0] <= 15
    assert counts == sorted(counts)
    assert returned_count(fleet) == 30
    ended = [
        evacuations.ended_at_ms(state, 'nitra') for state in states_of(fleet)
    ]
    assert min(ended) > 0


def test_reports_from_before_an_evacuation_are_not_used_after_it():
    # They would show free slots of targets that have started again since.
    fleet = make_fleet()
    call_all(fleet, 500)
    state = fleet.member_by_id['entry-1'].state
    known = load_reports.load_of(state.loads, 'burza-1')
    assert known.report
    evacuate(fleet, 'nitra')
    fleet.store.end_evacuation('nitra')
    fleet.run_for(200)
    assert load_reports.load_of(state.loads, 'burza-1').report is None


def test_a_service_without_other_targets_is_served_again_at_once():
    # Its callers would be refused for no reason.
    fleet = make_fleet(targets=1)
    evacuate(fleet, 'trnava')
    fleet.store.end_evacuation('trnava')
    fleet.run_for(500)
    call_id = fleet.call('entry-1', 'lookup')
    fleet.run_for(500)
    assert served_share(fleet, [call_id]) == 1


def test_a_second_evacuation_before_the_return_holds():
    # The end of the wait for the first one would open the data centre.
    fleet = make_fleet()
    evacuate(fleet, 'nitra')
    fleet.store.end_evacuation('nitra')
    fleet.run_for(100)
    evacuate(fleet, 'nitra')
    fleet.run_for(evacuation_changes.RETURN_SPREAD_MS)
    assert not returned_count(fleet)


def test_ended_at_is_never_before_the_first_end():
    # Targets that were never evacuated would be treated as cold.
    fleet = make_fleet(instances=1)
    state = fleet.member_by_id['entry-0'].state
    assert evacuations.ended_at_ms(state, 'nitra') < 0
    evacuate(fleet, 'nitra')
    assert evacuations.ended_at_ms(state, 'nitra') < 0


# What operators see


def test_metrics_and_lines_name_evacuations():
    # Operators tell by these that a request is in force, and its effect.
    fleet = make_fleet(instances=1)
    state = fleet.member_by_id['entry-0'].state
    revision = fleet.store.evacuate('nitra')
    fleet.run_for(HEARD_MS)
    read = gauges.read(state, fleet.times.now_ms())
    gauge = gauges.Gauge(
        'evacuated_since_revision', (('data_centre', 'nitra'),), revision
    )
    assert gauge in read
    labels = (('service', 'burza'), ('state', 'evacuated'))
    assert gauges.Gauge('targets', labels, 4) in read
    assert trails.evacuated_for(state, 'burza') == (('evacuated', 4),)


def test_an_audit_entry_names_data_centre_and_revision():
    fleet = make_fleet(instances=1)
    audits = []
    fleet.on_step.append(
        lambda state, event, done: audits.extend(
            action for action in done if isinstance(action, actions.Audit)
        )
    )
    revision = fleet.store.evacuate('nitra')
    fleet.run_for(HEARD_MS)
    fleet.store.end_evacuation('nitra')
    fleet.run_for(4000)
    whys = [one.why for one in audits if one.subject == 'nitra']
    assert whys == [
        f'evacuated since revision {revision} of era 0',
        'no longer evacuated',
        'gets calls again',
    ]


def test_a_read_that_ends_during_an_evacuation_sends_no_queued_call():
    # A read of before the evacuation reports free slots there.
    fleet = make_fleet(instances=1, targets=3)
    state = fleet.member_by_id['entry-0'].state
    evacuate(fleet, 'nitra')
    for target_id in ('burza-0', 'burza-2'):
        fleet.target_by_id[target_id].work = lambda received, rng: 900
    sent = watch_sends(fleet)
    for _ in range(20):
        fleet.call('entry-0', 'order')
    fleet.run_for(10)
    assert state.routed.queued_ids_by_service
    report = load_reports.Report(running=0, queued=0, slots=4)
    fleet.step('entry-0', events.LoadRead('burza-1', report, 1))
    fleet.run_for(50)
    assert 'nitra' not in sent
    now_ms = fleet.times.now_ms()
    probes = sampling.probe_random_targets(state, (), 9, now_ms)
    assert all(read.target_id != 'burza-1' for read in probes)


def test_the_lines_of_a_refused_call_name_the_cause():
    # Operators would look for targets that are full.
    fleet = make_fleet(instances=1)
    sink = sinks.ListSink()
    state = fleet.member_by_id['entry-0'].state
    log = decisions.DecisionLog(state, sink, lambda: 1.0)
    fleet.on_step.append(
        lambda state, event, done: log.observe(
            fleet.times.now_ms(), event, done
        )
    )
    evacuate(fleet, *CENTRES)
    fleet.call('entry-0', 'lookup', request_id='r-1')
    found = failures.find(stories.read('entry-0', sink.lines))
    assert [(one.told, one.why) for one in found] == [
        ('no-target', 'all targets are in evacuated data centres')
    ]
    assert '12 targets are in evacuated data centres' in found[0].cause
