"""Decides whether a routed call is retried at another target."""

import typing

from oleanderstair import clock
from oleanderstair.domain import events, outcomes, world
from oleanderstair.domain.calls import queue_urgency, retry_budget
from oleanderstair.domain.tables import calls, routed

_MAX_UNSENT_ATTEMPTS: typing.Final = 3
"""A call is not retried after more attempts than this that failed before the
request was sent."""

_SHED_RETRY_AFTER_MS: typing.Final = 30
"""The minimum retry-after of a call shed by a target with free slots."""


def is_final_answer(
    call: routed.RoutedCall, event: events.AttemptEnded
) -> bool:
    """Return whether an attempt ended with the answer to be relayed.

    That is any answer to a non-idempotent call. An error response to an
    idempotent call is held back while another target may still answer.
    """
    if event.verdict is not events.Verdict.ANSWERED:
        return False
    return event.status < outcomes.MIN_ERROR_STATUS or not call.route.idempotent


def remove_attempt(
    call: routed.RoutedCall,
    ended: calls.Attempt,
    event: events.AttemptEnded,
) -> routed.RoutedCall:
    """Return a call without an ended attempt that gave no final answer.

    If it got an error response, it becomes the fallback attempt, which is
    relayed if no other target gives a better answer.
    """
    may_have_run = event.verdict not in events.PROVEN_NOT_RUN
    answered = event.verdict is events.Verdict.ANSWERED
    unsent = event.verdict is events.Verdict.NOT_SENT
    return call._replace(
        attempts=tuple(other for other in call.attempts if other is not ended),
        may_have_run=call.may_have_run or may_have_run,
        possible_run_count=call.possible_run_count - int(unsent),
        fallback_attempt_id=(
            event.attempt_id if answered else call.fallback_attempt_id
        ),
    )


def may_retry(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a call may be sent to one more target.

    It may while the route's maximum of attempts and the retry budget allow
    it, unless it is non-idempotent and may have run. Attempts that failed
    before the request was sent have a limit of their own and use no budget.
    """
    if call.may_have_run and not call.route.idempotent:
        return False
    unsent_count = call.send_count - call.possible_run_count
    if (
        call.possible_run_count >= call.route.max_attempts
        or unsent_count > _MAX_UNSENT_ATTEMPTS
    ):
        return False
    if not call.possible_run_count:
        return True
    share = retry_budget.NON_IDEMPOTENT_RETRY_SHARE
    if call.route.idempotent:
        share = retry_budget.IDEMPOTENT_RETRY_SHARE
    share = queue_urgency.retry_share(state, call, share)
    return retry_budget.may_send_extra_attempt(
        state, call.service, share, now_ms
    )


def is_shed_with_free_slots(event: events.AttemptEnded) -> bool:
    """Return whether a target shed a call though it reported free slots."""
    load = event.load
    if event.verdict is not events.Verdict.SHED or load is None:
        return False
    return load.running < load.slots and not load.queued


def retry_after_ms(
    state: world.World,
    event: events.AttemptEnded,
) -> clock.Millis:
    """Return the retry-after for a call whose last attempt was shed, in ms.

    It is short if the target reported free slots, as it may accept the next
    call. Otherwise it is 0, and the refusal has no retry-after.
    """
    if not is_shed_with_free_slots(event):
        return 0
    return _SHED_RETRY_AFTER_MS * (1 + state.rng.random())
