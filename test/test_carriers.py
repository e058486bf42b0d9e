"""The calls of a host go to few instances of each data centre."""

import collections

from oleanderstair.domain import messages
from oleanderstair.domain.fleet import (
    addressing,
    carriers,
    members,
    spreading,
)
from oleanderstair.domain.tables import routes
from oleanderstair.emulator import watched_store
from test import fleets

PLACES = {'a': 8, 'b': 6, 'c': 6}
CAPACITY = 300


def publish(fleet, routing):
    watched_store.WatchedStore.publish(fleet.store, routing)


def make_fleet(capacity_by_id=None, hosts=('h',)):
    """Return instances that each carry more than a few targets can serve."""
    ids = [f'{place}{rank}' for place in PLACES for rank in range(1, 9)]
    known = dict.fromkeys(ids, CAPACITY) | (capacity_by_id or {})
    fleet = fleets.Fleet(PLACES, capacity_by_id=known)
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


def named(fleet, asked, place, host='h'):
    found = addressing.addresses(fleet.at(asked).state, host, place)
    return {address.partition(':')[0] for address in found}


def test_all_instances_name_the_same_few():
    fleet = make_fleet()
    for place in PLACES:
        answers = [
            named(fleet, made.state.identity.instance_id, place)
            for made in fleet.living
        ]
        assert len(answers[0]) == carriers.FEWEST
        assert all(answer == answers[0] for answer in answers)
        assert {found[0] for found in answers[0]} == {place}


def test_other_hosts_go_to_others():
    hosts = [f'host-{number}' for number in range(60)]
    fleet = make_fleet(hosts=hosts)
    counted = collections.Counter()
    for host in hosts:
        counted.update(named(fleet, 'b1', 'a', host))
    assert len(counted) == PLACES['a']
    # Two of eight for each of sixty hosts: fifteen on average.
    assert max(counted.values()) <= 2 * 15


def test_the_loss_of_one_leaves_another_and_makes_a_third():
    fleet = make_fleet()
    before = named(fleet, 'b1', 'a')
    lost, left = sorted(before)
    fleet.kill(lost)
    fleet.run(3000)
    after = named(fleet, 'b1', 'a')
    assert left in after
    assert lost not in after
    assert len(after) == carriers.FEWEST


def test_who_comes_back_takes_its_place_again():
    fleet = make_fleet()
    before = named(fleet, 'b1', 'a')
    lost = min(before)
    fleet.kill(lost)
    fleet.run(3000)
    fleet.start(lost, 'a')
    fleet.run(3000)
    assert named(fleet, 'b1', 'a') == before


def test_small_instances_carry_nothing_beside_large_ones():
    small = {f'a{number}': 20 for number in range(1, 6)}
    fleet = make_fleet(small)
    assert named(fleet, 'b1', 'a') <= {'a6', 'a7', 'a8'}


def test_one_large_instance_does_not_carry_alone():
    small = {f'a{number}': 20 for number in range(1, 8)}
    fleet = make_fleet(small)
    found = named(fleet, 'b1', 'a')
    assert 'a8' in found
    assert len(found) == carriers.FEWEST


def test_more_carry_what_more_targets_can_serve():
    fleet = make_fleet()
    # Thirty targets of four slots and a third of 500 ms for a call: 720 a
    # second, which takes three instances.
    for number in range(1, 31):
        fleet.store.put(fleets.entry(str(number), revision=2))
    fleet.run(3000)
    assert len(named(fleet, 'b1', 'a')) == 3


def test_a_service_counts_those_of_all_hosts_that_lead_to_it():
    fleet = make_fleet(hosts=('h', 'i'))
    state = fleet.at('a1').state
    both = named(fleet, 'a1', 'a') | named(fleet, 'a1', 'a', 'i')
    assert set(carriers.of_service(state, 'svc', 'a')) == both
    others = carriers.elsewhere(state, 'svc', 'a')
    assert {found[0] for found in others} == {'b', 'c'}
    assert not carriers.of_service(state, 'unknown', 'a')


def test_a_part_of_a_split_counts_its_hosts():
    fleet = make_fleet()
    split = fleets.ROUTE._replace(
        parts=(routes.Part('svc', 9), routes.Part('other', 1)),
    )
    publish(
        fleet,
        fleets.routing(5)._replace(routes_by_host={'h': (split,)}),
    )
    fleet.run(3000)
    state = fleet.at('a1').state
    found = carriers.of_service(state, 'other', 'a')
    assert found == carriers.of_service(state, 'svc', 'a')


def test_others_help_where_a_data_centre_has_too_few():
    fleet = make_fleet()
    for number in range(1, 8):
        fleet.kill(f'a{number}')
    fleet.run(8000)
    found = named(fleet, 'b1', 'a')
    assert 'a8' in found
    assert {one[0] for one in found} == {'a', 'b', 'c'}


def test_large_instances_read_the_store_and_pass_on():
    small = {f'{place}{rank}': 20 for place in PLACES for rank in range(1, 5)}
    fleet = make_fleet(small)
    order = members.view(fleet.at('a1').state).reader_order
    large = sum(PLACES.values()) - len(small)
    first = [one.partition('~')[0] for one in order[:large]]
    assert not set(first) & set(small)
    sent = spreading.spread(fleet.at('a5').state, messages.StoreAsk(1, 1))
    away = {one.address[:2] for one in sent if one.address[0] != 'a'}
    assert len(away) == 2
    assert not away & set(small)
