"""Decides whether a failed call to a release note service is retried."""

import typing

from oleanderstair import clock
from oleanderstair.domain import events, world
from oleanderstair.domain.calls import queueing, suspects, token_buckets
from oleanderstair.domain.targets import service_loads
from oleanderstair.domain.tables import calls, services

MAX_NOT_RUN_ATTEMPTS: typing.Final = 12
"""The maximum number of attempts of a call that provably did not run."""

MAX_RETRIES: typing.Final = 2
"""How many retries a call may have after attempts that may have run."""


def may_retry(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> bool:
    """Return whether ``call``, whose attempts all failed, may be retried.

    If the last attempt provably did not run, the next target is tried, up to
    ``MAX_NOT_RUN_ATTEMPTS`` times. Any other retry is taken from the retry
    budget of the service, and is refused while the queue is overloaded.
    """
    if call.caller_left or call.received.deadline_ms <= now_ms:
        return False
    if suspects.is_refused(state, call.received.fingerprint, now_ms):
        return False
    if call.last_verdict is events.Verdict.BROKEN:
        if suspects.is_suspect(state, call.received.fingerprint):
            # A suspect may be retried once, alone on a target. This is not
            # taken from the budget: most suspects didn't cause the crash.
            return _may_run_again(call) and not call.quarantined
    if call.last_verdict in events.PROVEN_NOT_RUN:
        return call.not_run_count < MAX_NOT_RUN_ATTEMPTS and _may_run_again(
            call
        )
    return _may_run_again(call) and _take_retry_token(state, call, now_ms)


def prepare_retry(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> calls.Call:
    """Return ``call`` as it is to be queued for its next attempt.

    After enough refusals, see ``service_loads.is_refusal_round_over``, any
    target may be tried again. If the last one shed the call, the service is
    given time: no slots are borrowed for a while.
    """
    shed = call.last_verdict is events.Verdict.SHED
    is_round_over = service_loads.is_refusal_round_over(state, call)
    if shed and is_round_over:
        service_loads.delay_borrowing(state, call.received.service, now_ms)
    return call._replace(
        state=calls.CallState.QUEUED,
        tried_target_ids=() if is_round_over else call.tried_target_ids,
    )


def _may_run_again(call: calls.Call) -> bool:
    return call.idempotent or not call.may_have_run


def _take_retry_token(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> bool:
    """Take a token of the retry budget; return False if that is not allowed.

    It is not allowed after ``MAX_RETRIES``, while the queue is overloaded, or
    if a call of median latency would end after the deadline.
    """
    service = call.received.service
    if call.possible_run_count > MAX_RETRIES:
        return False
    if queueing.is_overloaded(state, service, now_ms):
        return False
    load = services.load_of(state.services, service)
    if now_ms + load.median_latency_ms > call.received.deadline_ms:
        return False
    return token_buckets.take_token(
        state.budgets.retry_bucket_by_service,
        service,
        now_ms,
    )
