"""Registry of targets: repeated, late, incorrect and forged changes."""

import random

from oleanderstair.domain import events, gateway, messages, policy, world
from oleanderstair.domain.configuration import routing
from oleanderstair.domain.fleet import readiness
from oleanderstair.domain.tables import identity, registry, routes
from test import fleets


def make_state():
    own = identity.Identity('a1', 'a1~1', 'r', 'a', 'a1:2', 'a1:1')
    state = world.create(own, policy.Policy(), random.Random(1))
    gateway.step(state, events.RoutingRead(fleets.routing(4), 'test'), 0)
    return state


def change(state, revision, *entries, gone=()):
    received = events.RegistryChanged(revision, entries, gone)
    return gateway.step(state, received, 0)


def service_target_ids(state):
    return set(state.registry.ids_by_service.get('svc', ()))


def test_a_repeated_change_does_not_replace_a_newer_entry():
    state = make_state()
    late = fleets.entry('1', revision=12, slots=9)
    gateway.step(state, events.RegistryRead(10, (late,)), 0)
    change(state, 11, fleets.entry('1', revision=11, slots=4))
    assert state.registry.entry_by_id['1'].slots == 9


def test_an_entry_newer_than_the_read_is_kept():
    state = make_state()
    change(state, 12, fleets.entry('1', revision=11))
    gateway.step(state, events.RegistryRead(12, ()), 0)
    assert not service_target_ids(state)
    change(state, 13, fleets.entry('2', revision=15))
    gateway.step(state, events.RegistryRead(14, ()), 0)
    assert service_target_ids(state) == {'2'}


def test_an_unreadable_entry_keeps_the_last_good_one():
    state = make_state()
    change(state, 5, fleets.entry('1', revision=5))
    unreadable = frozenset(('1',))
    gateway.step(state, events.RegistryRead(9, (), unreadable), 0)
    assert service_target_ids(state) == {'1'}


def test_a_forged_service_keeps_the_last_good_entry():
    state = make_state()
    change(state, 5, fleets.entry('1', revision=5))
    taken = change(state, 6, fleets.entry('1', revision=6, service='forged'))
    assert 'refused' in taken[0].why
    assert service_target_ids(state) == {'1'}


def test_leaving_lasts_until_a_restart():
    state = make_state()
    change(state, 5, fleets.entry('1', revision=5, leaving=True))
    change(state, 6, fleets.entry('1', revision=6))
    assert state.registry.entry_by_id['1'].leaving
    change(state, 7, gone=(registry.RemovedEntry('1', 7),))
    change(state, 8, fleets.entry('1', revision=8))
    assert state.registry.entry_by_id['1'].leaving
    change(state, 9, fleets.entry('1', revision=9, born_ms=2))
    assert not state.registry.entry_by_id['1'].leaving


def test_an_older_change_does_not_restore_a_removed_entry():
    state = make_state()
    change(state, 5, fleets.entry('1', revision=5))
    change(state, 7, gone=(registry.RemovedEntry('1', 7),))
    change(state, 8, fleets.entry('1', revision=6))
    assert not service_target_ids(state)


def test_an_address_belongs_to_the_target_started_last():
    state = make_state()
    change(state, 5, fleets.entry('1', revision=5))
    successor = fleets.entry('2', revision=6, born_ms=9, address='10.9.0.1:80')
    change(state, 6, successor)
    assert service_target_ids(state) == {'2'}
    change(state, 7, gone=(registry.RemovedEntry('2', 7),))
    assert service_target_ids(state) == {'1'}


def split(*weights):
    parts = tuple(
        routes.SplitPart(f'svc{number}', weight)
        for number, weight in enumerate(weights)
    )
    return fleets.ROUTE._replace(parts=parts)


def test_a_split_is_exact_over_few_calls_of_many_instances():
    route = split(85, 10, 5)
    chosen = []
    for seed in range(20):
        state = make_state()
        state.rng.seed(seed)
        for _ in range(10):
            chosen.append(routing.pick_service(state, route))
    assert abs(chosen.count('svc0') - 170) < 6
    assert abs(chosen.count('svc1') - 20) < 6


def test_a_service_of_weight_zero_gets_no_calls():
    state = make_state()
    for seed in range(20):
        state.rng.seed(seed)
        route = split(1, 0, 1)._replace(name=f'r{seed}')
        chosen = {routing.pick_service(state, route) for _ in range(9)}
        assert chosen == {'svc0', 'svc2'}


def test_a_refused_configuration_is_learned_from_peers():
    state = make_state()
    refused = routes.RefusedConfiguration(7, 'routes[0].kind: not a word')
    received = messages.StoreState(0, 0, 4, None, (), (), 0, refused=refused)
    taken = gateway.step(state, events.PeerHeard('a2~1', received), 0)
    assert state.routes.refused == refused
    assert state.routes.in_force.number == 4
    assert any('refused' in getattr(act, 'why', '') for act in taken)
    gateway.step(state, events.RoutingRead(fleets.routing(9), 'test'), 0)
    assert state.routes.refused is None


def store_state(number, revision, age_ms, *entries):
    found = fleets.routing(number)
    return messages.StoreState(
        0,
        revision,
        number,
        found,
        entries,
        (),
        age_ms,
    )


def receive_state(state, received, now_ms):
    gateway.step(state, events.PeerHeard('b1~1', received), now_ms)
    return readiness.is_ready(state)


def make_starting_state():
    own = identity.Identity('a1', 'a1~2', 'r', 'a', 'a1:2', 'a1:1')
    state = world.create(own, policy.Policy(), random.Random(1))
    gateway.step(state, events.Tick(), 0)
    return state


def test_a_restarted_instance_waits_briefly_for_a_newer_state():
    state = make_starting_state()
    old_state = store_state(4, 40, 20_000, fleets.entry('1'))
    assert not receive_state(state, old_state, 60)
    leaving_entry = fleets.entry('1', revision=50, leaving=True)
    assert receive_state(state, store_state(5, 50, 100, leaving_entry), 300)
    assert state.routes.in_force.number == 5
    assert state.registry.entry_by_id['1'].leaving


def test_a_restarted_instance_serves_with_an_old_state_after_the_wait():
    state = make_starting_state()
    old_state = store_state(4, 40, 20_000, fleets.entry('1'))
    assert not receive_state(state, old_state, 60)
    gateway.step(state, events.Tick(), 60 + readiness.FRESHER_STATE_WAIT_MS)
    assert readiness.is_ready(state)
