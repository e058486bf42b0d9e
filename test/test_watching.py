"""Few instances read the store, and its changes reach all in time."""

import pytest

from oleanderstair.domain import actions, events, gateway
from oleanderstair.domain.fleet import member_list
from test import fleets


def numbers_in_force(fleet):
    return {instance.state.routes.in_force.number for instance in fleet.living}


def shows_leaving(instance, target_id):
    entry = instance.state.registry.entry_by_id.get(target_id)
    return entry is None or entry.leaving


def all_show_leaving(fleet, target_id):
    return all(shows_leaving(instance, target_id) for instance in fleet.living)


def readers(fleet):
    order = member_list.current_view(fleet.at('b1').state).reader_order
    return [name.partition('~')[0] for name in order[:2]]


def mark_leaving(fleet, target_id):
    known = fleet.store.entry_by_id[target_id]
    fleet.store.put(known._replace(leaving=True))


def set_frozen(instances, frozen):
    for instance in instances:
        instance.frozen = frozen


def create_ready(count=7, **more):
    fleet = fleets.make_three_data_centres(count, **more)
    fleet.run(6000)
    assert numbers_in_force(fleet) == {4}
    return fleet


def test_cold_start_reads_the_store_few_times():
    fleet = fleets.make_three_data_centres()
    fleet.run_until(
        lambda: all(
            instance.state.routes.in_force for instance in fleet.living
        ),
        600,
    )
    assert fleet.store.calls <= 8


@pytest.mark.parametrize('count', [7, 67])
def test_first_start_at_unequal_speeds_reads_the_store_few_times(count):
    fleet = fleets.make_three_data_centres(
        count,
        start_ms=1200,
        first_start=True,
        seeds=('a1:1', 'b1:1', 'c1:1'),
    )
    fleet.run_until(
        lambda: all(
            instance.state.routes.in_force for instance in fleet.living
        ),
        4000,
    )
    assert fleet.store.calls <= 8


def test_first_start_without_live_seeds_ends_before_callers_come():
    fleet = fleets.make_three_data_centres(
        7, first_start=True, seeds=('nobody:1',)
    )
    fleet.run_until(
        lambda: all(
            instance.state.routes.in_force for instance in fleet.living
        ),
        4000,
    )


def test_steady_state_takes_few_calls_from_two_data_centres():
    fleet = create_ready()
    fleet.store.calls = 0
    fleet.store.asked_by.clear()
    fleet.run(60_000)
    assert fleet.store.calls <= 125
    assert len({name[0] for name in fleet.store.asked_by}) == 2


def change_twice(fleet, number):
    """Make two changes; yield the ms until each has reached all instances."""
    fleet.store.publish(number)
    yield fleet.run_until(lambda: numbers_in_force(fleet) == {number}, 2000)
    mark_leaving(fleet, str(number))
    yield fleet.run_until(lambda: all_show_leaving(fleet, str(number)), 2000)


@pytest.mark.parametrize('count', [7, 67])
def test_change_reaches_all_instances_in_time(count):
    fleet = create_ready(count)
    calls = fleet.store.calls
    spans_ms = []
    for number in range(5, 8):
        spans_ms.extend(change_twice(fleet, number))
        fleet.run(700)
    assert max(spans_ms) < 500
    # There are two readers, whatever the size of the fleet.
    assert fleet.store.calls - calls < 40


def test_leaving_target_is_known_in_time_if_both_readers_die():
    fleet = create_ready()
    for name in readers(fleet):
        fleet.kill(name)
    mark_leaving(fleet, '7')
    assert fleet.run_until(lambda: all_show_leaving(fleet, '7'), 2000) < 1700


def test_leaving_target_is_known_in_time_if_both_readers_freeze():
    fleet = create_ready()
    frozen_readers = [fleet.at(name) for name in readers(fleet)]
    others = [
        instance for instance in fleet.living if instance not in frozen_readers
    ]
    set_frozen(frozen_readers, frozen=True)
    mark_leaving(fleet, '7')
    fleet.run_until(
        lambda: all(shows_leaving(instance, '7') for instance in others),
        1700,
    )
    set_frozen(frozen_readers, frozen=False)
    fleet.run(600)
    assert all_show_leaving(fleet, '7')


def test_readers_that_the_store_refuses_are_replaced():
    fleet = create_ready()
    fleet.store.refused.update(readers(fleet))
    mark_leaving(fleet, '7')
    fleet.run_until(lambda: all_show_leaving(fleet, '7'), 1700)
    fleet.run(3000)
    fleet.store.calls = 0
    mark_leaving(fleet, '8')
    assert fleet.run_until(lambda: all_show_leaving(fleet, '8'), 2000) < 500
    fleet.run(10_000)
    assert fleet.store.calls < 40


def test_store_that_refuses_most_instances_still_reaches_all():
    fleet = create_ready()
    names = sorted(
        instance.state.identity.instance_id for instance in fleet.living
    )
    fleet.store.refused.update(names[:16])
    fleet.run(4000)
    mark_leaving(fleet, '7')
    fleet.run_until(lambda: all_show_leaving(fleet, '7'), 2000)


def test_isolated_instance_reads_the_store_itself():
    fleet = create_ready()
    for instance in fleet.living:
        other = instance.state.identity.instance_id
        fleet.cut('c2', other)
        fleet.cut(other, 'c2')
    mark_leaving(fleet, '7')
    fleet.run_until(lambda: shows_leaving(fleet.at('c2'), '7'), 2000)


def test_outage_takes_a_bounded_number_of_calls():
    fleet = create_ready()
    fleet.store.down = True
    fleet.store.calls = 0
    fleet.run(10_000)
    assert fleet.store.calls < 120
    fleet.store.down = False
    mark_leaving(fleet, '7')
    fleet.run_until(lambda: all_show_leaving(fleet, '7'), 3000)


def test_entry_that_expired_in_an_outage_may_register_again():
    fleet = create_ready()
    fleet.store.down = True
    for target_id in ('1', '2'):
        fleet.store.end(target_id)
    fleet.run(5000)
    fleet.store.down = False
    fleet.run(1500)
    for instance in fleet.living:
        assert {'1', '2'} <= instance.state.registry.entry_by_id.keys()
    fleet.store.put(fleets.entry('1'))
    fleet.run(4500)
    for instance in fleet.living:
        assert '1' in instance.state.registry.entry_by_id
        assert '2' not in instance.state.registry.entry_by_id


def test_fleet_restarted_in_an_outage_serves_after_it():
    fleet = create_ready()
    fleet.store.down = True
    for ended in fleet.living:
        own = ended.state.identity
        fleet.kill(own.instance_id)
        fleet.start(own.instance_id, own.data_centre)
    fleet.run(8000)
    fleet.store.down = False
    fleet.run_until(
        lambda: all(
            instance.state.routes.in_force for instance in fleet.living
        ),
        3000,
    )


def test_lost_history_causes_a_full_read_without_removed_entries():
    fleet = create_ready()
    reader = fleet.at(readers(fleet)[0])
    fleet.store.end('3')
    fleet.handle(reader, events.HistoryLost())
    fleet.run(1500)
    assert all_show_leaving(fleet, '3')
    assert '3' not in reader.state.registry.entry_by_id


def test_configuration_number_never_decreases():
    fleet = create_ready()
    fleet.store.publish(9)
    fleet.run(1000)
    fleet.store.publish(6)
    fleet.run(1000)
    assert numbers_in_force(fleet) == {9}


def extra_start_ticks_ms(instance, now_ms):
    """Return the times of the extra ticks that a first tick schedules."""
    return [
        now_ms + action.after_ms
        for action in gateway.step(instance.state, events.Tick(), now_ms)
        if isinstance(action, actions.Schedule)
        and isinstance(action.event, events.Tick)
    ]


def reads_store(instance, now_ms):
    done = gateway.step(instance.state, events.Tick(), now_ms)
    return any(isinstance(action, actions.ReadStore) for action in done)


def test_lone_instance_reads_between_ticks_as_soon_as_due():
    instance = fleets.Fleet({'a': 1}).at('a1')
    tick_times_ms = extra_start_ticks_ms(instance, 0)
    assert max(tick_times_ms) < instance.state.policy.tick_ms * 2
    assert any(reads_store(instance, at_ms) for at_ms in tick_times_ms)


# Guards against a lost request that keeps an instance from reading the store.
def test_store_is_read_after_a_request_that_was_lost(monkeypatch):
    fleet = create_ready(1)
    # Requests of all instances have no result from now on.
    with monkeypatch.context() as lossy:
        lossy.setattr(fleet, '_ask', lambda *parameters: None)
        fleet.run(3000)
    fleet.store.publish(5)
    fleet.run_until(lambda: numbers_in_force(fleet) == {5}, 17_000)
