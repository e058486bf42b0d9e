"""After a process pause, an instance dispatches nothing on stale state."""

import pytest

from oleanderstair.domain import actions, outcomes
from oleanderstair.emulator import harness
from test import helper

PAUSED_ID = 'entry-1'
PAUSE_MS = 30000


def dispatches_since(made, at_ms):
    log = made.instance_by_id[PAUSED_ID].action_log
    return [
        (done_ms, action)
        for done_ms, action in log
        if isinstance(action, actions.Dispatch) and done_ms >= at_ms
    ]


def pause_with_calls(made, count=3):
    """Pause an instance with calls pending, and return these after it."""
    made.pause(PAUSED_ID, PAUSE_MS)
    pending = [
        made.call(PAUSED_ID, budget_ms=PAUSE_MS + 5000) for _ in range(count)
    ]
    made.run_for(PAUSE_MS)
    return pending


def slow_time(received):
    return 100


def cut_off_paused(sender, receiver, message):
    return () if PAUSED_ID in {sender, receiver} else (harness.HOP_MS,)


def test_nothing_is_dispatched_without_a_fresh_answer():
    made = helper.make_harness(3)
    resumed_at_ms = made.clock.now_ms() + PAUSE_MS
    made.link_rule = cut_off_paused
    made.platform_down = True
    pending = pause_with_calls(made)
    made.run_for(2000)
    late = [made.call(PAUSED_ID) for _ in range(3)]
    made.run_for(4000)
    assert not dispatches_since(made, resumed_at_ms)
    for call_id in pending + late:
        assert made.told_by_call[call_id].outcome is outcomes.Outcome.NOT_RUN
    made.platform_down = False
    made.run_for(1500)
    again = made.call(PAUSED_ID)
    made.run_for(100)
    assert made.told_by_call[again].outcome is outcomes.Outcome.RAN


@pytest.mark.parametrize('source', ['peer', 'service'])
def test_dispatch_needs_a_fresh_answer_and_the_newest_note(source):
    made = helper.make_harness(3)
    resumed_at_ms = made.clock.now_ms() + PAUSE_MS
    if source == 'peer':
        made.after(PAUSE_MS / 2, lambda: setattr(made, 'platform_down', True))
    else:
        made.link_rule = cut_off_paused
    made.after(
        1000,
        lambda: made.publish({'withdrawn': {'targets': ['burza-1']}}),
    )
    pause_with_calls(made)
    served = []
    for _ in range(40):
        made.run_for(100)
        served.append(made.call(PAUSED_ID))
    made.run_for(1000)
    sent = dispatches_since(made, resumed_at_ms)
    assert made.told_by_call[served[-1]].outcome is outcomes.Outcome.RAN
    assert sent
    assert all(action.target_id != 'burza-1' for _, action in sent)
    assert min(done_ms for done_ms, _ in sent) > resumed_at_ms


def test_each_target_gets_one_call_until_it_has_answered():
    made = helper.make_harness(2, target_count=2)
    # Disable probes, as a probe would check the targets before the calls.
    paused = made.instance_by_id[PAUSED_ID].state
    paused.budgets.probes_checked_at_ms = float('inf')
    made.pause(PAUSED_ID, PAUSE_MS)
    made.run_for(PAUSE_MS + 500)
    names = sorted(made.target_by_id)
    for name in names:
        made.target_by_id[name].service_time = slow_time
    call_ids = [made.call(PAUSED_ID) for _ in range(4)]
    made.run_for(50)
    assert [len(made.target_by_id[name].running) for name in names] == [1, 1]
    made.run_for(800)
    assert all(
        made.told_by_call[call_id].outcome is outcomes.Outcome.RAN
        for call_id in call_ids
    )


def test_keyed_call_pending_in_a_paused_home_does_not_run_late():
    made = helper.make_harness(2)
    home = made.instance_by_id[PAUSED_ID].state.identity.incarnation
    key = f'{home}.1.late'
    made.pause(PAUSED_ID, 5000)
    call_id = made.call('entry-2', method='POST', key=key, budget_ms=1000)
    made.run_for(9000)
    assert made.told_by_call[call_id].outcome is outcomes.Outcome.UNKNOWN
    assert not made.runs
