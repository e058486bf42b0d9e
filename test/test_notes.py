"""Notes never revert, and the newest one reaches all instances.

The property tests lose, duplicate and delay messages, partition, pause and
restart instances, and let the service answer with old values.
"""

import itertools

import hypothesis
import pytest
from hypothesis import strategies

from oleanderstair.domain import actions, events, outcomes
from oleanderstair.domain.configuration import (
    note_acceptance,
    note_adoption,
    note_values,
)
from oleanderstair.domain.tables import instances
from test import helper, note_harness

BOUNDED = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=12,
    suppress_health_check=list(hypothesis.HealthCheck),
)


INSTANCE_IDS = strategies.sampled_from(
    [f'entry-{number}' for number in range(5)]
)
FAULTS = strategies.one_of(
    strategies.tuples(strategies.just('publish')),
    strategies.tuples(strategies.just('compact')),
    strategies.tuples(strategies.just('restart'), INSTANCE_IDS),
    strategies.tuples(
        strategies.just('lag'), INSTANCE_IDS, strategies.integers(0, 9)
    ),
    strategies.tuples(strategies.just('cut'), strategies.sets(INSTANCE_IDS)),
    strategies.tuples(strategies.just('lossy'), strategies.integers(0, 9)),
    strategies.tuples(strategies.just('down'), strategies.booleans()),
    strategies.tuples(
        strategies.just('pause'),
        INSTANCE_IDS,
        strategies.integers(100, 5000),
    ),
    strategies.tuples(strategies.just('run'), strategies.integers(50, 4000)),
)


class Network:
    """Loses, duplicates, delays and cuts off messages between instances.

    ``loss`` is in tenths of the messages.
    """

    def __init__(self, rng):
        self.rng = rng
        self.loss = 0
        self.cut = set()

    def __call__(self, sender, receiver, message):
        if (sender in self.cut) != (receiver in self.cut):
            return ()
        if self.rng.randrange(10) < self.loss:
            return ()
        copies = 1 + (self.rng.randrange(10) < self.loss)
        delay_ms = self.rng.uniform(0, 1 + 300 * self.loss)
        return [delay_ms for _ in range(copies)]


def restart(sim, instance_id):
    sim.kill(instance_id)
    sim.add_instance(instance_id, note_harness.data_centre_of(instance_id))


APPLY_BY_KIND = {
    'publish': lambda sim, network: sim.publish(
        note_harness.note_content(sim.latest_number + 1)
    ),
    'compact': lambda sim, network: note_harness.publish_compacted(sim),
    'restart': lambda sim, network, name: restart(sim, name),
    'lag': lambda sim, network, name, lag: sim.lag_by_id.update({name: lag}),
    'cut': lambda sim, network, names: setattr(network, 'cut', names),
    'lossy': lambda sim, network, loss: setattr(network, 'loss', loss),
    'down': lambda sim, network, down: setattr(sim, 'platform_down', down),
    'pause': lambda sim, network, name, for_ms: sim.pause(name, for_ms),
    'run': lambda sim, network, span_ms: sim.run_for(span_ms),
}


def run_faults(faults, seed):
    sim = note_harness.create(5, seed)
    network = Network(sim.rng)
    sim.link_rule = network
    for fault in faults:
        APPLY_BY_KIND[fault[0]](sim, network, *fault[1:])
        sim.run_for(200)
    network.cut = set()
    network.loss = 0
    sim.lag_by_id.clear()
    sim.platform_down = False
    sim.run_for(40_000)
    assert note_harness.numbers_in_force(sim) == {sim.latest_number}
    assert note_harness.phases_of(sim) == {instances.Phase.SERVING}


@BOUNDED
@hypothesis.given(
    strategies.lists(FAULTS, max_size=12),
    strategies.integers(0, 1000),
)
def test_notes_never_revert_and_all_instances_reach_the_highest(faults, seed):
    run_faults(faults, seed)


def test_property_fails_if_a_lower_note_is_adopted(monkeypatch):
    def adopt_lower(state, note, source):
        older = state.catalogue.in_force._replace(number=note.number)
        state.catalogue.in_force = older
        return []

    monkeypatch.setattr(note_adoption, '_check_known_note', adopt_lower)
    slow = [('lossy', 5), *itertools.repeat(('publish',), 6), ('run', 4000)]
    with pytest.raises(AssertionError, match='reverted to note'):
        for seed in range(20):
            run_faults([*slow, *slow, *slow, *slow], seed)


@BOUNDED
@hypothesis.given(
    strategies.integers(1, 4),
    strategies.integers(0, 4),
    strategies.integers(0, 1000),
)
def test_restarted_instance_serves_only_with_the_note_of_its_peers(
    lag, loss, seed
):
    sim = note_harness.create(5, seed, published=5)
    network = Network(sim.rng)
    sim.link_rule = network
    sim.run_for(8000)
    assert note_harness.phases_of(sim) == {instances.Phase.SERVING}
    network.loss = loss
    sim.lag_by_id = {f'entry-{number}': lag for number in range(5)}
    sim.kill('entry-2')
    state = sim.add_instance('entry-2', note_harness.data_centre_of('entry-2'))
    while state.instances.phase is instances.Phase.UNCONFIRMED:
        call_id = sim.call('entry-2')
        refusal = sim.told_by_call[call_id]
        assert refusal.outcome is outcomes.Outcome.NOT_RUN
        assert refusal.reason is outcomes.Reason.UNCONFIRMED
        sim.run_for(50)
        assert sim.clock.now_ms() < 60_000
    assert state.catalogue.in_force.number == 5


def test_cold_start_needs_a_majority_and_takes_the_highest_head():
    sim = note_harness.create(5, 1, published=4)
    sim.lag_by_id = {'entry-0': 2, 'entry-1': 2, 'entry-2': 3}
    sim.kill('entry-3')
    sim.kill('entry-4')
    alone = sim.instance_by_id['entry-0'].state
    sim.link_rule = lambda sender, receiver, message: ()
    sim.run_for(10_000)
    assert note_harness.phases_of(sim) == {instances.Phase.UNCONFIRMED}
    assert 'majority' in alone.instances.waits_for
    sim.link_rule = lambda sender, receiver, message: (1,)
    sim.run_for(6000)
    live = [sim.instance_by_id[f'entry-{number}'].state for number in range(3)]
    assert {state.instances.phase for state in live} == {
        instances.Phase.SERVING,
    }
    assert {state.catalogue.in_force.number for state in live} == {2}


def test_one_reader_suffices_if_the_service_is_down_for_others():
    sim = note_harness.create(5, 1)
    sim.run_for(8000)
    read = sim.read_rule
    sim.read_rule = lambda reader, name: (
        read(reader, name) if reader == 'entry-1' else None
    )
    sim.publish(note_harness.note_content(4))
    sim.run_for(2000)
    assert note_harness.numbers_in_force(sim) == {4}
    states = [found.state for found in sim.instance_by_id.values()]
    now_ms = sim.clock.now_ms()
    assert {
        note_acceptance.acceptance_of(state, now_ms) for state in states
    } == {
        note_acceptance.ACCEPTED,
    }


def test_minority_reports_a_note_as_seen_not_accepted():
    sim = note_harness.create(5, 1)
    sim.run_for(8000)
    network = Network(sim.rng)
    network.cut = {'entry-1', 'entry-2'}
    sim.link_rule = network
    sim.read_rule = lambda reader, name: (
        sim.body_by_name.get(name) if reader in network.cut else None
    )
    sim.publish(note_harness.note_content(4))
    sim.run_for(8000)
    state = sim.instance_by_id['entry-1'].state
    report = note_acceptance.report_acceptance(state, sim.clock.now_ms())
    assert report['standing'] == note_acceptance.SEEN
    assert report['silent'] == ['entry-0', 'entry-3', 'entry-4']
    network.cut = set()
    sim.run_for(8000)
    assert (
        note_acceptance.acceptance_of(state, sim.clock.now_ms())
        == note_acceptance.ACCEPTED
    )


def test_fork_is_refused_and_repaired_by_a_whole_catalogue():
    sim = note_harness.create(4, 1)
    sim.run_for(8000)
    other = {
        'number': 4,
        'parent': sim._digest,
        'withdrawn': {'targets': ['burza-3']},
    }
    forked = helper.encode_json(other)
    sim.publish(note_harness.note_content(4))
    sim.link_rule = lambda sender, receiver, message: ()
    sim.step(
        'entry-0', events.ValueRead(note_values.note_value_name(4), forked)
    )
    sim.run_for(3000)
    first = sim.instance_by_id['entry-0'].state
    last = sim.instance_by_id['entry-3'].state
    sim.link_rule = lambda sender, receiver, message: (1,)
    sim.run_for(10_000)
    assert first.catalogue.in_force.digest != last.catalogue.in_force.digest
    assert note_acceptance.report_acceptance(first, sim.clock.now_ms())['forks']
    audits = helper.audit_of(sim, 'entry-3')
    assert 1 <= audits.count(('note-fork', '4')) <= 3
    sim.publish(note_harness.note_content(5))
    note_harness.publish_compacted(sim)
    sim.run_for(10_000)
    assert note_harness.numbers_in_force(sim) == {5}
    assert first.catalogue.in_force == last.catalogue.in_force


@pytest.mark.parametrize(
    'body',
    [
        b'nonsense',
        b'{"number":4,"parent":"x"}',
        b' ' * 1_000_001,
        b'{"number":4,"parent":"%s","withdrawn":{"targets":["no-such"]}}',
    ],
)
def test_invalid_note_is_refused_once_and_the_last_valid_one_stays(body):
    sim = note_harness.create(1, 1)
    sim.run_for(6000)
    state = sim.instance_by_id['entry-0'].state
    body = body.replace(b'%s', state.catalogue.in_force.digest.encode())
    for _ in range(5):
        sim.step(
            'entry-0', events.ValueRead(note_values.note_value_name(4), body)
        )
    assert state.catalogue.in_force.number == 3
    refused = [
        change
        for change in helper.actions_of(sim, 'entry-0', actions.Audit)
        if change.kind.startswith('note-')
    ]
    assert len(refused) == 1
    assert (
        note_acceptance.report_acceptance(state, 0)['refused']
        or refused[0].subject == '4'
    )


def test_read_rate_is_bounded_and_few_instances_watch():
    sim = note_harness.create(18, 1)
    sim.run_for(10_000)
    reads = sim.platform_reads
    sim.run_for(60_000)
    assert (sim.platform_reads - reads) / 60 < 5
    watchers = {
        instance_id
        for instance_id, instance in sim.instance_by_id.items()
        for at_ms, action in instance.action_log
        if isinstance(action, actions.WatchValue) and at_ms > 20_000
    }
    assert len(watchers) == 2 * len(note_harness.DATA_CENTRES)
