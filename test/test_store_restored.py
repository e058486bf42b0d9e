"""The store comes back from a copy that is some seconds old.

Its revisions go back and are given out again; its era rises.
"""

import anyio
import pytest

from oleanderstair.domain.targets import availability
from oleanderstair.emulator import published
from test import fleets, helper, loopback_node


def numbers_in_force(fleet):
    return {instance.state.routes.in_force.number for instance in fleet.living}


def make_fleet(count_by_data_centre, targets=30):
    fleet = fleets.Fleet(count_by_data_centre)
    fleet.store.publish(4)
    for number in range(1, targets + 1):
        fleet.store.put(fleets.entry(str(number)))
    fleet.run(1000)
    fleet.introduce()
    fleet.run(7000)
    assert numbers_in_force(fleet) == {4}
    return fleet


def lose_writes(fleet, count, down_ms=500):
    """Let the store come back from a copy that lacks the last writes."""
    copy = fleet.store.copy()
    for number in range(count):
        fleet.store.put(fleets.entry(f'late-{number}'))
    fleet.run(3000)
    fleet.store.down = True
    fleet.run(down_ms)
    fleet.store.down = False
    fleet.store.restore(copy)


SMALL = {'a': 8, 'b': 6, 'c': 6}
LARGE = {f'place-{number}': 52 for number in range(5)} | {'place-5': 51}


@pytest.mark.parametrize('sizes', [SMALL, LARGE], ids=['20', '311'])
@pytest.mark.parametrize('lost', [1, 4])
def test_a_configuration_is_in_force_whatever_revision_it_gets(sizes, lost):
    fleet = make_fleet(sizes)
    lose_writes(fleet, lost)
    fleet.store.publish(5)
    for number in range(lost - 1):
        fleet.store.put(fleets.entry(str(number + 1)))
    fleet.run_until(lambda: numbers_in_force(fleet) == {5}, 2000)


def test_a_node_follows_a_restored_store():
    async def scene():
        async with loopback_node.run_ready_node() as fixture:
            copy = fixture.store.copy()
            late = published.entry('127.0.0.1:1', service='sklad')
            for number in range(3):
                fixture.store.put(f'servers/late-{number}', late)
            known = fixture.node.runtime.state.registry.entry_by_id
            await helper.wait_until(lambda: 'late-2' in known)
            fixture.store.restore(copy)
            configuration = loopback_node.configuration(2)
            configuration['routes'].append(
                published.route('added', 'idempotent', 'burza')
            )
            fixture.store.put('op/config', configuration)
            fixture.store.put('servers/late-0', late)
            fixture.store.put('servers/late-1', late)
            with anyio.fail_after(2):
                served = 0
                while served != 200:
                    answer = await loopback_node.send_request(
                        fixture.address, '/added/one'
                    )
                    served = answer.status

    anyio.run(scene)


@pytest.mark.parametrize('era', ['x', '-1', '9' * 30, ''])
def test_a_malformed_era_is_a_failed_request(era):
    async def scene():
        async with loopback_node.run_ready_node() as fixture:
            runtime = fixture.node.runtime
            fixture.store.era = era
            fixture.store.put('servers/i-0', {})
            await helper.wait_until(
                lambda: runtime.state.store.failures_in_row > 0
            )
            answer = await loopback_node.send_request(fixture.address)
            assert answer.status == 200
            fixture.store.era = 1
            fixture.store.put('op/config', loopback_node.configuration(2))
            await helper.wait_until(
                lambda: runtime.state.routes.in_force.number == 2
            )

    anyio.run(scene)


def shown(fleet, target_id):
    """Return the entry of a target at each instance, None where unknown."""
    return [
        instance.state.registry.entry_by_id.get(target_id)
        for instance in fleet.living
    ]


def accepting(fleet, target_id):
    """Return how many instances may send a target a call."""
    return sum(
        availability.accepts_calls(instance.state, target_id, fleet.now_ms)
        for instance in fleet.living
    )


def restore_after(fleet, change):
    """Restore the store to what it was before a change."""
    copy = fleet.store.copy()
    change()
    fleet.run(3000)
    fleet.store.down = True
    fleet.run(500)
    fleet.store.down = False
    fleet.store.restore(copy)
    fleet.run(1500)


def test_targets_that_the_copy_lacks_may_register_again():
    fleet = make_fleet(SMALL)

    def add_targets():
        fleet.store.put(fleets.entry('late-1'))
        fleet.store.put(fleets.entry('late-2'))

    restore_after(fleet, add_targets)
    assert all(shown(fleet, 'late-1') + shown(fleet, 'late-2'))
    fleet.store.put(fleets.entry('late-1'))
    fleet.run(5000)
    assert all(shown(fleet, 'late-1'))
    assert not any(shown(fleet, 'late-2'))


def test_a_removed_target_that_the_copy_holds_gets_no_calls():
    fleet = make_fleet(SMALL)
    restore_after(fleet, lambda: fleet.store.end('7'))
    assert all(shown(fleet, '7'))
    assert not accepting(fleet, '7')
    assert accepting(fleet, '8') == 20
    fleet.store.end('7')
    fleet.run(4000)
    assert not any(shown(fleet, '7'))


def test_a_removed_target_that_lives_gets_calls_again():
    fleet = make_fleet(SMALL)

    def end_targets():
        fleet.store.end('7')
        fleet.store.end('8')

    restore_after(fleet, end_targets)
    fleet.store.put(fleets.entry('8'))
    fleet.run(500)
    assert not accepting(fleet, '7')
    assert accepting(fleet, '8') == 20
    fleet.run(8000)
    assert accepting(fleet, '7') == 20


def test_a_target_that_is_missing_for_a_moment_is_not_held_back():
    fleet = make_fleet(SMALL)
    copy = fleet.store.copy()
    fleet.store.down = True
    fleet.store.end('7')
    fleet.run(4000)
    fleet.store.down = False
    fleet.run(1000)
    # Its removal is in doubt as the store is restored.
    fleet.store.restore(copy)
    fleet.run(1000)
    assert accepting(fleet, '7') == 20


def test_a_leaving_target_that_the_copy_holds_as_ready_stays_leaving():
    fleet = make_fleet(SMALL)
    restore_after(
        fleet, lambda: fleet.store.put(fleets.entry('6', leaving=True))
    )
    assert all(entry.leaving for entry in shown(fleet, '6'))


def test_an_earlier_incarnation_in_the_copy_does_not_replace_a_later_one():
    fleet = make_fleet(SMALL)
    restore_after(fleet, lambda: fleet.store.put(fleets.entry('5', born_ms=9)))
    assert {entry.born_ms for entry in shown(fleet, '5')} == {9}
    fleet.store.put(fleets.entry('5', born_ms=9))
    fleet.run(5000)
    assert {entry.born_ms for entry in shown(fleet, '5')} == {9}


def test_a_restore_takes_few_calls_of_the_store():
    fleet = make_fleet(SMALL)
    lose_writes(fleet, 3)
    calls = fleet.store.calls
    fleet.run(10_000)
    assert fleet.store.calls - calls < 80


def test_an_older_configuration_of_the_copy_is_not_adopted():
    fleet = make_fleet(SMALL)
    restore_after(fleet, lambda: fleet.store.publish(6))
    assert numbers_in_force(fleet) == {6}
    fleet.store.publish(5)
    fleet.run(1000)
    assert numbers_in_force(fleet) == {6}


def test_a_started_instance_learns_what_the_copy_lacks_from_its_peers():
    fleet = make_fleet(SMALL)
    restore_after(fleet, lambda: fleet.store.publish(6))
    fleet.kill('b2')
    fleet.start('b2', 'b')
    fleet.run(3000)
    assert numbers_in_force(fleet) == {6}


def test_a_second_restore_is_followed_as_well():
    fleet = make_fleet(SMALL)
    for number in (5, 6):
        lose_writes(fleet, 2)
        fleet.run(3000)
        fleet.store.publish(number)
        fleet.run(2000)
        assert numbers_in_force(fleet) == {number}
