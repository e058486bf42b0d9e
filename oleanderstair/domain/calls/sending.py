"""Sends routed calls: has targets report, then picks one and dispatches."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.calls import ending
from oleanderstair.domain.tables import calls, load_reports, registry, routed
from oleanderstair.domain.targets import room, sampling


def begin(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Ask targets for their load, or send at once where it is known."""
    drawn = sampling.draw(
        state,
        call.service,
        call.tried_target_ids,
        now_ms,
        wide=call.wide,
    )
    call = call._replace(
        stage=routed.Stage.SAMPLING,
        sample=drawn.target_ids,
        awaited=drawn.awaited,
        round=call.round + 1,
    )
    state.routed.call_by_id[call.call_id] = call
    if not drawn.target_ids:
        return ending.refuse(state, call, outcomes.Reason.NO_TARGET)
    if not drawn.awaited:
        return _send(state, call, now_ms)
    due = events.SampleDue(call.call_id, call.round)
    return [*drawn.reads, actions.Schedule(due, sampling.BOUND_MS)]


def on_load_read(
    state: world.World,
    event: events.LoadRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send the calls that waited for this report alone."""
    done: list[actions.Action] = []
    for call in tuple(state.routed.call_by_id.values()):
        if event.target_id not in call.awaited:
            continue
        call = call._replace(awaited=call.awaited - {event.target_id})
        state.routed.call_by_id[call.call_id] = call
        if not call.awaited and call.stage is routed.Stage.SAMPLING:
            done.extend(_send(state, call, now_ms))
    return done


def on_sample_due(
    state: world.World,
    event: events.SampleDue,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send a call by the reports that came in time."""
    call = state.routed.call_by_id.get(event.call_id)
    if call is None or call.stage is not routed.Stage.SAMPLING:
        return []
    if call.round != event.round:
        return []
    return _send(state, call, now_ms)


def _send(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    known = state.registry.entry_by_id
    target_id = sampling.choose(
        state,
        (
            found
            for found in call.sample
            if found in known and room.free_slots(state, found, now_ms) > 0
        ),
    )
    if target_id is None:
        return [actions.Notify(events.RoomMissing(call.call_id))]
    return [dispatch(state, call, known[target_id], now_ms)]


def dispatch(
    state: world.World,
    call: routed.RoutedCall,
    entry: registry.Entry,
    now_ms: clock.Millis,
) -> actions.Action:
    """Send a call to a target."""
    attempt_id = state.routed.next_attempt_id
    state.routed.next_attempt_id += 1
    attempt = calls.Attempt(attempt_id, entry.target_id, now_ms)
    state.routed.call_by_id[call.call_id] = call._replace(
        stage=routed.Stage.SENT,
        attempts=(*call.attempts, attempt),
        tried_target_ids=(*call.tried_target_ids, entry.target_id),
        sends=call.sends + 1,
    )
    known = load_reports.load_of(state.loads, entry.target_id)
    load_reports.put_load(
        state.loads,
        known._replace(
            sent_since=known.sent_since + 1,
            in_flight=known.in_flight + 1,
        ),
    )
    budget_ms = call.received.deadline_ms - now_ms
    return actions.Dispatch(
        call_id=call.call_id,
        attempt_id=attempt_id,
        target_id=entry.target_id,
        address=entry.address,
        fresh=not call.route.idempotent,
        silence_ms=budget_ms,
        budget_ms=budget_ms,
    )
