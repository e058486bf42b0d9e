"""A large configuration is in force in time over narrow links."""

import collections

import pytest

from oleanderstair.domain import actions
from test import fleets

SMALL = {'a': 8, 'b': 6, 'c': 6}
LARGE = {f'p{number}-': 52 for number in range(5)} | {'p5-': 51}
SIZES = pytest.mark.parametrize('sizes', [SMALL, LARGE], ids=['20', '311'])
TEN_MBIT_BYTES_PER_MS = 1250
BOUND_MS = 2500
ROUTES = 1400


def make_settled_fleet(sizes):
    """Return a fleet in which all have met; then its links get narrow."""
    fleet = fleets.Fleet(sizes)
    fleet.store.publish(4)
    for number in range(100):
        fleet.store.put(fleets.entry(str(number)))
    fleet.run(1000)
    fleet.introduce()
    fleet.run(1500)
    assert late_count(fleet, 4) == 0
    members = {
        len(instance.state.members.member_by_incarnation)
        for instance in fleet.living
    }
    assert members == {sum(sizes.values()) - 1}
    fleet.link_bytes_per_ms = TEN_MBIT_BYTES_PER_MS
    for instance in fleet.living:
        instance.done.clear()
    return fleet


def late_count(fleet, number):
    """Return how many running instances don't have a configuration yet."""
    return sum(
        instance.state.routes.in_force.number < number
        for instance in fleet.living
        if not instance.frozen
    )


def copies(fleet):
    """Return how many copies of configurations were sent, by the reason."""
    count_by_label = collections.Counter()
    for instance in fleet.living:
        for action in instance.done:
            if isinstance(action, actions.Count):
                if action.name == 'configuration-copies':
                    count_by_label[action.label] += action.amount
    return count_by_label


# Guards against a change that is late as one reader sends it to all.
@SIZES
def test_a_large_configuration_is_in_force_in_time(sizes):
    fleet = make_settled_fleet(sizes)
    fleet.store.publish_large(5, ROUTES)
    fleet.run_until(lambda: not late_count(fleet, 5), BOUND_MS)


# Guards against copies that multiply while a large configuration is on its way.
def test_each_instance_gets_few_copies_of_a_configuration():
    fleet = make_settled_fleet(LARGE)
    fleet.store.publish_large(5, ROUTES)
    fleet.run(BOUND_MS)
    assert copies(fleet).total() < 3 * len(fleet.living)


# Guards against instances behind one that fails while it should forward.
@SIZES
def test_a_change_passes_instances_that_are_frozen(sizes):
    fleet = make_settled_fleet(sizes)
    for instance in fleet.living[::3]:
        instance.frozen = True
    fleet.store.publish_large(5, ROUTES)
    fleet.run_until(lambda: not late_count(fleet, 5), BOUND_MS)


# Guards against changes that queue behind each other on the links.
def test_changes_in_quick_succession_are_in_force_in_time():
    fleet = make_settled_fleet(LARGE)
    refused = fleet.living[::4]
    fleet.store.refused_ids.update(
        instance.state.identity.instance_id for instance in refused
    )
    for number in range(5, 8):
        fleet.store.publish_large(number, 350)
        fleet.run(150)
    fleet.store.publish_large(8, ROUTES)
    fleet.run_until(lambda: not late_count(fleet, 8), BOUND_MS)
