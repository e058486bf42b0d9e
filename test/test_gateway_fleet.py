"""The simulated fleet of instances with routed calls."""

from oleanderstair.domain import events, outcomes
from oleanderstair.domain.tables import load_reports
from oleanderstair.emulator import gateway_fleet, gateway_targets, plans

LOOKUP = plans.Kind('lookup', 'burza', 0, plans.Work(40))
ORDER = plans.Kind('order', 'burza', 0, plans.Work(40), idempotent=False)


def make_fleet(
    instances: int = 1,
    targets: int = 2,
    seed: int = 1,
) -> gateway_fleet.GatewayFleet:
    """Return a fleet of serving instances and targets of one service."""
    fleet = gateway_fleet.create(seed)
    for number in range(targets):
        fleet.add_target(f'burza-{number}', 'burza')
    fleet.publish(LOOKUP, ORDER)
    for number in range(instances):
        fleet.add_instance(
            f'entry-{number}',
            seeds=('entry-0',),
            assumed_instances=1,
        )
    fleet.run_for(3000)
    return fleet


def test_a_call_runs_once_and_is_answered() -> None:
    fleet = make_fleet()
    call_id = fleet.call('entry-0', 'lookup')
    fleet.run_for(1000)
    answer = fleet.told_by_call[call_id]
    assert answer.outcome is outcomes.Outcome.RAN
    assert answer.status == 200
    assert [run.call_id for run in fleet.runs] == [call_id]


def test_a_path_without_a_route_is_not_run() -> None:
    fleet = make_fleet()
    call_id = fleet.call('entry-0', 'nothing')
    assert fleet.told_by_call[call_id].reason is outcomes.Reason.NO_ROUTE


def test_a_change_of_the_store_reaches_an_instance() -> None:
    fleet = make_fleet()
    state = fleet.member_by_id['entry-0'].state
    fleet.leave('burza-1')
    fleet.run_for(1000)
    assert state.registry.entry_by_id['burza-1'].leaving
    fleet.end('burza-1')
    fleet.run_for(1000)
    assert set(state.registry.entry_by_id) == {'burza-0'}


def test_a_full_target_never_answers_what_it_cannot_queue() -> None:
    fleet = make_fleet(targets=1)
    target = fleet.target_by_id['burza-0']
    target.work = lambda received, rng: 10_000
    target.lying_report = load_reports.Report(0, 0, 100)
    for _ in range(target.slots + target.queue + 1):
        fleet.call('entry-0', 'order', deadline_ms=300)
    fleet.run_for(100)
    assert len(target.running) == target.slots
    assert len(target.waiting) == target.queue
    assert target.arrivals == target.slots + target.queue + 1
    fleet.run_for(1000)
    assert not target.running
    assert not target.waiting


def test_another_target_at_the_address_refuses_as_misdirected() -> None:
    fleet = make_fleet(targets=1)
    fleet.keep_steps = True
    fleet.crash('burza-0')
    other = fleet.add_target('sklad-0', 'sklad')
    other.address = fleet.target_by_id['burza-0'].address
    call_id = fleet.call('entry-0', 'lookup')
    fleet.run_for(200)
    ended = [
        step.event
        for step in fleet.done
        if isinstance(step.event, events.AttemptEnded)
    ]
    assert ended[0].misdirected
    assert not fleet.runs
    assert fleet.told_by_call[call_id].outcome is outcomes.Outcome.NOT_RUN


def test_a_call_to_a_frozen_instance_is_handled_after_it() -> None:
    fleet = make_fleet()
    fleet.freeze('entry-0', 500)
    call_id = fleet.call('entry-0', 'lookup', deadline_ms=2000)
    fleet.run_for(490)
    assert call_id not in fleet.told_by_call
    fleet.run_for(500)
    assert fleet.told_by_call[call_id].outcome is outcomes.Outcome.RAN


def test_a_call_whose_answer_is_lost_ran_with_an_unknown_outcome() -> None:
    fleet = make_fleet(targets=1)
    lost = gateway_targets.Behaviour.LOSE_ANSWER
    fleet.target_by_id['burza-0'].behaviour = lost
    call_id = fleet.call('entry-0', 'order', deadline_ms=500)
    fleet.run_for(1500)
    assert len(fleet.runs) == 1
    assert fleet.told_by_call[call_id].outcome is outcomes.Outcome.UNKNOWN


def test_a_store_that_lost_its_history_is_read_again() -> None:
    fleet = make_fleet(instances=2)
    fleet.store.down = True
    fleet.stores.cut_watches()
    fleet.run_for(1000)
    fleet.add_target('burza-9', 'burza')
    fleet.store.forget_history()
    fleet.store.down = False
    fleet.run_for(8000)
    for member in fleet.member_by_id.values():
        assert 'burza-9' in member.state.registry.entry_by_id
