"""Instances join through seeds, and detect joins, stops and crashes."""

from oleanderstair.domain import events
from oleanderstair.domain.fleet import caller_addresses, member_list
from test import fleets


def live_ids(made):
    live_by_data_centre = member_list.current_view(
        made.state
    ).live_by_data_centre
    return {
        row.instance_id for rows in live_by_data_centre.values() for row in rows
    }


def all_have_members(fleet, ids):
    return all(live_ids(made) == ids for made in fleet.living)


def fleet_ids(fleet):
    return {made.state.identity.instance_id for made in fleet.living}


def advertised_ids(fleet, instance_id, data_centre):
    found = caller_addresses.choose_addresses(
        fleet.at(instance_id).state, 'h', data_centre
    )
    return {address.partition(':')[0] for address in found}


def test_all_join_by_one_live_seed_beside_a_stale_one():
    fleet = fleets.make_three_data_centres(seeds=('gone:1', 'b2:1'))
    fleet.run_until(lambda: all_have_members(fleet, fleet_ids(fleet)), 3000)


def test_crashed_instance_is_removed_within_three_seconds():
    fleet = fleets.make_three_data_centres()
    fleet.run(4000)
    fleet.kill('a3')
    local = [fleet.at(f'a{number}') for number in (1, 2, 4, 5, 6, 7)]
    fleet.run_until(
        lambda: not any('a3' in live_ids(made) for made in local),
        3000,
    )
    fleet.run(3000)
    assert all_have_members(fleet, fleet_ids(fleet))


def test_stopping_instance_is_not_advertised_any_more():
    fleet = fleets.make_three_data_centres()
    fleet.run(4000)
    fleet.handle(fleet.at('a3'), events.StopRequested())
    fleet.run(20)
    assert 'a3' not in advertised_ids(fleet, 'a3', 'a')
    assert 'a3' not in advertised_ids(fleet, 'a1', 'a')
    fleet.run(2500)
    assert 'a3' not in advertised_ids(fleet, 'b1', 'a')


def test_new_incarnation_replaces_the_old_one():
    fleet = fleets.make_three_data_centres()
    fleet.run(4000)
    fleet.kill('a3')
    fleet.run(300)
    new_incarnation = fleet.start('a3', 'a').state.identity.incarnation
    fleet.run(1500)
    for made in fleet.living:
        if made.state.identity.instance_id == 'a3':
            continue
        rows = made.state.members.member_by_incarnation.values()
        known = [row for row in rows if row.instance_id == 'a3']
        if made.state.identity.data_centre == 'a':
            assert [row.incarnation for row in known] == [new_incarnation]


def test_added_instance_serves_without_reading_the_store():
    fleet = fleets.make_three_data_centres()
    fleet.run(4000)
    before = fleet.store.asked_by.count('a9')
    added = fleet.start('a9', 'a')
    fleet.run(600)
    assert added.state.routes.in_force.number == 4
    assert len(added.state.registry.entry_by_id) == 30
    assert fleet.store.asked_by.count('a9') == before
    assert 'a9' in advertised_ids(fleet, 'a1', 'a')


def test_restarted_instance_joins_while_all_seeds_are_down():
    fleet = fleets.make_three_data_centres(seeds=('a1:1',))
    fleet.run(4000)
    fleet.kill('a1')
    fleet.kill('b3')
    fleet.run(4000)
    fleet.start('b3', 'b')
    ids = fleet_ids(fleet)
    fleet.run_until(lambda: all_have_members(fleet, ids), 20_000)


def test_one_way_cut_between_two_instances_removes_no_member():
    fleet = fleets.make_three_data_centres()
    fleet.run(4000)
    fleet.cut('a1', 'a2')
    ids = fleet_ids(fleet)
    for _ in range(40):
        fleet.run(200)
        assert live_ids(fleet.at('a2')) == ids


def test_resumed_instance_returns_and_marks_no_member_dead():
    fleet = fleets.make_three_data_centres()
    fleet.run(4000)
    paused = fleet.at('a3')
    paused.frozen = True
    fleet.run(5000)
    assert 'a3' not in advertised_ids(fleet, 'a1', 'a')
    paused.frozen = False
    fleet.run(60)
    assert live_ids(paused) == fleet_ids(fleet)
    fleet.run(3000)
    assert all_have_members(fleet, fleet_ids(fleet))


def test_other_data_centres_are_advertised_only_where_one_has_too_few():
    fleet = fleets.make_three_data_centres()
    fleet.run(4000)
    assert advertised_ids(fleet, 'b1', 'a') == {
        f'a{number}' for number in range(1, 8)
    }
    for number in range(1, 8):
        fleet.kill(f'a{number}')
    fleet.run(8000)
    assert advertised_ids(fleet, 'b1', 'a') <= fleet_ids(fleet)
    assert advertised_ids(fleet, 'b1', 'a')


def test_last_instance_advertises_itself_while_it_stops():
    fleet = fleets.Fleet({'a': 1})
    fleet.store.publish(4)
    fleet.store.put(fleets.entry('1'))
    fleet.run(3000)
    fleet.handle(fleet.at('a1'), events.StopRequested())
    assert advertised_ids(fleet, 'a1', 'a') == {'a1'}


def test_instance_that_is_not_ready_advertises_no_address():
    fleet = fleets.Fleet({'a': 1})
    fleet.store.down = True
    fleet.run(3000)
    assert not advertised_ids(fleet, 'a1', 'a')


def test_stable_fleet_sends_little_between_data_centres():
    fleet = fleets.make_three_data_centres()
    fleet.run(5000)
    fleet.away_bytes = 0
    fleet.run(10_000)
    # Bytes per second and instance, without transport framing.
    assert fleet.away_bytes / 10 / 20 < 150
