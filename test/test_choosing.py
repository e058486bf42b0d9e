"""Where a call goes: by reports, by trust and by place."""

from oleanderstair.domain import events
from oleanderstair.domain.tables import registry
from test import targets_scene


def _percent(scene: targets_scene.Scene, target_id: str) -> int:
    found = [sent for sent in scene.sent if sent.target_id == target_id]
    return 100 * len(found) // len(scene.sent)


def test_noisy_neighbours_are_avoided_by_reports_of_the_moment() -> None:
    targets = targets_scene.many()
    scene = targets_scene.create(targets)
    quick = 0
    for number in range(60):
        for target in targets:
            target.slowness = scene.rng.choice((1, 1, 5))
        targets[number % 6].slowness = 1
        call_id = scene.call('entry-1')
        scene.run_for(150)
        sent_to = scene.sent_of(call_id)[0]
        quick += scene.target_by_id[sent_to].slowness == 1
    assert quick > 55


def test_a_target_that_does_not_report_counts_as_slow() -> None:
    targets = targets_scene.many()
    targets[0].reports = False
    scene = targets_scene.create(targets)
    targets_scene.steady(scene, per_s=20, for_ms=3000)
    assert _percent(scene, 'burza-1') == 0


def test_a_silent_target_holds_up_few_calls() -> None:
    targets = targets_scene.many()
    targets[0].reports = False
    scene = targets_scene.create(targets)
    held_up = 0
    for _ in range(20):
        started_ms = scene.now_ms
        call_id = scene.call('entry-1')
        scene.run_for(50)
        sent = [found for found in scene.sent if found.call_id == call_id]
        held_up += sent[0].at_ms - started_ms > 5
    assert held_up <= 3


def test_a_target_that_fails_fast_is_out_within_a_few_calls() -> None:
    targets = targets_scene.many()
    targets[0].behave = targets_scene.always(targets_scene.Told(1, status=500))
    scene = targets_scene.create(targets)
    targets_scene.steady(scene, per_s=20, for_ms=5000)
    assert _percent(scene, 'burza-1') < 6


def test_a_target_that_works_again_comes_back_by_evidence() -> None:
    targets = targets_scene.many()
    targets[0].behave = targets_scene.always(targets_scene.Told(1, status=500))
    scene = targets_scene.create(targets)
    targets_scene.steady(scene, per_s=20, for_ms=5000)
    targets[0].behave = None
    scene.run_for(9000)
    scene.sent.clear()
    targets_scene.steady(scene, per_s=20, for_ms=10_000)
    assert _percent(scene, 'burza-1') > 4


def test_bars_are_not_believed_where_most_targets_fail() -> None:
    targets = targets_scene.many()
    for target in targets[:5]:
        target.behave = targets_scene.always(
            targets_scene.Told(
                1,
                events.Verdict.BROKEN,
            )
        )
    scene = targets_scene.create(targets)
    targets_scene.steady(scene, per_s=20, for_ms=5000)
    targets[5].reports = False
    for target in targets[:5]:
        target.behave = None
    made = targets_scene.steady(scene, per_s=20, for_ms=3000)
    served = sum(scene.answered(*call) for call in made)
    assert served > 9 * len(made) // 10


def test_a_target_slower_than_it_says_is_learned_by_its_answers() -> None:
    targets = targets_scene.many()
    targets[0].behave = targets_scene.always(targets_scene.Told(500))
    scene = targets_scene.create(targets)
    targets_scene.steady(scene, per_s=20, for_ms=10_000)
    assert _percent(scene, 'burza-1') < 10


def test_an_address_with_another_owner_is_left_at_once() -> None:
    targets = targets_scene.many()
    targets[0].behave = targets_scene.always(
        targets_scene.Told(
            1,
            events.Verdict.SHED,
            421,
            misdirected=True,
        )
    )
    scene = targets_scene.create(targets)
    made = targets_scene.steady(scene, 20, 4000, '/order/1')
    assert all(scene.answered(*call) for call in made)
    assert _percent(scene, 'burza-1') < 5


def test_another_data_centre_helps_where_the_own_one_is_slow() -> None:
    targets = targets_scene.many(2)
    far = [
        targets_scene.Target(f'far-{number}', data_centre='nitra')
        for number in range(1, 5)
    ]
    scene = targets_scene.create([*targets, *far])
    targets_scene.steady(scene, per_s=10, for_ms=2000)
    assert not any(sent.target_id.startswith('far') for sent in scene.sent)
    for target in targets:
        target.slowness = 5
    scene.run_for(1000)
    scene.sent.clear()
    targets_scene.steady(scene, per_s=10, for_ms=2000)
    assert all(sent.target_id.startswith('far') for sent in scene.sent)


def test_measuring_stays_in_its_budget() -> None:
    targets = targets_scene.many()
    scene = targets_scene.create(targets, instances=10, probes_per_s=60.0)
    targets_scene.steady(scene, per_s=400, for_ms=10_000)
    per_target_s = len(scene.reads) / len(targets) / 12
    assert per_target_s <= 60


def test_many_targets_are_sampled_and_not_all_read() -> None:
    targets = targets_scene.many(1800)
    scene = targets_scene.create(targets)
    scene.call('entry-1')
    assert len(scene.reads) <= 8


def test_reads_go_on_at_their_rate_while_calls_come_faster() -> None:
    targets = targets_scene.many(4)
    scene = targets_scene.create(
        targets,
        assumed_instances=20,
        probes_per_s=60,
    )
    targets_scene.steady(scene, per_s=100, for_ms=5000)
    scene.reads.clear()
    targets_scene.steady(scene, per_s=100, for_ms=10_000)
    per_target_s = len(scene.reads) / len(targets) / 12
    assert 2 < per_target_s <= 60 // 20


def test_a_target_that_joins_cold_has_work_within_four_seconds() -> None:
    scene = targets_scene.create(targets_scene.many(), instances=5)
    targets_scene.steady(scene, per_s=40, for_ms=4000)
    joined = targets_scene.Target('burza-9', slowness=2)
    scene.target_by_id[joined.target_id] = joined
    warm_at_ms = scene.now_ms + 6000
    scene.register(targets_scene.entry_of(joined, 2, warm_at_ms))
    scene.sent.clear()
    targets_scene.steady(scene, per_s=40, for_ms=4000)
    assert 0 < _percent(scene, 'burza-9') < 6


def test_a_target_is_told_when_the_route_gives_up() -> None:
    scene = targets_scene.create(targets_scene.many())
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


def test_the_end_of_an_entry_neither_repeats_nor_gives_up_running_calls() -> (
    None
):
    for path in ('/order/1', '/look/1'):
        scene = targets_scene.create(targets_scene.many(work_ms=120))
        call_id = scene.call('entry-1', path)
        scene.run_for(20)
        target_id = scene.sent_of(call_id)[0]
        state = scene.state_by_id['entry-1']
        lapsed = events.RegistryChanged(9, (), (registry.Gone(target_id, 9),))
        scene.after(0, 'entry-1', lapsed)
        scene.run_for(300)
        assert target_id not in state.registry.entry_by_id
        assert scene.answered('entry-1', call_id)
        assert scene.sent_of(call_id) == [target_id]
