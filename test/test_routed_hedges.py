"""Hedges and retries of routed calls."""

from oleanderstair.domain import events
from test import targets_scene

LATENCY_TARGET_MS = 300


def _scene(**limits: float) -> targets_scene.Scene:
    return targets_scene.create(targets_scene.make_targets(), **limits)


def _slow_next_dispatch(scene: targets_scene.Scene) -> None:
    """Make the next dispatch to any target take seven times as long."""
    slow_calls_left = [1]

    def behave(target: targets_scene.Target) -> targets_scene.Reply:
        factor = 7 if slow_calls_left else 1
        latency_ms = target.work_ms * factor
        slow_calls_left.clear()
        return targets_scene.Reply(latency_ms)

    for target in scene.target_by_id.values():
        target.behave = behave


def test_a_hedge_answers_a_slow_call_within_its_latency_target() -> None:
    scene = _scene()
    targets_scene.send_steadily(scene, per_s=10, for_ms=3000)
    _slow_next_dispatch(scene)
    started_ms = scene.now_ms
    call_id = scene.call('entry-1')
    scene.run_for(1000)
    assert len(set(scene.target_ids_of(call_id))) == 2
    ended_ms, _ = scene.ended['entry-1', call_id]
    assert ended_ms - started_ms < LATENCY_TARGET_MS
    assert scene.is_answered('entry-1', call_id)


def test_the_attempt_that_lost_is_cancelled_at_once() -> None:
    scene = _scene()
    _slow_next_dispatch(scene)
    call_id = scene.call('entry-1')
    scene.run_for(1000)
    assert len(scene.target_ids_of(call_id)) == 2
    assert len(scene.cancelled) == 1


def test_a_non_idempotent_call_is_never_hedged() -> None:
    scene = _scene()
    _slow_next_dispatch(scene)
    call_id = scene.call('entry-1', '/order/1')
    scene.run_for(2000)
    assert len(scene.target_ids_of(call_id)) == 1


def test_a_non_idempotent_call_that_may_have_run_is_not_retried() -> None:
    scene = _scene()
    for target in scene.target_by_id.values():
        target.behave = targets_scene.always_reply(
            targets_scene.Reply(
                5,
                events.Verdict.BROKEN,
            )
        )
    call_id = scene.call('entry-1', '/order/1')
    scene.run_for(2000)
    assert len(scene.target_ids_of(call_id)) == 1


def test_a_non_idempotent_call_that_was_shed_is_retried() -> None:
    scene = _scene()
    for target in list(scene.target_by_id.values())[:5]:
        target.behave = targets_scene.always_reply(
            targets_scene.Reply(
                1,
                events.Verdict.SHED,
                503,
            )
        )
    calls = targets_scene.send_steadily(scene, 5, 3000, '/order/1')
    assert any(len(scene.target_ids_of(call_id)) > 1 for _, call_id in calls)


def test_a_full_service_gets_no_hedges() -> None:
    scene = _scene()
    _slow_next_dispatch(scene)
    call_id = scene.call('entry-1')
    scene.run_for(5)
    for target in scene.target_by_id.values():
        target.running = target.slots
    scene.run_for(895)
    assert len(scene.target_ids_of(call_id)) == 1


def test_hedges_use_only_a_share_of_the_retry_budget() -> None:
    targets = targets_scene.make_targets(work_ms=290)
    scene = targets_scene.create(targets, retry_slack=0, retry_ratio=0.2)
    targets_scene.send_steadily(scene, per_s=10, for_ms=10_000)
    assert 0 < scene.max_retries_in_window(10_000) <= 16


def test_a_call_that_fails_at_one_target_is_answered_by_another() -> None:
    scene = _scene()
    slow_calls_left = [1]

    def behave(target: targets_scene.Target) -> targets_scene.Reply:
        status = 500 if slow_calls_left else 200
        slow_calls_left.clear()
        return targets_scene.Reply(50, status=status)

    for target in scene.target_by_id.values():
        target.behave = behave
    call_id = scene.call('entry-1')
    scene.run_for(500)
    assert len(scene.target_ids_of(call_id)) == 2
    assert scene.is_answered('entry-1', call_id)


def test_a_failure_is_relayed_if_all_targets_fail() -> None:
    scene = _scene()
    for target in scene.target_by_id.values():
        target.behave = targets_scene.always_reply(
            targets_scene.Reply(5, status=500)
        )
    call_id = scene.call('entry-1')
    scene.run_for(500)
    assert scene.is_answered('entry-1', call_id)


def test_a_hedge_that_the_budget_forbids_reads_no_loads() -> None:
    scene = _scene(retry_slack=0, retry_ratio=0)
    _slow_next_dispatch(scene)
    scene.call('entry-1')
    scene.run_for(50)
    reads = len(scene.reads)
    scene.run_for(600)
    assert len(scene.reads) == reads
