"""Each host is assigned to a few instances of each data centre."""

import collections

from oleanderstair.domain.fleet import caller_addresses, host_assignment
from oleanderstair.domain.tables import routes
from oleanderstair.emulator import watched_store
from test import fleets

INSTANCES_BY_DATA_CENTRE = {'a': 8, 'b': 6, 'c': 6}
CAPACITY = 300


def publish(fleet, routing):
    watched_store.WatchedStore.publish(fleet.store, routing)


def make_fleet(capacity_by_id=None, hosts=('h',)):
    """Start a fleet whose instances have more capacity than three targets."""
    ids = [
        f'{data_centre}{rank}'
        for data_centre in INSTANCES_BY_DATA_CENTRE
        for rank in range(1, 9)
    ]
    capacities = dict.fromkeys(ids, CAPACITY) | (capacity_by_id or {})
    fleet = fleets.Fleet(INSTANCES_BY_DATA_CENTRE, capacity_by_id=capacities)
    publish(
        fleet,
        fleets.routing(4)._replace(
            routes_by_host={
                host: (fleets.ROUTE._replace(host=host),) for host in hosts
            },
        ),
    )
    for number in range(1, 4):
        fleet.store.put(fleets.entry(str(number)))
    fleet.run(4000)
    return fleet


def advertised_ids(fleet, instance_id, data_centre, host='h'):
    found = caller_addresses.choose_addresses(
        fleet.at(instance_id).state, host, data_centre
    )
    return {address.partition(':')[0] for address in found}


def test_all_instances_compute_the_same_assignment():
    fleet = make_fleet()
    for data_centre in INSTANCES_BY_DATA_CENTRE:
        answers = [
            advertised_ids(fleet, made.state.identity.instance_id, data_centre)
            for made in fleet.living
        ]
        assert len(answers[0]) == host_assignment.MIN_HOST_INSTANCES
        assert all(answer == answers[0] for answer in answers)
        assert {found[0] for found in answers[0]} == {data_centre}


def test_hosts_spread_over_the_instances():
    hosts = [f'host-{number}' for number in range(60)]
    fleet = make_fleet(hosts=hosts)
    counted = collections.Counter()
    for host in hosts:
        counted.update(advertised_ids(fleet, 'b1', 'a', host))
    assert len(counted) == INSTANCES_BY_DATA_CENTRE['a']
    # 60 hosts with two of eight instances each: 15 hosts for each on average.
    assert max(counted.values()) <= 2 * 15


def test_lost_instance_is_replaced_and_the_other_stays():
    fleet = make_fleet()
    before = advertised_ids(fleet, 'b1', 'a')
    lost, remaining = sorted(before)
    fleet.kill(lost)
    fleet.run(3000)
    after = advertised_ids(fleet, 'b1', 'a')
    assert remaining in after
    assert lost not in after
    assert len(after) == host_assignment.MIN_HOST_INSTANCES


def test_restarted_instance_is_assigned_again():
    fleet = make_fleet()
    before = advertised_ids(fleet, 'b1', 'a')
    lost = min(before)
    fleet.kill(lost)
    fleet.run(3000)
    fleet.start(lost, 'a')
    fleet.run(3000)
    assert advertised_ids(fleet, 'b1', 'a') == before


def test_small_instances_are_not_assigned_beside_large_ones():
    small = {f'a{number}': 20 for number in range(1, 6)}
    fleet = make_fleet(small)
    assert advertised_ids(fleet, 'b1', 'a') <= {'a6', 'a7', 'a8'}


def test_single_large_instance_is_not_assigned_alone():
    small = {f'a{number}': 20 for number in range(1, 8)}
    fleet = make_fleet(small)
    found = advertised_ids(fleet, 'b1', 'a')
    assert 'a8' in found
    assert len(found) == host_assignment.MIN_HOST_INSTANCES


def test_more_targets_need_more_instances():
    fleet = make_fleet()
    # 30 targets with 4 slots, each call occupying one for a third of 500 ms,
    # serve 720 calls per second, which needs 3 instances of capacity 300.
    for number in range(1, 31):
        fleet.store.put(fleets.entry(str(number), revision=2))
    fleet.run(3000)
    assert len(advertised_ids(fleet, 'b1', 'a')) == 3


def test_service_has_the_instances_of_all_its_hosts():
    fleet = make_fleet(hosts=('h', 'i'))
    state = fleet.at('a1').state
    of_both_hosts = advertised_ids(fleet, 'a1', 'a') | advertised_ids(
        fleet, 'a1', 'a', 'i'
    )
    assert (
        set(host_assignment.instance_ids_for_service(state, 'svc', 'a'))
        == of_both_hosts
    )
    others = host_assignment.remote_instance_ids_for_service(state, 'svc', 'a')
    assert {found[0] for found in others} == {'b', 'c'}
    assert not host_assignment.instance_ids_for_service(state, 'unknown', 'a')


def test_service_of_a_split_has_the_instances_of_its_host():
    fleet = make_fleet()
    split = fleets.ROUTE._replace(
        parts=(routes.SplitPart('svc', 9), routes.SplitPart('other', 1)),
    )
    publish(
        fleet,
        fleets.routing(5)._replace(routes_by_host={'h': (split,)}),
    )
    fleet.run(3000)
    state = fleet.at('a1').state
    found = host_assignment.instance_ids_for_service(state, 'other', 'a')
    assert found == host_assignment.instance_ids_for_service(state, 'svc', 'a')


def test_other_data_centres_help_where_one_has_too_few():
    fleet = make_fleet()
    for number in range(1, 8):
        fleet.kill(f'a{number}')
    fleet.run(8000)
    found = advertised_ids(fleet, 'b1', 'a')
    assert 'a8' in found
    assert {name[0] for name in found} == {'a', 'b', 'c'}
