"""The retry budget of all instances, and what is sent more than once."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, gateway, outcomes
from oleanderstair.domain.fleet import counting
from oleanderstair.domain.tables import members
from test import targets_scene

WINDOW_MS = 10_000
PERCENT = 20
SLACK = 75

_SHED = events.Verdict.SHED


def _allowed(per_s: int) -> int:
    return PERCENT * per_s * WINDOW_MS // 100_000 + SLACK


def _shed(target: targets_scene.Target) -> targets_scene.Told:
    return targets_scene.Told(1, _SHED, 503)


def test_a_service_that_sheds_everything_stays_in_the_budget() -> None:
    targets = targets_scene.many()
    for target in targets:
        target.behave = _shed
    scene = targets_scene.create(targets, instances=20)
    targets_scene.steady(scene, per_s=100, for_ms=25_000)
    assert 0 < scene.most_repeats(WINDOW_MS) <= _allowed(per_s=100)


def test_a_service_that_sheds_half_is_helped_by_second_attempts() -> None:
    targets = targets_scene.many()
    scene = targets_scene.create(targets, instances=20)

    def behave(target: targets_scene.Target) -> targets_scene.Told:
        if scene.rng.getrandbits(1):
            return targets_scene.Told(1, _SHED, 503)
        return targets_scene.Told(target.work_ms)

    for target in targets:
        target.behave = behave
    made = targets_scene.steady(scene, per_s=60, for_ms=20_000)
    served = sum(scene.answered(*call) for call in made)
    assert served > 55 * len(made) // 100
    assert scene.most_repeats(WINDOW_MS) <= _allowed(per_s=60)


def test_calls_without_a_budget_go_to_one_target_only() -> None:
    targets = targets_scene.many()
    for target in targets:
        target.behave = _shed
    scene = targets_scene.create(targets, retry_ratio=0, retry_slack=0)
    call_id = scene.call('entry-1')
    scene.run_for(50)
    assert len(scene.sent_of(call_id)) == 1
    _, told = scene.ended['entry-1', call_id]
    assert isinstance(told, actions.Refuse)
    assert told.outcome is outcomes.Outcome.NOT_RUN


def test_a_started_instance_earns_its_slack_anew() -> None:
    targets = targets_scene.many()
    for target in targets:
        target.behave = _shed
    scene = targets_scene.create(targets, retry_ratio=0, retry_slack=2400)
    state = scene.state_by_id['entry-1']
    state.repeats.since_ms = scene.now_ms
    first = scene.call('entry-1')
    scene.run_for(WINDOW_MS)
    later = scene.call('entry-1')
    scene.run_for(50)
    assert len(scene.sent_of(first)) == 1
    assert len(scene.sent_of(later)) > 1


def test_a_connection_that_failed_before_sending_costs_nothing() -> None:
    targets = targets_scene.many()
    targets[0].behave = targets_scene.always(
        targets_scene.Told(
            1,
            events.Verdict.NOT_SENT,
        )
    )
    scene = targets_scene.create(targets, retry_ratio=0, retry_slack=0)
    made = targets_scene.steady(scene, per_s=10, for_ms=2000)
    assert all(scene.answered(*call) for call in made)


def test_attempts_stay_within_the_most_of_the_route() -> None:
    targets = targets_scene.many()
    for target in targets:
        target.behave = _shed
    scene = targets_scene.create(targets, max_attempts=2, retry_ratio=1)
    targets_scene.steady(scene, per_s=20, for_ms=2000)
    by_call = {sent.call_id for sent in scene.sent}
    assert max(len(scene.sent_of(call_id)) for call_id in by_call) == 2


def test_the_deadline_handed_on_is_what_is_left() -> None:
    targets = targets_scene.many(2)
    targets[0].work_ms = 900
    targets[1].work_ms = 900
    scene = targets_scene.create(targets, retry_ratio=1)
    call_id = scene.call('entry-1')
    scene.run_for(900)
    first, second = [sent for sent in scene.sent if sent.call_id == call_id]
    left_ms = first.budget_ms - (second.at_ms - first.at_ms)
    assert second.budget_ms == left_ms


def _members(scene: targets_scene.Scene, count: int) -> None:
    """Let the first instance know of some others."""
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
        state.members.by_incarnation[row.incarnation] = row


def test_the_slack_is_shared_by_the_largest_recent_count() -> None:
    scene = targets_scene.create(targets_scene.many(), assumed_instances=1)
    state = scene.state_by_id['entry-1']
    _members(scene, 40)
    counting.on_tick(state, events.Tick(), scene.now_ms)
    assert state.instances.largest_count == 40
    assert state.instances.largest_near_count == 21
    state.members.by_incarnation.clear()
    counting.on_tick(state, events.Tick(), scene.now_ms + 5000)
    assert state.instances.largest_count == 40
    later_ms = scene.now_ms + counting.HELD_MS + 5001
    counting.on_tick(state, events.Tick(), later_ms)
    assert state.instances.largest_count == 1


def test_the_slack_is_earned_before_the_first_call() -> None:
    targets = targets_scene.many()
    for target in targets:
        target.behave = _shed
    scene = targets_scene.create(targets, retry_ratio=0)
    state = scene.state_by_id['entry-1']
    state.repeats.since_ms = clock.NEVER_MS
    gateway.step(state, events.Tick(), scene.now_ms)
    scene.run_for(WINDOW_MS)
    call_id = scene.call('entry-1')
    scene.run_for(50)
    assert len(scene.sent_of(call_id)) > 1
