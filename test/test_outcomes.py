"""Statuses and retry-after headers of refusals."""

import itertools

import pytest

from oleanderstair.domain import outcomes
from oleanderstair.engine import pending, replies


@pytest.mark.parametrize(
    ('outcome', 'reason'),
    list(
        itertools.product(
            (outcomes.Outcome.UNKNOWN, outcomes.Outcome.RAN),
            outcomes.Reason,
        )
    ),
)
def test_a_call_that_may_have_run_gets_no_status_of_a_call_that_did_not(
    outcome: outcomes.Outcome,
    reason: outcomes.Reason,
) -> None:
    written = replies.build_refusal(pending.Reply(outcome, reason))
    assert written.status not in {408, 421, 429, 503}


def test_retry_after_has_a_fraction_only_without_whole_seconds() -> None:
    reply = pending.Reply(
        outcomes.Outcome.NOT_RUN,
        outcomes.Reason.OVERLOADED,
        retry_after_ms=120,
    )
    whole = dict(replies.build_refusal(reply).headers)
    exact = dict(replies.build_refusal(reply, whole_seconds=False).headers)
    assert whole[b'retry-after'] == b'1'
    assert exact[b'retry-after'] == b'0.120'
