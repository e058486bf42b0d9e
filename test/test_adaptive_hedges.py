"""Adaptive hedges and their limit as a share of the calls of a service."""

import bisect

import pytest

from oleanderstair.domain import events
from oleanderstair.domain.calls import adaptive_hedges
from oleanderstair.domain.tables import hedges
from oleanderstair.domain.targets import sampling
from test import targets_scene, test_decisions

WINDOW_MS = 10_000


def make_scene(**limits):
    limits.setdefault('adaptive_hedges', True)
    targets = targets_scene.make_targets()
    scene = targets_scene.create(targets, **limits)

    def behave(target):
        # One dispatch in twelve takes seven times as long.
        factor = 7 if scene.rng.random() < 1 / 12 else 1
        return targets_scene.Reply(target.work_ms * factor)

    for target in targets:
        target.behave = behave
    return scene


def call_steadily(scene, per_s, for_ms, path='/look/1'):
    """Return the times of arrival of calls at the first instance."""
    arrived_at_ms = []
    for _ in range(int(per_s * for_ms / 1000)):
        arrived_at_ms.append(scene.now_ms)
        scene.call('entry-1', path)
        scene.run_for(1000 / per_s)
    return arrived_at_ms


def hedged_at_ms(scene):
    seen = set()
    hedged = []
    for sent in scene.sent:
        if sent.call_id in seen:
            hedged.append(sent.at_ms)
        seen.add(sent.call_id)
    return hedged


def slow_call(scene):
    """Start a call at targets that are slow; return its row."""
    for target in scene.target_by_id.values():
        target.behave = targets_scene.always_reply(targets_scene.Reply(900))
    call_id = scene.call('entry-1')
    scene.run_for(5)
    return scene.state_by_id['entry-1'].routed.call_by_id[call_id]


@pytest.mark.parametrize('adaptive', [False, True])
@pytest.mark.parametrize(('share', 'per_s'), [(0.02, 40), (0.1, 40), (0.1, 3)])
def test_hedges_of_any_window_stay_within_the_limit(share, per_s, adaptive):
    # A limit over all time would let hedges bunch up while targets are slow.
    scene = make_scene(hedge_limit_share=share, adaptive_hedges=adaptive)
    arrived = call_steadily(scene, per_s, 30_000)
    hedged = hedged_at_ms(scene)
    assert hedged
    for end, at_ms in enumerate(hedged, start=1):
        since_ms = at_ms - WINDOW_MS
        hedge_count = end - bisect.bisect_right(hedged, since_ms)
        call_count = bisect.bisect_right(arrived, at_ms) - bisect.bisect_right(
            arrived, since_ms
        )
        assert hedge_count <= share * call_count


def test_few_calls_give_no_hedge():
    # A limit that is rounded up would hedge one of few calls at each instance.
    scene = make_scene(hedge_limit_share=0.05)
    call_steadily(scene, per_s=1.5, for_ms=20_000)
    assert not hedged_at_ms(scene)


def test_hedges_stay_within_the_retry_budget():
    # The limit is no budget of its own beside the one of extra attempts.
    scene = make_scene(retry_ratio=0.05, retry_slack=0)
    call_steadily(scene, per_s=40, for_ms=20_000)
    assert 0 < scene.max_retries_in_window(WINDOW_MS) <= 0.05 * 400


def test_the_delay_follows_a_shift_of_latencies_within_seconds():
    # An old delay would hedge most calls while targets are slowed.
    scene = make_scene(hedge_limit_share=0.05)
    state = scene.state_by_id['entry-1']
    learned = []
    for work_ms, for_ms in ((60, 8000), (300, 4000), (60, 4000)):
        for target in scene.target_by_id.values():
            target.work_ms = work_ms
            target.behave = None
        call_steadily(scene, per_s=40, for_ms=for_ms)
        row = hedges.latencies_of(state.hedges, 'lookup')
        learned.append(row.delay_ms)
    assert learned == pytest.approx([60, 300, 60], rel=0.1)


def test_the_delay_is_never_below_the_floor():
    # Answers of a few ms vary by more than a hedge could save.
    scene = make_scene()
    for target in scene.target_by_id.values():
        target.behave = targets_scene.always_reply(targets_scene.Reply(2))
    call_steadily(scene, per_s=40, for_ms=4000)
    row = hedges.latencies_of(scene.state_by_id['entry-1'].hedges, 'lookup')
    assert row.delay_ms == adaptive_hedges.MIN_DELAY_MS


def test_a_non_idempotent_call_is_not_hedged():
    # A second run of an order would not be undone.
    scene = make_scene()
    call_steadily(scene, per_s=40, for_ms=5000, path='/order/1')
    assert not hedged_at_ms(scene)


def find_limit_of_slow_call(scene, after_ms=500):
    call = slow_call(scene)
    state = scene.state_by_id['entry-1']
    return adaptive_hedges.find_limit(state, call, scene.now_ms + after_ms)


def test_a_slow_call_is_hedged():
    scene = make_scene()
    call_steadily(scene, per_s=40, for_ms=4000)
    assert find_limit_of_slow_call(scene) is None


def test_no_call_is_hedged_while_free_slots_are_short():
    # Hedges would take the slots that queued calls wait for.
    scene = make_scene()
    call_steadily(scene, per_s=40, for_ms=4000)
    short_at_ms = scene.state_by_id['entry-1'].routed
    short_at_ms.slots_short_at_ms_by_service['burza'] = scene.now_ms + 200
    limit = find_limit_of_slow_call(scene)
    assert limit is adaptive_hedges.Limit.SHORTAGE


def test_no_call_is_hedged_while_targets_shed():
    # A service that sheds needs its extra attempts for what it shed.
    scene = make_scene()
    call_steadily(scene, per_s=40, for_ms=4000)
    shed = targets_scene.Reply(1, events.Verdict.SHED, 503)
    for target in list(scene.target_by_id.values())[:4]:
        target.behave = targets_scene.always_reply(shed)
    call_steadily(scene, per_s=40, for_ms=500)
    limit = find_limit_of_slow_call(scene)
    assert limit is adaptive_hedges.Limit.SHED


def test_no_call_is_hedged_that_a_hedge_could_not_answer_in_time():
    # Its answer would come after the deadline and be dropped.
    scene = make_scene()
    call_steadily(scene, per_s=40, for_ms=4000)
    limit = find_limit_of_slow_call(scene, after_ms=930)
    assert limit is adaptive_hedges.Limit.TOO_LATE


@pytest.mark.parametrize(
    ('answer_bytes', 'expected'),
    [(400, ['burza-4', 'far']), (90_000, ['burza-4']), (None, ['burza-4'])],
)
def test_targets_that_share_a_cause_are_left_out(answer_bytes, expected):
    # A hedge to a slowed machine is as slow as the first attempt, and a large
    # answer from another data centre loads the link between them.
    far = targets_scene.Target('far', data_centre='nitra')
    targets = [*targets_scene.make_targets(4), far]
    scene = targets_scene.create(targets, adaptive_hedges=True)
    state = scene.state_by_id['entry-1']
    call_id = scene.call('entry-1')
    scene.run_for(30)
    call = state.routed.call_by_id[call_id]
    attempt = call.attempts[0]._replace(target_id='burza-1')
    call = call._replace(attempts=(attempt,))
    entries = state.registry.entry_by_id
    same_host = entries['burza-1'].address.replace(':80', ':81')
    entries['burza-2'] = entries['burza-2']._replace(address=same_host)
    slowed = targets_scene.Target('burza-3', slowness=5).report()
    sampling.store_report(state, 'burza-3', slowed, scene.now_ms)
    row = hedges.latencies_of(state.hedges, 'lookup')
    row.answer_bytes = answer_bytes
    known = [target.target_id for target in targets]
    assert adaptive_hedges.select_unrelated(state, call, known) == expected


def test_nothing_is_counted_or_learned_by_default():
    # Deployments that set neither switch are served as before.
    scene = make_scene(adaptive_hedges=False)
    call_steadily(scene, per_s=40, for_ms=2000)
    assert scene.state_by_id['entry-1'].hedges == hedges.create()


def test_the_log_line_of_an_answer_says_which_attempt_won():
    # Without it, the effect of hedges can't be judged by the log.
    fleet, sink = test_decisions.logged_fleet()
    for member in fleet.member_by_id.values():
        limits = member.state.policy._replace(adaptive_hedges=True)
        member.state.policy = limits
    for _ in range(20):
        fleet.call('entry-0', 'lookup')
        fleet.run_for(100)
    runs = iter([700])

    def work(received, rng):
        return next(runs, 20)

    for target in fleet.target_by_id.values():
        target.work = work
    fleet.call('entry-0', 'lookup', request_id='r-1')
    fleet.run_for(1000)
    lines = [text for text in sink.lines if 'id=r-1' in text]
    sent = [text for text in lines if 'event=sent' in text]
    assert 'why=hedge' in sent[1]
    assert 'first_ms=' in sent[1]
    assert 'won=hedge' in lines[-1]
    assert fleet.counts['hedges', 'burza'] == 1
    assert fleet.counts['hedges-won', 'burza'] == 1


def test_a_call_is_counted_once_by_the_limit_that_held_its_hedge_back():
    # A count of all tries would rise with the time that calls are slow.
    fleet, sink = test_decisions.logged_fleet()
    for member in fleet.member_by_id.values():
        limits = member.state.policy._replace(hedge_limit_share=0)
        member.state.policy = limits
    for target in fleet.target_by_id.values():
        target.work = slow_work
    fleet.call('entry-0', 'lookup', request_id='r-1', deadline_ms=600)
    fleet.run_for(1000)
    label = 'service=burza limit=hedge-limit'
    assert fleet.counts['hedges-held-back', label] == 1
    assert 'hedge=hedge-limit' in sink.lines[-1]


def slow_work(received, rng):
    return 700


def test_latencies_of_hedges_are_not_learned():
    # With them, a route would seem faster the more of its calls are hedged.
    scene = make_scene()
    arrived = call_steadily(scene, per_s=40, for_ms=4000)
    scene.run_for(2000)
    row = hedges.latencies_of(scene.state_by_id['entry-1'].hedges, 'lookup')
    assert hedged_at_ms(scene)
    assert len(row.samples) == len(arrived)
