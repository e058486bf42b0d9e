"""Second attempts of calls that are late at their target."""

from oleanderstair.domain import events
from test import targets_scene

AIM_MS = 300


def _scene(**limits: float) -> targets_scene.Scene:
    return targets_scene.create(targets_scene.many(), **limits)


def _straggle_once(scene: targets_scene.Scene) -> None:
    """Let the next dispatch, wherever it goes, take seven times as long."""
    left = [1]

    def behave(target: targets_scene.Target) -> targets_scene.Told:
        times = 7 if left else 1
        span_ms = target.work_ms * times
        left.clear()
        return targets_scene.Told(span_ms)

    for target in scene.target_by_id.values():
        target.behave = behave


def test_a_straggler_is_answered_within_its_aim_by_another_target() -> None:
    scene = _scene()
    targets_scene.steady(scene, per_s=10, for_ms=3000)
    _straggle_once(scene)
    started_ms = scene.now_ms
    call_id = scene.call('entry-1')
    scene.run_for(1000)
    assert len(set(scene.sent_of(call_id))) == 2
    ended_ms, _ = scene.ended['entry-1', call_id]
    assert ended_ms - started_ms < AIM_MS
    assert scene.answered('entry-1', call_id)


def test_the_attempt_that_lost_is_cancelled_at_once() -> None:
    scene = _scene()
    _straggle_once(scene)
    call_id = scene.call('entry-1')
    scene.run_for(1000)
    assert len(scene.sent_of(call_id)) == 2
    assert len(scene.cancelled) == 1


def test_a_non_idempotent_call_is_never_hedged() -> None:
    scene = _scene()
    _straggle_once(scene)
    call_id = scene.call('entry-1', '/order/1')
    scene.run_for(2000)
    assert len(scene.sent_of(call_id)) == 1


def test_a_non_idempotent_call_that_may_have_run_goes_no_further() -> None:
    scene = _scene()
    for target in scene.target_by_id.values():
        target.behave = targets_scene.always(
            targets_scene.Told(
                5,
                events.Verdict.BROKEN,
            )
        )
    call_id = scene.call('entry-1', '/order/1')
    scene.run_for(2000)
    assert len(scene.sent_of(call_id)) == 1


def test_a_non_idempotent_call_that_was_shed_goes_on() -> None:
    scene = _scene()
    for target in list(scene.target_by_id.values())[:5]:
        target.behave = targets_scene.always(
            targets_scene.Told(
                1,
                events.Verdict.SHED,
                503,
            )
        )
    made = targets_scene.steady(scene, 5, 3000, '/order/1')
    assert any(len(scene.sent_of(call_id)) > 1 for _, call_id in made)


def test_a_full_service_gets_no_hedges() -> None:
    scene = _scene()
    _straggle_once(scene)
    call_id = scene.call('entry-1')
    scene.run_for(5)
    for target in scene.target_by_id.values():
        target.running = target.slots
    scene.run_for(895)
    assert len(scene.sent_of(call_id)) == 1


def test_hedges_leave_a_part_of_the_budget_to_retries() -> None:
    targets = targets_scene.many(work_ms=290)
    scene = targets_scene.create(targets, retry_slack=0, retry_ratio=0.2)
    targets_scene.steady(scene, per_s=10, for_ms=10_000)
    assert 0 < scene.most_repeats(10_000) <= 16


def test_a_failure_of_the_target_is_answered_by_another() -> None:
    scene = _scene()
    left = [1]

    def behave(target: targets_scene.Target) -> targets_scene.Told:
        status = 500 if left else 200
        left.clear()
        return targets_scene.Told(50, status=status)

    for target in scene.target_by_id.values():
        target.behave = behave
    call_id = scene.call('entry-1')
    scene.run_for(500)
    assert len(scene.sent_of(call_id)) == 2
    assert scene.answered('entry-1', call_id)


def test_a_failure_is_relayed_where_no_target_answers_better() -> None:
    scene = _scene()
    for target in scene.target_by_id.values():
        target.behave = targets_scene.always(targets_scene.Told(5, status=500))
    call_id = scene.call('entry-1')
    scene.run_for(500)
    assert scene.answered('entry-1', call_id)


def test_a_hedge_that_the_budget_forbids_reads_no_loads() -> None:
    scene = _scene(retry_slack=0, retry_ratio=0)
    _straggle_once(scene)
    scene.call('entry-1')
    scene.run_for(50)
    reads = len(scene.reads)
    scene.run_for(600)
    assert len(scene.reads) == reads
