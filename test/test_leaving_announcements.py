"""Targets that announce in an answer that they leave or request a back-off."""

from oleanderstair.domain import actions, events, gateway, messages, outcomes
from oleanderstair.domain.tables import members
from test import targets_scene

REMOTE_PEER = members.Member(
    'entry-9~1',
    'senec',
    'entry-9:80',
    'entry-9',
    1,
    1,
    members.Standing.READY,
)
LOCAL_PEER = REMOTE_PEER._replace(
    incarnation='entry-8~1',
    data_centre=targets_scene.OWN_DATA_CENTRE,
    peer_address='entry-8',
)


def scene_with_peers():
    scene = targets_scene.create(targets_scene.make_targets())
    state = scene.state_by_id['entry-1']
    for row in (REMOTE_PEER, LOCAL_PEER):
        roster = messages.Roster((row,), 0, 0, 0, 0, 0, messages.Turn.ENDS)
        sent = events.PeerHeard(row.incarnation, roster)
        gateway.step(state, sent, scene.now_ms)
    return scene, state


def announce(scene, target_id, **fields):
    state = scene.state_by_id['entry-1']
    message = events.TargetTold(target_id, 1, **fields)
    return gateway.step(state, message, scene.now_ms)


def sent_messages(taken):
    return [
        (act.incarnation, act.message)
        for act in taken
        if isinstance(act, actions.SendPeer)
    ]


def targets_used(scene, for_ms=3000):
    scene.sent.clear()
    targets_scene.send_steadily(scene, per_s=40, for_ms=for_ms)
    return {sent.target_id for sent in scene.sent}


def test_a_target_that_announces_leaving_gets_no_calls_or_reads():
    scene, _ = scene_with_peers()
    announce(scene, 'burza-1', leaving=True)
    assert 'burza-1' not in targets_used(scene)
    assert 'burza-1' not in {target_id for _, target_id in scene.reads}


def test_only_a_restart_ends_an_announced_leaving():
    scene, _ = scene_with_peers()
    announce(scene, 'burza-1', leaving=True)
    target = scene.target_by_id['burza-1']
    scene.register(targets_scene.registry_entry(target, revision=2))
    assert 'burza-1' not in targets_used(scene)
    restarted = targets_scene.registry_entry(target, revision=3)._replace(
        born_ms=2
    )
    scene.register(restarted)
    assert 'burza-1' in targets_used(scene, for_ms=8000)


def test_a_late_answer_of_an_earlier_incarnation_is_ignored():
    scene, state = scene_with_peers()
    target = scene.target_by_id['burza-1']
    restarted = targets_scene.registry_entry(target, revision=3)._replace(
        born_ms=2
    )
    scene.register(restarted)
    announce(scene, 'burza-1', leaving=True, rest_ms=5000)
    assert not state.registry.entry_by_id['burza-1'].leaving
    assert 'burza-1' in targets_used(scene, for_ms=8000)


def test_an_announcement_is_sent_once_with_a_bounded_fan_out():
    scene, _ = scene_with_peers()
    sent = sent_messages(announce(scene, 'burza-1', leaving=True))
    message = messages.TargetLeft('burza-1', 1)
    assert sorted(sent) == [('entry-8~1', message), ('entry-9~1', message)]
    assert not sent_messages(announce(scene, 'burza-1', leaving=True))


def test_an_announcement_from_a_peer_is_applied_and_relayed():
    scene, state = scene_with_peers()
    message = messages.TargetLeft('burza-1', 1)
    from_remote = events.PeerHeard('entry-9~1', message)
    taken = gateway.step(state, from_remote, scene.now_ms)
    assert sent_messages(taken) == [('entry-8~1', message)]
    assert 'burza-1' not in targets_used(scene)
    second = messages.TargetLeft('burza-2', 1)
    from_local = events.PeerHeard('entry-8~1', second)
    assert not sent_messages(gateway.step(state, from_local, scene.now_ms))


def test_peers_send_known_announcements_to_a_restarted_instance():
    scene, state = scene_with_peers()
    announce(scene, 'burza-1', leaving=True)
    request = events.PeerHeard('entry-8~1', messages.StoreAsk(0, 0))
    replies = sent_messages(gateway.step(state, request, scene.now_ms))
    store_state = replies[0][1]
    sent = {entry.target_id: entry.leaving for entry in store_state.entries}
    assert sent['burza-1']
    assert not sent['burza-2']


def test_a_target_gets_no_calls_or_reads_during_its_back_off():
    scene, _ = scene_with_peers()
    announce(scene, 'burza-1', rest_ms=4000)
    started_ms = scene.now_ms
    scene.reads.clear()
    used = targets_used(scene, for_ms=1800)
    assert 'burza-1' not in used
    assert 'burza-1' not in {target_id for _, target_id in scene.reads}
    scene.run_for(started_ms + 4100 - scene.now_ms)
    assert 'burza-1' in targets_used(scene, for_ms=8000)


def test_a_requested_back_off_is_limited():
    scene = targets_scene.create(
        targets_scene.make_targets(1), rest_limit_ms=500
    )
    taken = announce(scene, 'burza-1', rest_ms=86_400_000)
    assert any('500' in getattr(act, 'why', '') for act in taken)
    scene.run_for(600)
    assert targets_used(scene, for_ms=500) == {'burza-1'}


def test_calls_are_refused_at_once_with_jitter_if_all_targets_back_off():
    scene, _ = scene_with_peers()
    for number, target_id in enumerate(scene.target_by_id):
        announce(scene, target_id, rest_ms=2000 + 500 * number)
    waits_ms = set()
    for _ in range(8):
        call_id = scene.call('entry-1')
        at_ms, refused = scene.ended['entry-1', call_id]
        assert at_ms == scene.now_ms
        assert refused.outcome is outcomes.Outcome.NOT_RUN
        assert 2000 <= refused.retry_after_ms < 4000
        waits_ms.add(refused.retry_after_ms)
    assert len(waits_ms) > 1


def test_a_restart_of_a_target_ends_its_back_off():
    scene, state = scene_with_peers()
    announce(scene, 'burza-1', rest_ms=60_000)
    target = scene.target_by_id['burza-1']
    restarted = targets_scene.registry_entry(target, revision=3)._replace(
        born_ms=2
    )
    scene.register(restarted)
    assert 'burza-1' in targets_used(scene, for_ms=8000)


def test_the_only_serving_target_is_found_among_many_leaving_ones():
    scene = targets_scene.create(targets_scene.make_targets(40))
    for number in range(2, 41):
        announce(scene, f'burza-{number}', leaving=True)
    calls = targets_scene.send_steadily(scene, per_s=10, for_ms=3000)
    assert all(scene.is_answered(*call) for call in calls)
