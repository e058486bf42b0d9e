"""Dispatches routed calls: samples load reports, then chooses a target."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.calls import (
    adaptive_hedges,
    retry_budget,
    routed_hedges,
    slot_use,
)
from oleanderstair.domain.tables import calls, load_reports, registry, routed
from oleanderstair.domain.targets import (
    evacuations,
    rate_limits,
    sampling,
    slot_estimates,
    slow_start_limits,
    target_scoring,
)


def select_and_dispatch(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Read the load of some targets and dispatch the call to the best one.

    The call is dispatched at once if the sampled reports are fresh.
    """
    return _sample_local(state, call, routed.Stage.SAMPLING, now_ms)


def on_hedge_due(
    state: world.World,
    event: events.HedgeDue,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Choose a second target for a call if it may be hedged now.

    If only the retry budget forbids it, the hedge is tried again later.
    """
    call = state.routed.call_by_id.get(event.call_id)
    if call is None or call.stage is not routed.Stage.SENT:
        return []
    if call.send_count != event.sends or not call.attempts:
        return []
    if adaptive_hedges.is_active(state.policy):
        limit = adaptive_hedges.find_limit(state, call, now_ms)
        if limit is not None:
            return adaptive_hedges.hold_back(state, call, limit, now_ms)
    elif not routed_hedges.is_due(state, call, now_ms):
        return []
    if not retry_budget.may_hedge(state, call.service, now_ms):
        return routed_hedges.reschedule_hedge(call)
    return _sample_local(state, call, routed.Stage.HEDGING, now_ms)


def on_load_read(
    state: world.World,
    event: events.LoadRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Dispatch the calls for which this was the last awaited report."""
    done: list[actions.Action] = []
    awaiting_ids = state.routed.awaiting_ids_by_target.pop(event.target_id, ())
    for call_id in awaiting_ids:
        call = state.routed.call_by_id.get(call_id)
        if call is None or event.target_id not in call.awaited_target_ids:
            continue
        call = call._replace(
            awaited_target_ids=call.awaited_target_ids - {event.target_id}
        )
        state.routed.call_by_id[call.call_id] = call
        if not call.awaited_target_ids:
            done.extend(_dispatch_best(state, call, now_ms))
    return done


def on_sample_due(
    state: world.World,
    event: events.SampleDue,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Dispatch a call by the load reports that arrived in time."""
    call = state.routed.call_by_id.get(event.call_id)
    if call is None or call.round != event.round or not call.awaited_target_ids:
        return []
    return _dispatch_best(state, call, now_ms)


def _sample_local(
    state: world.World,
    call: routed.RoutedCall,
    stage: routed.Stage,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Draw targets of the own data centre and await their load reports."""
    sample = sampling.draw_local(
        state,
        call.service,
        call.tried_target_ids,
        now_ms,
    )
    call = call._replace(stage=stage, is_sample_widened=False)
    return _await_reports(state, call, sample, now_ms)


def _await_reports(
    state: world.World,
    call: routed.RoutedCall,
    sample: sampling.Sample,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    call = call._replace(
        sampled_target_ids=(*call.sampled_target_ids, *sample.target_ids)
        if call.is_sample_widened
        else sample.target_ids,
        awaited_target_ids=sample.awaited_target_ids,
        round=call.round + 1,
    )
    state.routed.call_by_id[call.call_id] = call
    if not sample.awaited_target_ids:
        return [*sample.reads, *_dispatch_best(state, call, now_ms)]
    for target_id in sample.awaited_target_ids:
        state.routed.awaiting_ids_by_target.setdefault(target_id, []).append(
            call.call_id,
        )
    due = events.SampleDue(call.call_id, call.round)
    return [*sample.reads, actions.Schedule(due, sampling.REPORT_WAIT_MS)]


def _dispatch_best(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Dispatch a call to the best sampled target.

    If none is good enough, draw a wider sample once. If there is none with a
    usable free slot, the call is queued or refused. A hedge is rescheduled
    instead. Nothing is sent once the time of the call is up.
    """
    call = call._replace(awaited_target_ids=frozenset())
    state.routed.call_by_id[call.call_id] = call
    if now_ms >= call.due_at_ms:
        return []
    with_free_slot = slot_estimates.targets_with_free_slot(
        state, call.sampled_target_ids, now_ms
    )
    if call.stage is routed.Stage.HEDGING and state.policy.adaptive_hedges:
        with_free_slot = adaptive_hedges.select_unrelated(
            state, call, with_free_slot
        )
    chosen = target_scoring.choose_target(
        state,
        with_free_slot,
        call.route.idempotent,
        now_ms,
    )
    if not call.is_sample_widened and not (chosen and chosen.is_good_enough):
        sample = sampling.draw_wider(
            state,
            call.service,
            (*call.tried_target_ids, *call.sampled_target_ids),
            now_ms,
        )
        if sample.target_ids:
            call = call._replace(is_sample_widened=True)
            return _await_reports(state, call, sample, now_ms)
    if call.stage is routed.Stage.HEDGING:
        return _dispatch_hedge(state, call, chosen, now_ms)
    if chosen is not None and slot_use.may_use_slot(
        state,
        call,
        chosen.target_id,
        now_ms,
    ):
        return dispatch_to_target(state, call, chosen.target_id, now_ms)
    return [actions.Notify(events.RoomMissing(call.call_id))]


def _dispatch_hedge(
    state: world.World,
    call: routed.RoutedCall,
    chosen: target_scoring.Choice | None,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send a call to a second target while its first attempt is in flight.

    If no target may take the hedge now, it is rescheduled.
    """
    call = call._replace(stage=routed.Stage.SENT)
    state.routed.call_by_id[call.call_id] = call
    if adaptive_hedges.is_active(state.policy):
        limit = adaptive_hedges.find_limit(state, call, now_ms)
        if limit is not None:
            return adaptive_hedges.hold_back(state, call, limit, now_ms)
    if chosen is None or not routed_hedges.may_hedge_to(
        state, call, chosen, now_ms
    ):
        if adaptive_hedges.is_active(state.policy):
            limit = adaptive_hedges.Limit.NO_TARGET
            return adaptive_hedges.hold_back(state, call, limit, now_ms)
        return routed_hedges.reschedule_hedge(call)
    adaptive_hedges.count_hedge(state, call.service, now_ms)
    return [
        *dispatch_to_target(state, call, chosen.target_id, now_ms),
        actions.Count('hedges', call.service),
    ]


def dispatch_to_target(
    state: world.World,
    call: routed.RoutedCall,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Record an attempt of a call at a registered target and send it.

    It counts as an extra attempt in the retry budget if an earlier attempt
    may have reached a target. Its hedge is scheduled if it may have one.
    """
    entry = state.registry.entry_by_id[target_id]
    if call.possible_run_count:
        retry_budget.count_extra_attempt(state, call.service, now_ms)
    attempt = calls.Attempt(
        state.routed.next_attempt_id,
        entry.target_id,
        now_ms,
        is_hedge=bool(call.attempts),
        load_at_start=slot_estimates.load_at_start(
            state, entry.target_id, now_ms
        ),
    )
    state.routed.next_attempt_id += 1
    call = call._replace(
        stage=routed.Stage.SENT,
        attempts=(*call.attempts, attempt),
        tried_target_ids=(*call.tried_target_ids, entry.target_id),
        send_count=call.send_count + 1,
        possible_run_count=call.possible_run_count + 1,
    )
    state.routed.call_by_id[call.call_id] = call
    _count_sent(state, entry)
    rate_limits.count_send(state, entry.target_id, now_ms)
    counts = slow_start_limits.count_send(state, entry, now_ms)
    budget_ms = call.due_at_ms - now_ms
    sent = actions.Dispatch(
        call_id=call.call_id,
        attempt_id=attempt.attempt_id,
        target_id=entry.target_id,
        address=entry.address,
        fresh=not call.route.idempotent,
        silence_ms=budget_ms,
        budget_ms=budget_ms,
        born_ms=entry.born_ms,
    )
    return [
        sent,
        *counts,
        *_count_diverted(state, call),
        *routed_hedges.schedule_hedge(state, call),
    ]


def _count_diverted(
    state: world.World, call: routed.RoutedCall
) -> list[actions.Action]:
    """Count a call that leaves this data centre as that is evacuated."""
    data_centre = state.identity.data_centre
    if call.send_count > 1 or not evacuations.is_closed(state, data_centre):
        return []
    return [actions.Count('diverted-calls', f'data_centre={data_centre}')]


def _count_sent(state: world.World, entry: registry.Entry) -> None:
    """Count an attempt as in flight and as newer than the load report."""
    load = load_reports.load_of(state.loads, entry.target_id)
    load_reports.put_load(
        state.loads,
        load._replace(
            sent_since_report=load.sent_since_report + 1,
            in_flight=load.in_flight + 1,
        ),
    )
