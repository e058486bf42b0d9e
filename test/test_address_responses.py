"""Address responses name no instance that has ended, and stay in a region."""

import pytest

from oleanderstair.domain import events
from oleanderstair.domain.fleet import caller_addresses
from test import fleets

WINDOW_MS = 6000
"""StabilityWindowS and 3 s more, after which an end must be known."""

ASK_MS = 50


def make_fleet(count=5, **options):
    fleet = fleets.make_three_data_centres(count, **options)
    fleet.run(1000)
    fleet.introduce()
    fleet.run(5000)
    return fleet


def addresses_of(instance, data_centre):
    return caller_addresses.choose_addresses(instance.state, 'h', data_centre)


def stale_responses(fleet, ended, for_ms):
    """Ask all instances again and again for addresses in all data centres.

    Return how many responses named an instance that has ended beside another.
    """
    gone = {f'{name}:2' for name in ended}
    stale = 0
    for _ in range(int(for_ms / ASK_MS)):
        fleet.run(ASK_MS)
        for instance in fleet.living:
            for data_centre in 'abc':
                named = set(addresses_of(instance, data_centre))
                stale += bool(named & gone) and not named <= gone
    return stale


ENDS = {
    'one': ('b2',),
    'two': ('a1', 'b1'),
    'data centre': ('b1', 'b2', 'b3', 'b4', 'b5'),
}


@pytest.mark.parametrize('ended', ENDS.values(), ids=ENDS)
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_no_response_names_an_instance_that_was_killed(ended, seed):
    # Callers would lose their first attempt on an instance that is gone.
    fleet = make_fleet(seed=seed)
    for name in ended:
        fleet.kill(name)
    fleet.run(WINDOW_MS)
    assert stale_responses(fleet, ended, 10_000) <= 3


def test_a_started_instance_names_none_that_ended_before():
    # It learns of them by rows that peers still hold.
    fleet = make_fleet()
    fleet.kill('b2')
    fleet.kill('c1')
    fleet.start('a6', 'a')
    fleet.run(WINDOW_MS)
    assert stale_responses(fleet, ('b2', 'c1'), 5000) <= 3


def test_no_response_names_an_instance_that_was_stopped():
    # A planned stop is told at once.
    fleet = make_fleet()
    fleet.handle(fleet.at('b2'), events.StopRequested())
    fleet.run(1000)
    others = [one for one in fleet.living if one is not fleet.at('b2')]
    assert not any('b2:2' in addresses_of(one, 'b') for one in others)


def test_an_instance_that_has_started_again_is_named():
    fleet = make_fleet(2)
    fleet.kill('b2')
    fleet.run(WINDOW_MS)
    fleet.start('b2', 'b')
    fleet.run(WINDOW_MS)
    assert all('b2:2' in addresses_of(one, 'b') for one in fleet.living)


def make_regions(region_by_data_centre, count_by_data_centre):
    """Return a fleet whose data centres are in different regions."""
    fleet = fleets.Fleet(count_by_data_centre)
    for instance in fleet.living:
        state = instance.state
        region = region_by_data_centre[state.identity.data_centre]
        state.identity = state.identity._replace(region=region)
        state.members.region_by_data_centre = region_by_data_centre
    fleet.store.publish(4)
    fleet.store.put(fleets.entry('1'))
    fleet.run(1000)
    fleet.introduce()
    fleet.run(5000)
    return fleet


def named_places(fleet, data_centre):
    """Return the data centres that responses for one of them name."""
    return {
        address[0]
        for instance in fleet.living
        for address in addresses_of(instance, data_centre)
    }


REGIONS = {'a': 'west', 'b': 'west', 'c': 'east'}


def test_callers_are_given_instances_of_their_own_region():
    # With too few instances in its data centre, a caller would be sent to
    # another region, whatever is ready in its own.
    fleet = make_regions(REGIONS, {'a': 1, 'b': 5, 'c': 5})
    assert named_places(fleet, 'a') == {'a', 'b'}
    fleet.kill('a1')
    fleet.run(WINDOW_MS)
    assert named_places(fleet, 'a') == {'b'}


def test_callers_are_given_another_region_if_theirs_has_none():
    fleet = make_regions(REGIONS, {'a': 2, 'b': 2, 'c': 5})
    for name in ('a1', 'a2', 'b1', 'b2'):
        fleet.kill(name)
    fleet.run(WINDOW_MS + 1000)
    assert named_places(fleet, 'a') == {'c'}


def test_data_centres_of_an_unknown_region_are_named():
    # The settings of a new data centre may not have reached all instances.
    fleet = make_regions(REGIONS, {'a': 1, 'b': 5, 'c': 5})
    state = fleet.at('a1').state
    state.members.region_by_data_centre = {}
    assert {address[0] for address in addresses_of(fleet.at('a1'), 'a')} == {
        'a',
        'b',
        'c',
    }
