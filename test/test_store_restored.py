"""The store comes back from a copy that is some seconds old.

Its revisions go back and are given out again; its era rises.
"""

import anyio
import pytest

from oleanderstair.emulator import published
from test import fleets, helper, loopback_node


def numbers_in_force(fleet):
    return {instance.state.routes.in_force.number for instance in fleet.living}


def make_fleet(count_by_data_centre, targets=30):
    fleet = fleets.Fleet(count_by_data_centre)
    fleet.store.publish(4)
    for number in range(1, targets + 1):
        fleet.store.put(fleets.entry(str(number)))
    fleet.run(8000)
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
