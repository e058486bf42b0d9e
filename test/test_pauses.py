"""After a process pause, an instance dispatches nothing on stale state."""

import pytest

from oleanderstair.domain import actions, outcomes
from oleanderstair.emulator import harness
from test import helper

PAUSED_ID = 'entry-1'
PAUSE_MS = 30000


def dispatches_since(sim, at_ms):
    log = sim.instance_by_id[PAUSED_ID].action_log
    return [
        (done_ms, action)
        for done_ms, action in log
        if isinstance(action, actions.Dispatch) and done_ms >= at_ms
    ]


def pause_with_calls(sim, count=3):
    """Pause an instance with calls pending, and return these after it."""
    sim.pause(PAUSED_ID, PAUSE_MS)
    pending = [
        sim.call(PAUSED_ID, budget_ms=PAUSE_MS + 5000) for _ in range(count)
    ]
    sim.run_for(PAUSE_MS)
    return pending


def slow_time(received):
    return 100


def cut_off_paused(sender, receiver, message):
    return () if PAUSED_ID in {sender, receiver} else (harness.HOP_MS,)


def test_nothing_is_dispatched_without_a_fresh_answer():
    sim = helper.make_harness(3)
    resumed_at_ms = sim.clock.now_ms() + PAUSE_MS
    sim.link_rule = cut_off_paused
    sim.platform_down = True
    pending = pause_with_calls(sim)
    sim.run_for(2000)
    late = [sim.call(PAUSED_ID) for _ in range(3)]
    sim.run_for(4000)
    assert not dispatches_since(sim, resumed_at_ms)
    for call_id in pending + late:
        assert sim.told_by_call[call_id].outcome is outcomes.Outcome.NOT_RUN
    sim.platform_down = False
    sim.run_for(1500)
    again = sim.call(PAUSED_ID)
    sim.run_for(100)
    assert sim.told_by_call[again].outcome is outcomes.Outcome.RAN


@pytest.mark.parametrize('source', ['peer', 'service'])
def test_dispatch_needs_a_fresh_answer_and_the_newest_note(source):
    sim = helper.make_harness(3)
    resumed_at_ms = sim.clock.now_ms() + PAUSE_MS
    if source == 'peer':
        sim.after(
            PAUSE_MS / 2,
            lambda: setattr(sim, 'platform_down', True),
        )
    else:
        sim.link_rule = cut_off_paused
    sim.after(
        1000,
        lambda: sim.publish({'withdrawn': {'targets': ['burza-1']}}),
    )
    pause_with_calls(sim)
    served = []
    for _ in range(40):
        sim.run_for(100)
        served.append(sim.call(PAUSED_ID))
    sim.run_for(1000)
    sent = dispatches_since(sim, resumed_at_ms)
    assert sim.told_by_call[served[-1]].outcome is outcomes.Outcome.RAN
    assert sent
    assert all(action.target_id != 'burza-1' for _, action in sent)
    assert min(done_ms for done_ms, _ in sent) > resumed_at_ms


def test_each_target_gets_one_call_until_it_has_answered():
    sim = helper.make_harness(2, target_count=2)
    # Disable probes, as a probe would check the targets before the calls.
    paused = sim.instance_by_id[PAUSED_ID].state
    paused.budgets.probes_checked_at_ms = float('inf')
    sim.pause(PAUSED_ID, PAUSE_MS)
    sim.run_for(PAUSE_MS + 500)
    names = sorted(sim.target_by_id)
    for name in names:
        sim.target_by_id[name].service_time = slow_time
    call_ids = [sim.call(PAUSED_ID) for _ in range(4)]
    sim.run_for(50)
    assert [len(sim.target_by_id[name].running) for name in names] == [1, 1]
    sim.run_for(800)
    assert all(
        sim.told_by_call[call_id].outcome is outcomes.Outcome.RAN
        for call_id in call_ids
    )


def test_keyed_call_pending_in_a_paused_home_does_not_run_late():
    sim = helper.make_harness(2)
    home = sim.instance_by_id[PAUSED_ID].state.identity.incarnation
    key = f'{home}.1.late'
    sim.pause(PAUSED_ID, 5000)
    call_id = sim.call('entry-2', method='POST', key=key, budget_ms=1000)
    sim.run_for(9000)
    assert sim.told_by_call[call_id].outcome is outcomes.Outcome.UNKNOWN
    assert not sim.runs
