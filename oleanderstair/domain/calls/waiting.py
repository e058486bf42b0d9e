"""Lets calls wait at the entry while no target has room for them.

A call behind others at a full target can no longer go elsewhere, and a
target that is too full never answers. So calls wait here, in the order of
what their answers will still be worth, and go where room comes first, but not
to a slowed machine where they would be late, before their patience is over. Of
equal ones the newest goes first: it has most of its aim left, while the
oldest would all be answered late. One that finds no room soon is refused
while its caller can still come back.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.calls import ending, sending, worth
from oleanderstair.domain.tables import load_reports, routed
from oleanderstair.domain.targets import (
    expecting,
    places,
    room,
    sampling,
    trust,
)

MAX_QUEUED_CALLS: typing.Final = 64
"""How many calls may wait for one service at an instance."""

MAX_WAIT_SHARE: typing.Final = 0.25
"""The part of its aim that a call may wait for room; docs/decisions/crest."""

LATE_MAX_WAIT_SHARE: typing.Final = 0.5
"""The part of its time that a call waits which can't be in aim any more: its
answer loses nothing by then, and leaves the room to others."""

RETRY_AFTER_SHARE: typing.Final = 0.15
"""When a refused call comes back, as a part of a usual answer: early enough
to be answered within its aim, which counts from its first attempt."""

MIN_WAIT_MS: typing.Final[clock.Millis] = 15
"""How long a call waits for room at least, also on a second try."""

LOAD_READ_INTERVAL_MS: typing.Final[clock.Millis] = 40
"""How often room is sought while calls wait, on average."""

LOAD_READ_TARGETS: typing.Final = 2
"""How many near targets are asked for room at a time, and how many far."""

_JITTER_SHARE: typing.Final = 0.5


def dispatch_or_queue(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Choose a target for a call, or let it stand in line with others.

    Those that can't be in aim any more stand in the way of no other call.
    """
    before = _queued_calls(state, call.service)
    if not worth.is_expected_late(state, call, now_ms):
        before = [
            one
            for one in before
            if not worth.is_expected_late(state, one, now_ms)
        ]
    if before:
        return _queue_call(state, call, now_ms)
    return sending.select_and_dispatch(state, call, now_ms)


def on_room_missing(
    state: world.World,
    event: events.RoomMissing,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Let a call wait that no target has room for."""
    call = state.routed.call_by_id.get(event.call_id)
    if call is None:
        return []
    return _queue_call(state, call, now_ms)


def on_room_sought(
    state: world.World,
    event: events.RoomSought,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Read some loads anew for the calls that wait for a service."""
    state.routed.seeking.discard(event.service)
    if not _queued_calls(state, event.service):
        return []
    service = event.service
    drawn = sampling.draw_wider(state, service, (), now_ms, LOAD_READ_TARGETS)
    return [*drawn.reads, *_schedule_load_reads(state, service)]


def on_load_read(
    state: world.World,
    event: events.LoadRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send waiting calls to a target that reports room."""
    if event.report is None:
        return []
    return dispatch_queued(state, event.target_id, now_ms)


def dispatch_queued(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send waiting calls to a target for as long as it has room."""
    done: list[actions.Action] = []
    while _can_take_call(state, target_id, now_ms):
        call = _next_call(state, target_id, now_ms)
        if call is None:
            break
        _remove_queued(state, call)
        done.extend(sending.dispatch_to_target(state, call, target_id, now_ms))
    return done


def on_patience_over(
    state: world.World,
    event: events.PatienceOver,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Refuse a call that has found no room in time."""
    call = state.routed.call_by_id.get(event.call_id)
    if call is None or call.stage is not routed.Stage.QUEUED:
        return []
    if call.round != event.round:
        return []
    target_id = _untested_target(state, call, now_ms)
    if target_id is None:
        return _refuse_queued(state, call)
    _remove_queued(state, call)
    return sending.dispatch_to_target(state, call, target_id, now_ms)


def _untested_target(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> str | None:
    """Return a quick target of whose last slots it isn't known what they do.

    Calls that are refused otherwise find out.
    """
    near = places.near_ids(state, call.service)
    return next(
        (
            target_id
            for target_id in near
            if target_id not in call.tried_target_ids
            and room.is_untested(state, target_id, now_ms)
            and not worth.is_slot_wasted(state, call, target_id, now_ms)
        ),
        None,
    )


def _queue_call(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    call = call._replace(
        stage=routed.Stage.QUEUED,
        round=call.round + 1,
        awaited=frozenset(),
    )
    state.routed.call_by_id[call.call_id] = call
    state.routed.short_at_ms_by_service[call.service] = now_ms
    waiting_ids = state.routed.waiting_ids_by_service.setdefault(
        call.service,
        [],
    )
    waiting_ids.append(call.call_id)
    over = events.PatienceOver(call.call_id, call.round)
    until_ms = call.received_at_ms + _max_wait_ms(state, call, now_ms)
    return [
        *_refuse_excess(state, call.service, now_ms),
        actions.Schedule(over, max(until_ms - now_ms, MIN_WAIT_MS)),
        *_schedule_load_reads(state, call.service),
    ]


def _max_wait_ms(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> clock.Millis:
    """Return how long a call waits for room from its arrival on."""
    if worth.is_expected_late(state, call, now_ms):
        return LATE_MAX_WAIT_SHARE * (call.due_at_ms - call.received_at_ms)
    return MAX_WAIT_SHARE * call.route.aim_ms


def _refuse_excess(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Refuse the least of the waiting calls where they are too many."""
    waiting = _queued_calls(state, service)
    if len(waiting) <= MAX_QUEUED_CALLS:
        return []
    last = max(waiting, key=lambda call: _queue_rank(state, call, now_ms))
    return _refuse_queued(state, last)


def _refuse_queued(
    state: world.World,
    call: routed.RoutedCall,
) -> list[actions.Action]:
    """End a waiting call: with a failure that it has, or by a refusal."""
    _remove_queued(state, call)
    if call.may_have_run:
        return ending.relay_failure_or_refuse(
            state, call, outcomes.Reason.TARGET_LOST
        )
    return ending.refuse_call(
        state,
        call,
        outcomes.Reason.OVERLOADED,
        _retry_after_ms(state, call),
    )


def _schedule_load_reads(
    state: world.World, service: str
) -> list[actions.Action]:
    """Look for room after a pause, at random against herds."""
    if service in state.routed.seeking:
        return []
    state.routed.seeking.add(service)
    pause_ms = LOAD_READ_INTERVAL_MS * _jitter_factor(state)
    return [actions.Schedule(events.RoomSought(service), pause_ms)]


def _queued_calls(state: world.World, service: str) -> list[routed.RoutedCall]:
    """Return the calls that wait for a service, and forget ended ones."""
    waiting_ids = state.routed.waiting_ids_by_service.get(service, [])
    found = [state.routed.call_by_id.get(call_id) for call_id in waiting_ids]
    waiting = [
        call
        for call in found
        if call is not None and call.stage is routed.Stage.QUEUED
    ]
    state.routed.waiting_ids_by_service.pop(service, None)
    if waiting:
        state.routed.waiting_ids_by_service[service] = [
            call.call_id for call in waiting
        ]
    return waiting


def _remove_queued(state: world.World, call: routed.RoutedCall) -> None:
    waiting_ids = state.routed.waiting_ids_by_service.get(call.service, [])
    if call.call_id in waiting_ids:
        waiting_ids.remove(call.call_id)
    if not waiting_ids:
        state.routed.waiting_ids_by_service.pop(call.service, None)


def _can_take_call(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    entry = state.registry.entry_by_id.get(target_id)
    if entry is None or entry.leaving:
        return False
    if entry.service not in state.routed.waiting_ids_by_service:
        return False
    known = load_reports.load_of(state.loads, target_id)
    if trust.is_barred(known, now_ms):
        return False
    return room.free_slots(state, target_id, now_ms) > 0


def _next_call(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> routed.RoutedCall | None:
    """Return the waiting call that a free slot of a target serves best."""
    service = state.registry.entry_by_id[target_id].service
    return min(
        (
            call
            for call in _queued_calls(state, service)
            if target_id not in call.tried_target_ids
            and worth.may_use_slot(state, call, target_id, now_ms)
        ),
        key=lambda call: _queue_rank(state, call, now_ms),
        default=None,
    )


def _queue_rank(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> tuple[bool, int, clock.Millis]:
    """Rank calls: those that can be in aim, then urgent, then new ones."""
    late = worth.is_expected_late(state, call, now_ms)
    return late, call.route.rank, -call.received_at_ms


def _typical_latency_ms(
    state: world.World, call: routed.RoutedCall
) -> clock.Millis:
    return expecting.of_route(state, call.route).typical_ms


def _retry_after_ms(
    state: world.World,
    call: routed.RoutedCall,
) -> clock.Millis:
    """Return when room is likely, spread so that calls come back apart."""
    return (
        RETRY_AFTER_SHARE
        * _typical_latency_ms(state, call)
        * _jitter_factor(state)
    )


def _jitter_factor(state: world.World) -> float:
    return 1 + _JITTER_SHARE * (2 * state.rng.random() - 1)
