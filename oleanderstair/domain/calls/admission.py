"""Admits calls: checks them, then forwards, queues or dispatches them."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.calls import (
    answering,
    call_rules,
    dispatching,
    homes,
    keys,
    quarantine,
    queueing,
    suspects,
    token_buckets,
)
from oleanderstair.domain.configuration import pause_recovery
from oleanderstair.domain.fleet import listed_instances
from oleanderstair.domain.tables import calls, catalogue


def on_call(
    state: world.World,
    event: events.CallReceived,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Refuse a call, forward it to its key's home, dispatch it or queue it."""
    refusal_reason = _refusal_reason(state, event, now_ms)
    call = _create_call(state, event, now_ms)
    bound_key = keys.split_key(event.key)
    if bound_key is not None:
        state.calls.call_by_id[event.call_id] = call
        _add_to_budgets(state, event, now_ms)
        return homes.run_or_forward(
            state, call, bound_key, refusal_reason, now_ms
        )
    if event.key and not call.idempotent:
        refusal_reason = outcomes.Reason.UNBOUND_KEY
    if refusal_reason is not None:
        return [
            actions.Refuse(
                event.call_id, outcomes.Outcome.NOT_RUN, refusal_reason
            ),
        ]
    state.calls.call_by_id[event.call_id] = call
    _add_to_budgets(state, event, now_ms)
    return quarantine.queue_or_quarantine(state, call, now_ms)


def on_caller_left(
    state: world.World,
    event: events.CallerLeft,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Cancel an idempotent call whose caller closed its connection.

    Other calls go on, so that a resend under the same key gets the answer.
    """
    call = state.calls.call_by_id.get(event.call_id)
    if call is None:
        return []
    state.calls.call_by_id[event.call_id] = call._replace(caller_left=True)
    if not call.idempotent:
        return []
    if call.state is calls.CallState.QUEUED:
        return answering.refuse_call(state, call, outcomes.Reason.DEADLINE)
    return [
        actions.CancelAttempt(call.call_id, attempt.attempt_id)
        for attempt in call.attempts
    ]


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Refuse queued calls that can't be answered in time; dispatch others."""
    done: list[actions.Action] = []
    for call_id in queueing.remove_expired(state, now_ms):
        call = state.calls.call_by_id[call_id]
        done.extend(
            answering.refuse_call(state, call, outcomes.Reason.DEADLINE)
        )
    for service in state.calls.queue_by_service:
        done.extend(dispatching.dispatch_queued(state, service, now_ms))
    return done


def _refusal_reason(
    state: world.World,
    event: events.CallReceived,
    now_ms: clock.Millis,
) -> outcomes.Reason | None:
    """Return why this instance refuses a call, None if it accepts it."""
    instance_refusal = listed_instances.refusal_reason(state, now_ms)
    if instance_refusal is not None:
        return instance_refusal
    if pause_recovery.is_state_stale(
        state, now_ms
    ) or pause_recovery.may_predate_resume(state, event.from_peer, now_ms):
        return outcomes.Reason.PAUSED
    if event.service not in state.catalogue.in_force.service_by_name:
        return outcomes.Reason.NO_SERVICE
    if event.deadline_ms <= now_ms:
        return outcomes.Reason.DEADLINE
    if suspects.is_refused(state, event.fingerprint, now_ms):
        return outcomes.Reason.CRASHES_TARGETS
    return None


def _add_to_budgets(
    state: world.World,
    event: events.CallReceived,
    now_ms: clock.Millis,
) -> None:
    """Add the shares of a call to its service's retry and hedge budgets."""
    service = state.catalogue.in_force.service_by_name.get(event.service)
    if service is None:
        return
    token_buckets.add_share(
        state.budgets.retry_bucket_by_service,
        event.service,
        service.retry_share,
        now_ms,
    )
    token_buckets.add_share(
        state.budgets.hedge_bucket_by_service,
        event.service,
        service.hedge_share,
        now_ms,
    )


def _create_call(
    state: world.World,
    event: events.CallReceived,
    now_ms: clock.Millis,
) -> calls.Call:
    """Return the table row of a call.

    A call with a key bound to a home is never treated as idempotent,
    whatever its method: instances with different notes in force would
    otherwise disagree on whether it may run twice.
    """
    service = state.catalogue.in_force.service_by_name.get(
        event.service,
        catalogue.Service(event.service, state.identity.region),
    )
    bound_key = keys.split_key(event.key)
    return calls.Call(
        received=event,
        state=calls.CallState.QUEUED,
        idempotent=bound_key is None
        and call_rules.is_idempotent(service, event),
        call_class=call_rules.call_class(service, event),
        received_at_ms=now_ms,
    )
