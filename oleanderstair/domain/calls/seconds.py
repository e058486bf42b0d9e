"""Says whether a call goes to another target after an attempt ended."""

import typing

from oleanderstair import clock
from oleanderstair.domain import events, outcomes, world
from oleanderstair.domain.calls import repeats
from oleanderstair.domain.tables import calls, routed

_MAX_UNSENT: typing.Final = 3
"""How many sends of a call may end before anything was sent."""

_SHED_RETRY_AFTER_MS: typing.Final = 30
"""When a call may come again that was shed beside free slots."""


def is_final_answer(
    call: routed.RoutedCall, event: events.AttemptEnded
) -> bool:
    """Return whether an answer is the one that the caller gets.

    The failure of an idempotent call is kept back while another target may
    still answer it.
    """
    if event.verdict is not events.Verdict.ANSWERED:
        return False
    return event.status < outcomes.FIRST_FAILURE or not call.route.idempotent


def remove_attempt(
    call: routed.RoutedCall,
    ended: calls.Attempt,
    event: events.AttemptEnded,
) -> routed.RoutedCall:
    """Return a call without an attempt that has not answered it."""
    ran = event.verdict not in events.PROVEN_NOT_RUN
    answered = event.verdict is events.Verdict.ANSWERED
    unsent = event.verdict is events.Verdict.NOT_SENT
    return call._replace(
        attempts=tuple(other for other in call.attempts if other is not ended),
        may_have_run=call.may_have_run or ran,
        arrivals=call.arrivals - int(unsent),
        held_attempt_id=(
            event.attempt_id if answered else call.held_attempt_id
        ),
    )


def may_retry(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a call may be sent to one more target."""
    if call.may_have_run and not call.route.idempotent:
        return False
    unsent = call.sends - call.arrivals
    if call.arrivals >= call.route.max_attempts or unsent > _MAX_UNSENT:
        return False
    if not call.arrivals:
        return True
    part = repeats.NON_IDEMPOTENT_RETRY_SHARE
    if call.route.idempotent:
        part = repeats.FOR_RETRIES
    return repeats.may_retry(state, call.service, part, now_ms)


def is_shed_with_free_slots(event: events.AttemptEnded) -> bool:
    """Return whether a target shed a call though it tells of free slots."""
    load = event.load
    if event.verdict is not events.Verdict.SHED or load is None:
        return False
    return load.running < load.slots and not load.waiting


def retry_after_ms(
    state: world.World,
    event: events.AttemptEnded,
) -> clock.Millis:
    """Return when the caller of a call that was shed finds room, 0 unknown.

    A target that sheds beside free slots may take the next call.
    """
    if not is_shed_with_free_slots(event):
        return 0
    return _SHED_RETRY_AFTER_MS * (1 + state.rng.random())
