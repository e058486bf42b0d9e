"""Known peers, the largest instance count, and addresses for callers."""

import hypothesis
from hypothesis import strategies

from oleanderstair.domain import actions, events, messages
from oleanderstair.domain.calls import addresses
from oleanderstair.domain.fleet import (
    heartbeats,
    listed_instances,
    peer_liveness,
)
from oleanderstair.domain.tables import instances
from test import helper


def record_peer(state, incarnation, now_ms=0, **fields):
    instance_id = peer_liveness.instance_id_of(incarnation)
    row = instances.Peer(
        incarnation=incarnation,
        instance_id=instance_id,
        region='west',
        data_centre=fields.pop('data_centre', 'trnava'),
        caller_address=f'{instance_id}:80',
        peer_address=instance_id,
        heard_at_ms=now_ms,
        **fields,
    )
    peer_liveness.record_peer(state, row, now_ms)


def listed(*instance_ids):
    return events.InstancesRead(
        tuple(
            events.ListedInstance(name, 'west', 'trnava', f'{name}:80', name)
            for name in instance_ids
        ),
    )


def test_replaced_incarnation_returns_only_after_the_newer_is_silent():
    state = helper.make_world()
    record_peer(state, 'entry-2~old')
    record_peer(state, 'entry-2~new', now_ms=10)
    record_peer(state, 'entry-2~old', now_ms=20)
    assert list(state.instances.peer_by_incarnation) == ['entry-2~new']
    silence_ms = peer_liveness.max_silence_ms(state)
    record_peer(state, 'entry-2~old', now_ms=silence_ms + 20)
    assert list(state.instances.peer_by_incarnation) == ['entry-2~old']


def test_largest_count_is_kept_for_the_window_after_the_list_shrinks():
    state = helper.make_world()
    names = [f'entry-{number}' for number in range(1, 19)]
    listed_instances.on_instances(state, listed(*names), 0)
    listed_instances.on_instances(state, listed(*names[:3]), 120_000)
    assert state.instances.own_largest_count == 18
    window_ms = listed_instances.COUNT_WINDOW_MINUTES * 60_000
    listed_instances.on_instances(state, listed(*names[:3]), window_ms)
    assert state.instances.own_largest_count == 3
    record_peer(state, 'entry-2~1', now_ms=window_ms, largest_count=18)
    listed_instances.on_tick(state, events.Tick(), window_ms)
    assert state.instances.largest_count == 18
    assert heartbeats.own_state(state).largest_count == 3


@hypothesis.settings(derandomize=True, deadline=None, max_examples=80)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.booleans(),
            strategies.booleans(),
            strategies.integers(0, 6000),
            strategies.sampled_from(['trnava', 'nitra', 'senec']),
        ),
        max_size=30,
    ),
)
def test_answer_has_usable_instances_only_and_local_ones_first(peers):
    state = helper.make_world()
    now_ms = 6000
    usable = set()
    for number, (confirmed, leaving, heard_at_ms, data_centre) in enumerate(
        peers
    ):
        record_peer(
            state,
            f'peer-{number}~1',
            now_ms=heard_at_ms,
            confirmed=confirmed,
            leaving=leaving,
            data_centre=data_centre,
            epoch=7,
        )
        recent = now_ms - heard_at_ms <= peer_liveness.max_silence_ms(state)
        if confirmed and not leaving and recent:
            usable.add(f'peer-{number}~1.7.')
    found = addresses.list_addresses(state, 'nitra', now_ms)['addresses']
    assert {entry['key_prefix'] for entry in found} <= usable
    assert len(found) == min(len(usable), addresses.MAX_ADDRESSES)
    order = [entry['data_centre'] != 'nitra' for entry in found]
    assert order == sorted(order)


def test_first_address_differs_between_answers():
    made = helper.make_harness(count=9)
    state = made.instance_by_id['entry-1'].state
    firsts = {
        addresses.list_addresses(state, 'nitra', made.clock.now_ms())[
            'addresses'
        ][0]['address']
        for _ in range(40)
    }
    assert len(firsts) > 1


def test_heartbeats_of_an_instance_do_not_grow_with_the_fleet():
    sent_by_count = {}
    for count in (9, 18):
        made = helper.make_harness(count=count)
        made.run_for(20_000)
        started_ms = made.clock.now_ms()
        made.run_for(10_000)
        sent_by_count[count] = sum(
            isinstance(action, actions.SendPeer)
            for at_ms, action in made.instance_by_id['entry-1'].action_log
            if at_ms >= started_ms
        )
        live_peers = peer_liveness.live_peers(
            made.instance_by_id['entry-1'].state,
            made.clock.now_ms(),
        )
        assert len(live_peers) == count - 1
    assert sent_by_count[18] <= sent_by_count[9] * 3 / 2


def test_restart_at_the_same_address_is_known_within_seconds():
    made = helper.make_harness(count=6)
    made.kill('entry-3')
    state = made.add_instance('entry-3', confirm_without_peers=True)
    made.run_for(3000)
    for instance_id, instance in made.instance_by_id.items():
        if instance_id != 'entry-3':
            known = instance.state.instances.peer_by_incarnation
            assert state.identity.incarnation in known


def test_resumed_instance_advertises_no_silent_peer():
    made = helper.make_harness(count=4)
    state = made.instance_by_id['entry-1'].state
    later_ms = made.clock.now_ms() + 30_000
    advertised = addresses.list_addresses(state, 'trnava', later_ms)[
        'addresses'
    ]
    assert [entry['address'] for entry in advertised] == ['entry-1:80']


def test_unknown_pulse_from_an_unlisted_sender_is_ignored():
    state = helper.make_world()
    pulse = messages.Pulse(heartbeats.own_state(state))
    assert not heartbeats.on_peer(state, events.PeerHeard('x~1', pulse), 0)
    assert not state.instances.peer_by_incarnation
