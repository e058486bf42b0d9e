"""Choice of a target by load reports, failures and data centre."""

from oleanderstair.domain import events
from oleanderstair.domain.tables import registry
from test import targets_scene


def _percent(scene: targets_scene.Scene, target_id: str) -> int:
    found = [sent for sent in scene.sent if sent.target_id == target_id]
    return 100 * len(found) // len(scene.sent)


def test_fast_targets_are_chosen_by_fresh_reports() -> None:
    targets = targets_scene.make_targets()
    scene = targets_scene.create(targets)
    fast_count = 0
    for number in range(60):
        for target in targets:
            target.slowness = scene.rng.choice((1, 1, 5))
        targets[number % 6].slowness = 1
        call_id = scene.call('entry-1')
        scene.run_for(150)
        sent_to = scene.target_ids_of(call_id)[0]
        fast_count += scene.target_by_id[sent_to].slowness == 1
    assert fast_count > 55


def test_a_target_that_does_not_report_counts_as_slow() -> None:
    targets = targets_scene.make_targets()
    targets[0].reports = False
    scene = targets_scene.create(targets)
    targets_scene.send_steadily(scene, per_s=20, for_ms=3000)
    assert _percent(scene, 'burza-1') == 0


def test_a_target_without_reports_delays_few_calls() -> None:
    targets = targets_scene.make_targets()
    targets[0].reports = False
    scene = targets_scene.create(targets)
    delayed_count = 0
    for _ in range(20):
        started_ms = scene.now_ms
        call_id = scene.call('entry-1')
        scene.run_for(50)
        sent = [found for found in scene.sent if found.call_id == call_id]
        delayed_count += sent[0].at_ms - started_ms > 5
    assert delayed_count <= 3


def test_a_target_that_fails_fast_is_ejected_within_a_few_calls() -> None:
    targets = targets_scene.make_targets()
    targets[0].behave = targets_scene.always_reply(
        targets_scene.Reply(1, status=500)
    )
    scene = targets_scene.create(targets)
    targets_scene.send_steadily(scene, per_s=20, for_ms=5000)
    assert _percent(scene, 'burza-1') < 6


def test_a_recovered_target_is_used_again_after_its_ejection() -> None:
    targets = targets_scene.make_targets()
    targets[0].behave = targets_scene.always_reply(
        targets_scene.Reply(1, status=500)
    )
    scene = targets_scene.create(targets)
    targets_scene.send_steadily(scene, per_s=20, for_ms=5000)
    targets[0].behave = None
    scene.run_for(9000)
    scene.sent.clear()
    targets_scene.send_steadily(scene, per_s=20, for_ms=10_000)
    assert _percent(scene, 'burza-1') > 4


def test_ejections_are_ignored_while_most_targets_fail() -> None:
    targets = targets_scene.make_targets()
    for target in targets[:5]:
        target.behave = targets_scene.always_reply(
            targets_scene.Reply(
                1,
                events.Verdict.BROKEN,
            )
        )
    scene = targets_scene.create(targets)
    targets_scene.send_steadily(scene, per_s=20, for_ms=5000)
    targets[5].reports = False
    for target in targets[:5]:
        target.behave = None
    calls = targets_scene.send_steadily(scene, per_s=20, for_ms=3000)
    served = sum(scene.is_answered(*call) for call in calls)
    assert served > 9 * len(calls) // 10


def test_a_target_slower_than_reported_is_avoided_by_its_latency() -> None:
    targets = targets_scene.make_targets()
    targets[0].behave = targets_scene.always_reply(targets_scene.Reply(500))
    scene = targets_scene.create(targets)
    targets_scene.send_steadily(scene, per_s=20, for_ms=10_000)
    assert _percent(scene, 'burza-1') < 10


def test_an_address_of_another_target_is_ejected_at_once() -> None:
    targets = targets_scene.make_targets()
    targets[0].behave = targets_scene.always_reply(
        targets_scene.Reply(
            1,
            events.Verdict.SHED,
            421,
            misdirected=True,
        )
    )
    scene = targets_scene.create(targets)
    calls = targets_scene.send_steadily(scene, 20, 4000, '/order/1')
    assert all(scene.is_answered(*call) for call in calls)
    assert _percent(scene, 'burza-1') < 5


def test_calls_go_to_another_data_centre_while_the_local_one_is_slow() -> None:
    targets = targets_scene.make_targets(2)
    remote = [
        targets_scene.Target(f'far-{number}', data_centre='nitra')
        for number in range(1, 5)
    ]
    scene = targets_scene.create([*targets, *remote])
    targets_scene.send_steadily(scene, per_s=10, for_ms=2000)
    assert not any(sent.target_id.startswith('far') for sent in scene.sent)
    for target in targets:
        target.slowness = 5
    scene.run_for(1000)
    scene.sent.clear()
    targets_scene.send_steadily(scene, per_s=10, for_ms=2000)
    assert all(sent.target_id.startswith('far') for sent in scene.sent)


def test_reads_stay_within_the_budget() -> None:
    targets = targets_scene.make_targets()
    scene = targets_scene.create(targets, instances=10, probes_per_s=60.0)
    targets_scene.send_steadily(scene, per_s=400, for_ms=10_000)
    per_target_s = len(scene.reads) / len(targets) / 12
    assert per_target_s <= 60


def test_a_call_reads_only_a_sample_of_many_targets() -> None:
    targets = targets_scene.make_targets(1800)
    scene = targets_scene.create(targets)
    scene.call('entry-1')
    assert len(scene.reads) <= 8


def test_reads_keep_their_rate_under_a_higher_call_rate() -> None:
    targets = targets_scene.make_targets(4)
    scene = targets_scene.create(
        targets,
        assumed_instances=20,
        probes_per_s=60,
    )
    targets_scene.send_steadily(scene, per_s=100, for_ms=5000)
    scene.reads.clear()
    targets_scene.send_steadily(scene, per_s=100, for_ms=10_000)
    per_target_s = len(scene.reads) / len(targets) / 12
    assert 2 < per_target_s <= 60 // 20


def test_a_new_cold_target_gets_calls_within_four_seconds() -> None:
    scene = targets_scene.create(targets_scene.make_targets(), instances=5)
    targets_scene.send_steadily(scene, per_s=40, for_ms=4000)
    new_target = targets_scene.Target('burza-9', slowness=2)
    scene.target_by_id[new_target.target_id] = new_target
    slow_start_until_ms = scene.now_ms + 6000
    scene.register(
        targets_scene.registry_entry(new_target, 2, slow_start_until_ms)
    )
    scene.sent.clear()
    targets_scene.send_steadily(scene, per_s=40, for_ms=4000)
    assert 0 < _percent(scene, 'burza-9') < 6


def test_a_dispatch_carries_the_remaining_timeout_of_its_route() -> None:
    scene = targets_scene.create(targets_scene.make_targets())
    received = events.CallReceived(
        call_id=1,
        service='',
        method='GET',
        path='/look/1',
        deadline_ms=scene.now_ms + 5000,
        host=targets_scene.HOST,
    )
    scene.after(0, 'entry-1', received)
    scene.run_for(100)
    sent = scene.sent[0]
    assert sent.budget_ms == 1000 - (sent.at_ms - 100_000)


def test_running_calls_survive_the_removal_of_their_target() -> None:
    for path in ('/order/1', '/look/1'):
        scene = targets_scene.create(targets_scene.make_targets(work_ms=120))
        call_id = scene.call('entry-1', path)
        scene.run_for(20)
        target_id = scene.target_ids_of(call_id)[0]
        state = scene.state_by_id['entry-1']
        removed = events.RegistryChanged(
            9, (), (registry.RemovedEntry(target_id, 9),)
        )
        scene.after(0, 'entry-1', removed)
        scene.run_for(300)
        assert target_id not in state.registry.entry_by_id
        assert scene.is_answered('entry-1', call_id)
        assert scene.target_ids_of(call_id) == [target_id]
