"""The retry budget of routed calls, which all instances share."""

import pytest

from oleanderstair import clock
from oleanderstair.domain import actions, events, gateway, outcomes
from oleanderstair.domain.fleet import instance_count
from oleanderstair.domain.tables import members
from test import targets_scene

WINDOW_MS = 10_000
PERCENT = 20
SLACK = 75

_SHED = events.Verdict.SHED


def _max_extra_attempts(per_s: int) -> int:
    return PERCENT * per_s * WINDOW_MS // 100_000 + SLACK


def _shed_call(target: targets_scene.Target) -> targets_scene.Reply:
    return targets_scene.Reply(1, _SHED, 503)


def test_a_service_that_sheds_everything_stays_in_the_budget() -> None:
    targets = targets_scene.make_targets()
    for target in targets:
        target.behave = _shed_call
    scene = targets_scene.create(targets, instances=20)
    targets_scene.send_steadily(scene, per_s=100, for_ms=25_000)
    assert (
        0
        < scene.max_retries_in_window(WINDOW_MS)
        <= _max_extra_attempts(per_s=100)
    )


def test_retries_raise_the_success_rate_of_a_service_that_sheds_half() -> None:
    targets = targets_scene.make_targets()
    scene = targets_scene.create(targets, instances=20)

    def behave(target: targets_scene.Target) -> targets_scene.Reply:
        if scene.rng.getrandbits(1):
            return targets_scene.Reply(1, _SHED, 503)
        return targets_scene.Reply(target.work_ms)

    for target in targets:
        target.behave = behave
    calls = targets_scene.send_steadily(scene, per_s=60, for_ms=20_000)
    served = sum(scene.is_answered(*call) for call in calls)
    assert served > 55 * len(calls) // 100
    assert scene.max_retries_in_window(WINDOW_MS) <= _max_extra_attempts(
        per_s=60
    )


def test_without_a_budget_a_call_has_one_attempt() -> None:
    targets = targets_scene.make_targets()
    for target in targets:
        target.behave = _shed_call
    scene = targets_scene.create(targets, retry_ratio=0, retry_slack=0)
    call_id = scene.call('entry-1')
    scene.run_for(50)
    assert len(scene.target_ids_of(call_id)) == 1
    _, answer = scene.ended['entry-1', call_id]
    assert isinstance(answer, actions.Refuse)
    assert answer.outcome is outcomes.Outcome.NOT_RUN


def test_a_restarted_instance_earns_its_slack_again() -> None:
    targets = targets_scene.make_targets()
    for target in targets:
        target.behave = _shed_call
    scene = targets_scene.create(targets, retry_ratio=0, retry_slack=2400)
    state = scene.state_by_id['entry-1']
    state.retry_budget.counting_since_ms = scene.now_ms
    first = scene.call('entry-1')
    scene.run_for(WINDOW_MS)
    later = scene.call('entry-1')
    scene.run_for(50)
    assert len(scene.target_ids_of(first)) == 1
    assert len(scene.target_ids_of(later)) > 1


def test_a_connection_that_failed_before_sending_uses_no_budget() -> None:
    targets = targets_scene.make_targets()
    targets[0].behave = targets_scene.always_reply(
        targets_scene.Reply(
            1,
            events.Verdict.NOT_SENT,
        )
    )
    scene = targets_scene.create(targets, retry_ratio=0, retry_slack=0)
    calls = targets_scene.send_steadily(scene, per_s=10, for_ms=2000)
    assert all(scene.is_answered(*call) for call in calls)


def test_attempts_stay_within_the_maximum_of_the_route() -> None:
    targets = targets_scene.make_targets()
    for target in targets:
        target.behave = _shed_call
    scene = targets_scene.create(targets, max_attempts=2, retry_ratio=1)
    targets_scene.send_steadily(scene, per_s=20, for_ms=2000)
    by_call = {sent.call_id for sent in scene.sent}
    assert max(len(scene.target_ids_of(call_id)) for call_id in by_call) == 2


def test_a_retry_passes_on_the_remaining_time_budget() -> None:
    targets = targets_scene.make_targets(2)
    targets[0].work_ms = 900
    targets[1].work_ms = 900
    scene = targets_scene.create(targets, retry_ratio=1)
    call_id = scene.call('entry-1')
    scene.run_for(900)
    first, second = [sent for sent in scene.sent if sent.call_id == call_id]
    left_ms = first.budget_ms - (second.at_ms - first.at_ms)
    assert second.budget_ms == left_ms


def _delay_events(
    scene: targets_scene.Scene, by_ms: float, timeouts_by_ms: float
) -> None:
    """Delay all that is due, and the timeouts of calls by their own time."""
    due = [
        (at_ms + timeouts_by_ms, *rest, event)
        if isinstance(event, events.CallDue)
        else (at_ms + by_ms, *rest, event)
        for at_ms, *rest, event in scene.due
    ]
    scene.due = sorted(due, key=lambda entry: entry[:2])


# Guards against targets that run a call whose time is already up.
@pytest.mark.parametrize('path', ['/look/1', '/order/1'])
def test_an_attempt_that_ends_with_the_time_of_its_call_is_the_last(
    path: str,
) -> None:
    targets = targets_scene.make_targets(4)
    silent = targets_scene.Reply(2000, events.Verdict.SILENT, 0)
    for target in targets:
        target.behave = targets_scene.always_reply(silent)
    scene = targets_scene.create(targets)
    call_id = scene.call('entry-1', path)
    _delay_events(scene, by_ms=0, timeouts_by_ms=1)
    scene.run_for(1100)
    _, refusal = scene.ended['entry-1', call_id]
    assert all(sent.budget_ms > 0 for sent in scene.sent)
    assert isinstance(refusal, actions.Refuse)
    assert refusal.reason is outcomes.Reason.TIMEOUT


# Guards against targets that run a call whose time is already up.
def test_a_call_whose_time_is_up_before_its_load_reports_is_not_sent() -> None:
    scene = targets_scene.create(targets_scene.make_targets(2))
    scene.call('entry-1')
    _delay_events(scene, by_ms=1000, timeouts_by_ms=5)
    scene.run_for(1100)
    assert not scene.sent


def _add_members(scene: targets_scene.Scene, count: int) -> None:
    """Add members to the table of the first instance, up to ``count``."""
    state = scene.state_by_id['entry-1']
    for number in range(2, count + 1):
        row = members.Member(
            f'entry-{number}~1',
            'nitra' if number % 2 else 'trnava',
            f'entry-{number}:80',
            f'entry-{number}:90',
            started_ms=1,
            beat=1,
        )
        state.members.member_by_incarnation[row.incarnation] = row


def test_the_slack_is_divided_by_the_largest_recent_instance_count() -> None:
    scene = targets_scene.create(
        targets_scene.make_targets(), assumed_instances=1
    )
    state = scene.state_by_id['entry-1']
    _add_members(scene, 40)
    instance_count.on_tick(state, events.Tick(), scene.now_ms)
    assert state.instances.largest_count == 40
    assert state.instances.largest_local_count == 21
    state.members.member_by_incarnation.clear()
    instance_count.on_tick(state, events.Tick(), scene.now_ms + 5000)
    assert state.instances.largest_count == 40
    later_ms = scene.now_ms + instance_count.COUNT_KEPT_MS + 5001
    instance_count.on_tick(state, events.Tick(), later_ms)
    assert state.instances.largest_count == 1


def test_the_slack_grows_from_the_first_tick_on() -> None:
    targets = targets_scene.make_targets()
    for target in targets:
        target.behave = _shed_call
    scene = targets_scene.create(targets, retry_ratio=0)
    state = scene.state_by_id['entry-1']
    state.retry_budget.counting_since_ms = clock.NEVER_MS
    gateway.step(state, events.Tick(), scene.now_ms)
    scene.run_for(WINDOW_MS)
    call_id = scene.call('entry-1')
    scene.run_for(50)
    assert len(scene.target_ids_of(call_id)) > 1
