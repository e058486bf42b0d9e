"""A planned stop cuts off nothing and leaves no caller without address."""

from oleanderstair.domain import events, outcomes
from oleanderstair.domain.calls import addresses
from oleanderstair.domain.fleet import stopping
from test import helper

STOPPED = 'entry-1'
SILENCE_MS = 3000


def test_addresses_given_before_the_stop_serve_until_they_run_out():
    made = helper.make_harness(3)
    state = made.instance_by_id[STOPPED].state
    stopped_at_ms = made.clock.now_ms()
    made.step(STOPPED, events.StopRequested())
    long = made.call(STOPPED, path='/long', budget_ms=20000)
    made.run_for(state.policy.answer_validity_ms)
    in_time = made.call(STOPPED)
    made.run_for(SILENCE_MS)
    refused = made.call(STOPPED)
    made.run_for(500)
    assert made.told_by_call[in_time].outcome is outcomes.Outcome.RAN
    assert made.told_by_call[refused].reason is outcomes.Reason.STOPPING
    assert made.told_by_call[long].outcome is outcomes.Outcome.RAN
    assert not made.instance_by_id[STOPPED].alive
    assert made.clock.now_ms() - stopped_at_ms < 10000


def test_call_in_flight_is_awaited():
    made = helper.make_harness(2)
    for target in made.target_by_id.values():
        target.service_time = lambda received: 15000
    long = made.call(STOPPED, budget_ms=20000)
    made.step(STOPPED, events.StopRequested())
    made.run_for(14000)
    assert made.instance_by_id[STOPPED].alive
    made.run_for(2000)
    assert made.told_by_call[long].outcome is outcomes.Outcome.RAN
    assert not made.instance_by_id[STOPPED].alive


def test_no_answer_names_an_instance_that_stops():
    made = helper.make_harness(3)
    made.step(STOPPED, events.StopRequested())
    made.run_for(1000)
    for instance_id, started in made.instance_by_id.items():
        answer = addresses.answer(started.state, 'trnava', made.clock.now_ms())
        named = {entry['address'] for entry in answer['addresses']}
        assert f'{STOPPED}:80' not in named, instance_id
        assert named


def test_one_that_was_never_confirmed_ends_at_once():
    made = helper.make_harness(3)
    made.platform_down = True
    made.link_rule = lambda sender, receiver, message: ()
    made.add_instance('entry-9')
    made.run_for(500)
    made.step('entry-9', events.StopRequested())
    made.run_for(200)
    assert not made.instance_by_id['entry-9'].alive


def test_caller_that_comes_back_after_the_last_answer_is_still_told():
    made = helper.make_harness(2)
    for target in made.target_by_id.values():
        target.service_time = lambda received: 15000
    last = made.call(STOPPED, budget_ms=20000)
    made.step(STOPPED, events.StopRequested())
    while last not in made.told_by_call:
        made.run_for(10)
    made.run_for(300)
    late = made.call(STOPPED)
    made.run_for(1000)
    assert made.told_by_call[late].reason is outcomes.Reason.STOPPING
    assert not made.instance_by_id[STOPPED].alive


def test_time_in_which_the_process_is_held_up_is_no_last_moment_of_refusals():
    made = helper.make_harness(2)
    made.step(STOPPED, events.StopRequested())
    state = made.instance_by_id[STOPPED].state
    while not stopping.refuses(state, made.clock.now_ms()):
        made.run_for(10)
    made.pause(STOPPED, 1200)
    made.run_for(1220)
    late = made.call(STOPPED)
    made.run_for(1000)
    assert made.told_by_call[late].reason is outcomes.Reason.STOPPING
    assert not made.instance_by_id[STOPPED].alive
