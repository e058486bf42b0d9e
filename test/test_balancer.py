"""The decision code of one instance under the harness."""

from oleanderstair.domain import outcomes
from test import helper


def test_call_runs_at_a_target_and_is_relayed():
    made = helper.make_harness()
    call_id = made.call('entry-1')
    made.run_for(100)
    assert made.told_by_call[call_id].outcome is outcomes.Outcome.RAN
    assert len(made.runs) == 1


def test_call_without_free_target_waits_and_is_refused_at_its_deadline():
    made = helper.make_harness(target_count=1)
    target = made.target_by_id['burza-1']
    target.service_time = lambda received: 500
    first = [made.call('entry-1') for _ in range(target.slots)]
    late = made.call('entry-1', budget_ms=100)
    made.run_for(2000)
    assert made.told_by_call[late].outcome is outcomes.Outcome.NOT_RUN
    assert made.told_by_call[late].reason is outcomes.Reason.DEADLINE
    assert all(
        made.told_by_call[call_id].outcome is outcomes.Outcome.RAN
        for call_id in first
    )
    assert target.shed == 0
