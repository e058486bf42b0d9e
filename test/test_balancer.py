"""Basic calls through the decision code of one instance."""

from oleanderstair.domain import outcomes
from test import helper


def test_call_runs_at_a_target_and_is_relayed():
    fleet = helper.make_harness()
    call_id = fleet.call('entry-1')
    fleet.run_for(100)
    assert fleet.told_by_call[call_id].outcome is outcomes.Outcome.RAN
    assert len(fleet.runs) == 1


def test_a_queued_call_is_refused_at_its_deadline():
    fleet = helper.make_harness(target_count=1)
    target = fleet.target_by_id['burza-1']
    target.service_time = lambda received: 500
    first = [fleet.call('entry-1') for _ in range(target.slots)]
    late = fleet.call('entry-1', budget_ms=100)
    fleet.run_for(2000)
    assert fleet.told_by_call[late].outcome is outcomes.Outcome.NOT_RUN
    assert fleet.told_by_call[late].reason is outcomes.Reason.DEADLINE
    assert all(
        fleet.told_by_call[call_id].outcome is outcomes.Outcome.RAN
        for call_id in first
    )
    assert target.shed == 0
