"""Membership stays cheap and quick where there are many instances."""

import pytest

from oleanderstair.domain import events, messages
from oleanderstair.domain.fleet import beats, members, rosters
from oleanderstair.domain.tables import members as rows
from test import fleets

COUNT = 200
MEET_MS = 8000
BYTES_PER_S = 4000
MESSAGES_PER_S = 12


def standings(made):
    places = members.view(made.state).living_by_data_centre
    return {
        row.instance_id: row.standing
        for found in places.values()
        for row in found
    }


def start_large(place_count):
    shares = {f'p{number}-': 0 for number in range(place_count)}
    for number in range(COUNT):
        shares[f'p{number % place_count}-'] += 1
    fleet = fleets.Fleet(shares, seeds=('p0-1:1',))
    fleet.store.publish(4)
    fleet.run(MEET_MS)
    return fleet


def within(fleet, condition, within_ms):
    """Let time go on until the condition holds, looked at now and then."""
    for _ in range(within_ms // 50):
        if condition():
            return
        fleet.run(50)
    raise AssertionError(f'not within {within_ms} ms')


@pytest.mark.parametrize('place_count', [4, 13])
def test_two_hundred_cost_little_and_all_see_who_comes_and_goes(place_count):
    fleet = start_large(place_count)
    fleet.peer_bytes = 0
    fleet.peer_messages = 0
    for _ in range(10):
        fleet.run(300)
        assert all(len(standings(made)) == COUNT for made in fleet.living)
    assert fleet.peer_bytes / COUNT / 3 < BYTES_PER_S / 2
    assert fleet.peer_messages / COUNT / 3 < MESSAGES_PER_S
    fleet.peer_bytes = 0
    began_ms = fleet.now_ms
    _check_death(fleet)
    _check_join(fleet)
    _check_leaving(fleet)
    spent_s = (fleet.now_ms - began_ms) / 1000
    assert fleet.peer_bytes / COUNT / spent_s < BYTES_PER_S


def _check_death(fleet):
    fleet.kill('p1-3')
    near = near_of(fleet, 'p1-')
    within(
        fleet, lambda: not any('p1-3' in standings(made) for made in near), 3500
    )
    within(
        fleet,
        lambda: not any('p1-3' in standings(made) for made in fleet.living),
        4500,
    )


def _check_join(fleet):
    added = fleet.start('p2-999', 'p2-')
    near = near_of(fleet, 'p2-')
    within(
        fleet, lambda: all('p2-999' in standings(made) for made in near), 1000
    )
    within(
        fleet,
        lambda: all('p2-999' in standings(made) for made in fleet.living),
        2000,
    )
    assert len(standings(added)) == COUNT


def _check_leaving(fleet):
    fleet.handle(fleet.at('p3-2'), events.StopRequested())
    fleet.run(20)
    leaving = rows.Standing.LEAVING
    assert all(
        standings(made)['p3-2'] is leaving for made in near_of(fleet, 'p3-')
    )
    within(
        fleet,
        lambda: all(
            standings(made)['p3-2'] is leaving for made in fleet.living
        ),
        2500,
    )


def near_of(fleet, place):
    return [
        made
        for made in fleet.living
        if made.state.identity.data_centre == place
    ]


def test_beats_beyond_two_bytes_still_rise():
    fleet = fleets.of_three()
    fleet.run(3000)
    fleet.at('a1').state.members.beat = 65_530
    fleet.run(8000)
    heard = fleet.at('a2').state.members.by_incarnation
    row = next(row for row in heard.values() if row.instance_id == 'a1')
    assert row.beat > 65_536
    assert row.lives


def test_beats_of_another_length_are_left_out():
    fleet = fleets.of_three()
    fleet.run(3000)
    state = fleet.at('a1').state
    sender = members.neighbours(state)[0]
    before = dict(state.members.by_incarnation)
    told = rosters.compose(state, fleet.now_ms)._replace(
        rows=(sender,),
        turn=messages.Turn.ENDS,
        beats=b'\xff',
    )
    beats.take(state, told, fleet.now_ms)
    assert state.members.by_incarnation == before


def test_a_word_that_is_passed_on_ages():
    fleet = fleets.of_three()
    fleet.run(3000)
    state = fleet.at('a1').state
    now_ms = fleet.now_ms
    state.members.word_at_ms_by_data_centre['b'] = now_ms - 1
    told = rosters.with_beats(state, rosters.compose(state, now_ms), now_ms)
    other = fleet.at('a2').state
    other.members.word_at_ms_by_data_centre['b'] = now_ms - 4000
    beats.take(other, told, now_ms)
    assert other.members.word_at_ms_by_data_centre['b'] == now_ms - 50
