"""Roster exchange stays cheap and fast with many instances."""

import pytest

from oleanderstair.domain import events, messages
from oleanderstair.domain.fleet import heartbeat_counters, member_list, rosters
from oleanderstair.domain.tables import members
from test import fleets

INSTANCE_COUNT = 200
JOIN_MS = 8000
MAX_BYTES_PER_S = 4000
MAX_MESSAGES_PER_S = 12


def standing_by_id(made):
    live_by_data_centre = member_list.current_view(
        made.state
    ).live_by_data_centre
    return {
        row.instance_id: row.standing
        for found in live_by_data_centre.values()
        for row in found
    }


def start_large(data_centre_count):
    count_by_data_centre = {
        f'p{number}-': 0 for number in range(data_centre_count)
    }
    for number in range(INSTANCE_COUNT):
        count_by_data_centre[f'p{number % data_centre_count}-'] += 1
    fleet = fleets.Fleet(count_by_data_centre, seeds=('p0-1:1',))
    fleet.store.publish(4)
    fleet.run(JOIN_MS)
    return fleet


def run_until(fleet, condition, within_ms):
    """Run until the condition holds, which is checked every 50 ms."""
    for _ in range(within_ms // 50):
        if condition():
            return
        fleet.run(50)
    raise AssertionError(f'not within {within_ms} ms')


@pytest.mark.parametrize('data_centre_count', [4, 13])
def test_large_fleet_converges_within_its_message_budget(data_centre_count):
    fleet = start_large(data_centre_count)
    fleet.peer_bytes = 0
    fleet.peer_messages = 0
    for _ in range(10):
        fleet.run(300)
        assert all(
            len(standing_by_id(made)) == INSTANCE_COUNT for made in fleet.living
        )
    assert fleet.peer_bytes / INSTANCE_COUNT / 3 < MAX_BYTES_PER_S / 2
    assert fleet.peer_messages / INSTANCE_COUNT / 3 < MAX_MESSAGES_PER_S
    fleet.peer_bytes = 0
    began_ms = fleet.now_ms
    _check_crash(fleet)
    _check_join(fleet)
    _check_leaving(fleet)
    spent_s = (fleet.now_ms - began_ms) / 1000
    assert fleet.peer_bytes / INSTANCE_COUNT / spent_s < MAX_BYTES_PER_S


def _check_crash(fleet):
    fleet.kill('p1-3')
    local = local_instances(fleet, 'p1-')
    run_until(
        fleet,
        lambda: not any('p1-3' in standing_by_id(made) for made in local),
        3500,
    )
    run_until(
        fleet,
        lambda: (
            not any('p1-3' in standing_by_id(made) for made in fleet.living)
        ),
        4500,
    )


def _check_join(fleet):
    added = fleet.start('p2-999', 'p2-')
    local = local_instances(fleet, 'p2-')
    run_until(
        fleet,
        lambda: all('p2-999' in standing_by_id(made) for made in local),
        1000,
    )
    run_until(
        fleet,
        lambda: all('p2-999' in standing_by_id(made) for made in fleet.living),
        2000,
    )
    assert len(standing_by_id(added)) == INSTANCE_COUNT


def _check_leaving(fleet):
    fleet.handle(fleet.at('p3-2'), events.StopRequested())
    fleet.run(20)
    leaving = members.Standing.LEAVING
    assert all(
        standing_by_id(made)['p3-2'] is leaving
        for made in local_instances(fleet, 'p3-')
    )
    run_until(
        fleet,
        lambda: all(
            standing_by_id(made)['p3-2'] is leaving for made in fleet.living
        ),
        2500,
    )


def local_instances(fleet, data_centre):
    return [
        made
        for made in fleet.living
        if made.state.identity.data_centre == data_centre
    ]


def test_beats_beyond_two_bytes_still_rise():
    fleet = fleets.make_three_data_centres()
    fleet.run(3000)
    fleet.at('a1').state.members.beat = 65_530
    fleet.run(8000)
    known = fleet.at('a2').state.members.member_by_incarnation
    row = next(row for row in known.values() if row.instance_id == 'a1')
    assert row.beat > 65_536
    assert row.is_live


def test_beats_of_another_length_are_ignored():
    fleet = fleets.make_three_data_centres()
    fleet.run(3000)
    state = fleet.at('a1').state
    sender = member_list.other_local_members(state)[0]
    before = dict(state.members.member_by_incarnation)
    roster = rosters.compose_roster(state, fleet.now_ms)._replace(
        rows=(sender,),
        turn=messages.Turn.ENDS,
        beats=b'\xff',
    )
    heartbeat_counters.apply_beats(state, roster, fleet.now_ms)
    assert state.members.member_by_incarnation == before


def test_contact_age_grows_when_it_is_forwarded():
    fleet = fleets.make_three_data_centres()
    fleet.run(3000)
    state = fleet.at('a1').state
    now_ms = fleet.now_ms
    state.members.contact_at_ms_by_data_centre['b'] = now_ms - 1
    roster = rosters.add_beats(
        state, rosters.compose_roster(state, now_ms), now_ms
    )
    other = fleet.at('a2').state
    other.members.contact_at_ms_by_data_centre['b'] = now_ms - 4000
    heartbeat_counters.apply_beats(other, roster, now_ms)
    assert other.members.contact_at_ms_by_data_centre['b'] == now_ms - 50
