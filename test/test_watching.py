"""Few instances read the store, and all others hear of it in time."""

import pytest

from oleanderstair.domain import actions, events, gateway
from oleanderstair.domain.fleet import members
from test import fleets


def numbers(fleet):
    return {made.state.routes.in_force.number for made in fleet.living}


def sees_leaving(made, target_id):
    entry = made.state.registry.entry_by_id.get(target_id)
    return entry is None or entry.leaving


def all_saw(fleet, target_id):
    return all(sees_leaving(made, target_id) for made in fleet.living)


def readers(fleet):
    order = members.view(fleet.at('b1').state).reader_order
    return [name.partition('~')[0] for name in order[:2]]


def leave(fleet, target_id):
    known = fleet.store.entry_by_id[target_id]
    fleet.store.put(known._replace(leaving=True))


def set_frozen(instances, frozen):
    for made in instances:
        made.frozen = frozen


def ready(count=7, **more):
    fleet = fleets.of_three(count, **more)
    fleet.run(6000)
    assert numbers(fleet) == {4}
    return fleet


def test_a_cold_start_reads_few_times_and_reaches_all():
    fleet = fleets.of_three()
    fleet.run_until(
        lambda: all(made.state.routes.in_force for made in fleet.living),
        600,
    )
    assert fleet.store.calls <= 8


@pytest.mark.parametrize('count', [7, 67])
def test_a_first_start_at_unequal_speeds_reads_few_times(count):
    fleet = fleets.of_three(
        count,
        start_ms=1200,
        first_start=True,
        seeds=('a1:1', 'b1:1', 'c1:1'),
    )
    fleet.run_until(
        lambda: all(made.state.routes.in_force for made in fleet.living),
        4000,
    )
    assert fleet.store.calls <= 8


def test_a_first_start_without_seeds_still_knows_before_callers_come():
    fleet = fleets.of_three(7, first_start=True, seeds=('nobody:1',))
    fleet.run_until(
        lambda: all(made.state.routes.in_force for made in fleet.living),
        4000,
    )


def test_a_calm_minute_takes_few_calls_by_two_data_centres():
    fleet = ready()
    fleet.store.calls = 0
    fleet.store.asked_by.clear()
    fleet.run(60_000)
    assert fleet.store.calls <= 125
    assert len({name[0] for name in fleet.store.asked_by}) == 2


def change_twice(fleet, number):
    """Return how many ms two changes take to the last instance."""
    fleet.store.publish(number)
    yield fleet.run_until(lambda: numbers(fleet) == {number}, 2000)
    leave(fleet, str(number))
    yield fleet.run_until(lambda: all_saw(fleet, str(number)), 2000)


@pytest.mark.parametrize('count', [7, 67])
def test_a_change_reaches_the_last_instance_in_time(count):
    fleet = ready(count)
    calls = fleet.store.calls
    spans_ms = []
    for number in range(5, 8):
        spans_ms.extend(change_twice(fleet, number))
        fleet.run(700)
    assert max(spans_ms) < 500
    # The readers stay two, however many instances there are.
    assert fleet.store.calls - calls < 40


def test_a_leaving_is_heard_in_time_when_both_readers_die():
    fleet = ready()
    for name in readers(fleet):
        fleet.kill(name)
    leave(fleet, '7')
    assert fleet.run_until(lambda: all_saw(fleet, '7'), 2000) < 1700


def test_a_leaving_is_heard_in_time_when_both_readers_freeze():
    fleet = ready()
    asleep = [fleet.at(name) for name in readers(fleet)]
    awake = [made for made in fleet.living if made not in asleep]
    set_frozen(asleep, frozen=True)
    leave(fleet, '7')
    fleet.run_until(
        lambda: all(sees_leaving(made, '7') for made in awake),
        1700,
    )
    set_frozen(asleep, frozen=False)
    fleet.run(600)
    assert all_saw(fleet, '7')


def test_readers_that_the_store_turns_away_are_replaced():
    fleet = ready()
    fleet.store.refused.update(readers(fleet))
    leave(fleet, '7')
    fleet.run_until(lambda: all_saw(fleet, '7'), 1700)
    fleet.run(3000)
    fleet.store.calls = 0
    leave(fleet, '8')
    assert fleet.run_until(lambda: all_saw(fleet, '8'), 2000) < 500
    fleet.run(10_000)
    assert fleet.store.calls < 40


def test_most_are_turned_away_and_the_rest_serve_them():
    fleet = ready()
    names = sorted(made.state.identity.instance_id for made in fleet.living)
    fleet.store.refused.update(names[:16])
    fleet.run(4000)
    leave(fleet, '7')
    fleet.run_until(lambda: all_saw(fleet, '7'), 2000)


def test_an_instance_that_nobody_tells_reads_for_itself():
    fleet = ready()
    for made in fleet.living:
        other = made.state.identity.instance_id
        fleet.cut('c2', other)
        fleet.cut(other, 'c2')
    leave(fleet, '7')
    fleet.run_until(lambda: sees_leaving(fleet.at('c2'), '7'), 2000)


def test_an_outage_takes_a_bounded_number_of_calls():
    fleet = ready()
    fleet.store.down = True
    fleet.store.calls = 0
    fleet.run(10_000)
    assert fleet.store.calls < 120
    fleet.store.down = False
    leave(fleet, '7')
    fleet.run_until(lambda: all_saw(fleet, '7'), 3000)


def test_what_vanished_in_an_outage_stays_until_it_is_back():
    fleet = ready()
    fleet.store.down = True
    for target_id in ('1', '2'):
        fleet.store.end(target_id)
    fleet.run(5000)
    fleet.store.down = False
    fleet.run(1500)
    for made in fleet.living:
        assert {'1', '2'} <= made.state.registry.entry_by_id.keys()
    fleet.store.put(fleets.entry('1'))
    fleet.run(4500)
    for made in fleet.living:
        assert '1' in made.state.registry.entry_by_id
        assert '2' not in made.state.registry.entry_by_id


def test_all_restart_while_the_store_is_down_and_serve_once_it_is_back():
    fleet = ready()
    fleet.store.down = True
    for ended in fleet.living:
        own = ended.state.identity
        fleet.kill(own.instance_id)
        fleet.start(own.instance_id, own.data_centre)
    fleet.run(8000)
    fleet.store.down = False
    fleet.run_until(
        lambda: all(made.state.routes.in_force for made in fleet.living),
        3000,
    )


def test_a_lost_history_is_read_anew_and_what_ended_is_gone():
    fleet = ready()
    reader = fleet.at(readers(fleet)[0])
    fleet.store.end('3')
    fleet.handle(reader, events.HistoryLost())
    fleet.run(1500)
    assert all_saw(fleet, '3')
    assert '3' not in reader.state.registry.entry_by_id


def test_a_configuration_never_goes_back():
    fleet = ready()
    fleet.store.publish(9)
    fleet.run(1000)
    fleet.store.publish(6)
    fleet.run(1000)
    assert numbers(fleet) == {9}


def ticks_of_a_start(made, now_ms):
    """Return when a started instance looks again, beside its usual ticks."""
    return [
        now_ms + action.after_ms
        for action in gateway.step(made.state, events.Tick(), now_ms)
        if isinstance(action, actions.Schedule)
        and isinstance(action.event, events.Tick)
    ]


def reads(made, now_ms):
    done = gateway.step(made.state, events.Tick(), now_ms)
    return any(isinstance(action, actions.ReadStore) for action in done)


def test_a_lone_start_reads_when_due_and_not_at_the_next_tick():
    made = fleets.Fleet({'a': 1}).at('a1')
    looks_ms = ticks_of_a_start(made, 0)
    assert max(looks_ms) < made.state.policy.tick_ms * 2
    assert any(reads(made, at_ms) for at_ms in looks_ms)
