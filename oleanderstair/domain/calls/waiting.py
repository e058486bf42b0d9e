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
    shortage,
    trust,
)

WAITING_LIMIT: typing.Final = 64
"""How many calls may wait for one service at an instance."""

PATIENCE_SHARE: typing.Final = 0.25
"""The part of its aim that a call may wait for room; docs/decisions/crest."""

LATE_SHARE: typing.Final = 0.5
"""The part of its time that a call waits which can't be in aim any more: its
answer loses nothing by then, and leaves the room to others."""

RETURN_SHARE: typing.Final = 0.15
"""When a refused call comes back, as a part of a usual answer: early enough
to be answered within its aim, which counts from its first attempt."""

LEAST_WAIT_MS: typing.Final[clock.Millis] = 15
"""How long a call waits for room at least, also on a second try."""

SEEK_MS: typing.Final[clock.Millis] = 40
"""How often room is sought while calls wait, on average."""

SOUGHT: typing.Final = 2
"""How many near targets are asked for room at a time, and how many far."""

_SPREAD: typing.Final = 0.5


def admit(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Choose a target for a call, or let it stand in line with others.

    Those that can't be in aim any more stand in the way of no other call.
    """
    if worth.is_late(state, call, now_ms) and shortage.is_short(
        state,
        call.service,
        now_ms,
    ):
        return _join(state, call, now_ms)
    before = _waiting(state, call.service)
    if not worth.is_late(state, call, now_ms):
        before = [
            one for one in before if not worth.is_late(state, one, now_ms)
        ]
    if before:
        return _join(state, call, now_ms)
    return sending.begin(state, call, now_ms)


def on_room_missing(
    state: world.World,
    event: events.RoomMissing,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Let a call wait that no target has room for.

    Where it isn't known yet what the last slots do, it finds out.
    """
    call = state.routed.call_by_id.get(event.call_id)
    if call is None:
        return []
    target_id = _untested_slot(state, call, now_ms)
    if target_id is not None:
        return sending.dispatch(state, call, target_id, now_ms)
    return _join(state, call, now_ms)


def on_room_sought(
    state: world.World,
    event: events.RoomSought,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Read some loads anew for the calls that wait for a service."""
    state.routed.seeking.discard(event.service)
    if not _waiting(state, event.service):
        return []
    service = event.service
    drawn = sampling.draw_wider(state, service, (), now_ms, SOUGHT)
    return [*drawn.reads, *_seek(state, service)]


def on_load_read(
    state: world.World,
    event: events.LoadRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send waiting calls to a target that reports room."""
    if event.report is None:
        return []
    return offer(state, event.target_id, now_ms)


def offer(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send waiting calls to a target for as long as it has room."""
    done: list[actions.Action] = []
    while _takes_calls(state, target_id, now_ms):
        call = _first(state, target_id, now_ms)
        if call is None:
            break
        _leave(state, call)
        done.extend(sending.dispatch(state, call, target_id, now_ms))
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
    return _turn_away(state, call)


def _untested_slot(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> str | None:
    """Return a quick target of whose last slots it isn't known what they do."""
    near = places.near_ids(state, call.service)
    return next(
        (
            target_id
            for target_id in near
            if target_id not in call.tried_target_ids
            and room.is_untested(state, target_id, now_ms)
            and not worth.is_wasted(state, call, target_id, now_ms)
        ),
        None,
    )


def _join(
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
    until_ms = call.received_at_ms + _patience_ms(state, call, now_ms)
    return [
        *_shed_surplus(state, call.service, now_ms),
        actions.Schedule(over, max(until_ms - now_ms, LEAST_WAIT_MS)),
        *_seek(state, call.service),
    ]


def _patience_ms(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> clock.Millis:
    """Return how long a call waits for room from its arrival on."""
    if worth.is_late(state, call, now_ms):
        return LATE_SHARE * (call.due_at_ms - call.received_at_ms)
    return PATIENCE_SHARE * call.route.aim_ms


def _shed_surplus(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Refuse the least of the waiting calls where they are too many."""
    waiting = _waiting(state, service)
    if len(waiting) <= WAITING_LIMIT:
        return []
    last = max(waiting, key=lambda call: _order(state, call, now_ms))
    return _turn_away(state, last)


def _turn_away(
    state: world.World,
    call: routed.RoutedCall,
) -> list[actions.Action]:
    """End a waiting call: with a failure that it has, or by a refusal."""
    _leave(state, call)
    if call.may_have_run:
        return ending.give_up(state, call, outcomes.Reason.TARGET_LOST)
    return ending.refuse(
        state,
        call,
        outcomes.Reason.OVERLOADED,
        _come_back_ms(state, call),
    )


def _seek(state: world.World, service: str) -> list[actions.Action]:
    """Look for room after a pause, at random against herds."""
    if service in state.routed.seeking:
        return []
    state.routed.seeking.add(service)
    pause_ms = SEEK_MS * _spread(state)
    return [actions.Schedule(events.RoomSought(service), pause_ms)]


def _waiting(state: world.World, service: str) -> list[routed.RoutedCall]:
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


def _leave(state: world.World, call: routed.RoutedCall) -> None:
    waiting_ids = state.routed.waiting_ids_by_service.get(call.service, [])
    if call.call_id in waiting_ids:
        waiting_ids.remove(call.call_id)
    if not waiting_ids:
        state.routed.waiting_ids_by_service.pop(call.service, None)


def _takes_calls(
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


def _first(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> routed.RoutedCall | None:
    """Return the waiting call that a free slot of a target serves best."""
    service = state.registry.entry_by_id[target_id].service
    return min(
        (
            call
            for call in _waiting(state, service)
            if target_id not in call.tried_target_ids
            and worth.pays(state, call, target_id, now_ms)
        ),
        key=lambda call: _order(state, call, now_ms),
        default=None,
    )


def _order(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> tuple[bool, int, clock.Millis]:
    """Rank calls: those that can be in aim, then urgent, then new ones."""
    late = worth.is_late(state, call, now_ms)
    return late, call.route.rank, -call.received_at_ms


def _usual_ms(state: world.World, call: routed.RoutedCall) -> clock.Millis:
    return expecting.of_route(state, call.route).typical_ms


def _come_back_ms(
    state: world.World,
    call: routed.RoutedCall,
) -> clock.Millis:
    """Return when room is likely, spread so that calls come back apart."""
    return RETURN_SHARE * _usual_ms(state, call) * _spread(state)


def _spread(state: world.World) -> float:
    return 1 + _SPREAD * (2 * state.rng.random() - 1)
