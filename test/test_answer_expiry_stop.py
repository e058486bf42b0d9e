"""A planned stop cuts off no call and leaves no caller without an address."""

from oleanderstair.domain import events, outcomes
from oleanderstair.domain.calls import addresses
from oleanderstair.domain.fleet import answer_expiry_stop
from test import helper

STOPPED = 'entry-1'
SILENCE_MS = 3000


def test_addresses_from_before_the_stop_work_until_they_expire():
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


def test_no_answer_has_a_stopping_instance():
    made = helper.make_harness(3)
    made.step(STOPPED, events.StopRequested())
    made.run_for(1000)
    for instance_id, started in made.instance_by_id.items():
        answer = addresses.list_addresses(
            started.state, 'trnava', made.clock.now_ms()
        )
        advertised = {entry['address'] for entry in answer['addresses']}
        assert f'{STOPPED}:80' not in advertised, instance_id
        assert advertised


def test_unconfirmed_instance_exits_at_once():
    made = helper.make_harness(3)
    made.platform_down = True
    made.link_rule = lambda sender, receiver, message: ()
    made.add_instance('entry-9')
    made.run_for(500)
    made.step('entry-9', events.StopRequested())
    made.run_for(200)
    assert not made.instance_by_id['entry-9'].alive


def test_late_call_after_the_last_answer_is_still_refused():
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


def test_pause_of_the_process_does_not_count_as_time_to_refuse_calls():
    made = helper.make_harness(2)
    made.step(STOPPED, events.StopRequested())
    state = made.instance_by_id[STOPPED].state
    while not answer_expiry_stop.is_refusing_calls(state, made.clock.now_ms()):
        made.run_for(10)
    made.pause(STOPPED, 1200)
    made.run_for(1220)
    late = made.call(STOPPED)
    made.run_for(1000)
    assert made.told_by_call[late].reason is outcomes.Reason.STOPPING
    assert not made.instance_by_id[STOPPED].alive
