"""Lets calls wait at the entry while no target has room for them.

A call behind others at a full target can no longer go elsewhere, and a
target that is too full never answers. So calls wait here, in the order of
what their answers will still be worth, and go where room comes first.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.calls import ending, sending
from oleanderstair.domain.tables import routed
from oleanderstair.domain.targets import room, sampling

WAITING_LIMIT: typing.Final = 64
"""How many calls may wait for one service at an instance."""

SEEK_MS: typing.Final[clock.Millis] = 40
"""How often room is sought while calls wait, on average."""

SLOW: typing.Final = 2.0
"""From what slowness on a free slot is kept for calls without time."""

LINE_LIMIT: typing.Final = 2
"""How many calls may stand behind the slots of a target at the last."""

_USUAL_SHARE: typing.Final = 0.4
"""The part of a route's aim that an answer takes, before one is known."""

_LEARNED: typing.Final = 0.1
"""The weight of the newest answer in how long answers take."""


def admit(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Choose a target for a call, or let it stand in line with others."""
    if state.routed.waiting_ids_by_service.get(call.service):
        return _join(state, call, now_ms)
    return sending.begin(state, call, now_ms)


def learn(
    state: world.World,
    call: routed.RoutedCall,
    took_ms: clock.Millis,
) -> None:
    """Note how long an answer took from its dispatch on."""
    known = _usual_ms(state, call)
    usual_ms = known + _LEARNED * (took_ms - known)
    state.routed.usual_ms_by_route[call.route.name] = usual_ms


def on_room_missing(
    state: world.World,
    event: events.RoomMissing,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Look further for a call without room nearby, then let it wait."""
    call = state.routed.call_by_id.get(event.call_id)
    if call is None:
        return []
    if not call.wide:
        return sending.begin(state, call._replace(wide=True), now_ms)
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
    drawn = sampling.draw(state, event.service, (), now_ms, wide=True)
    return [*drawn.reads, *_seek(state, event.service)]


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
    entry = state.registry.entry_by_id.get(target_id)
    if entry is None or not state.routed.waiting_ids_by_service:
        return []
    done: list[actions.Action] = []
    while room.free_slots(state, target_id, now_ms) > 0:
        call = _first(state, entry.service, target_id, now_ms)
        if call is None:
            break
        _leave(state, call)
        done.append(sending.dispatch(state, call, entry, now_ms))
    return done


def on_patience_over(
    state: world.World,
    event: events.PatienceOver,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send a call that can't wait longer where the line is shortest."""
    call = state.routed.call_by_id.get(event.call_id)
    if call is None or call.stage is not routed.Stage.QUEUED:
        return []
    if call.round != event.round:
        return []
    _leave(state, call)
    target_id = None
    if target_id is None:
        return ending.refuse(
            state,
            call,
            outcomes.Reason.OVERLOADED,
            _come_back_ms(state, call),
        )
    entry = state.registry.entry_by_id[target_id]
    return [sending.dispatch(state, call, entry, now_ms)]


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
    waiting_ids = state.routed.waiting_ids_by_service.setdefault(
        call.service,
        [],
    )
    waiting_ids.append(call.call_id)
    over = events.PatienceOver(call.call_id, call.round)
    patience_ms = call.received_at_ms + call.route.aim_ms/8 - now_ms
    return [
        *_shed_surplus(state, call.service, now_ms),
        actions.Schedule(over, max(patience_ms, 0)),
        *_seek(state, call.service),
    ]


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
    _leave(state, last)
    return ending.refuse(
        state,
        last,
        outcomes.Reason.OVERLOADED,
        _come_back_ms(state, last),
    )


def _seek(state: world.World, service: str) -> list[actions.Action]:
    """Look for room after a pause, at random against herds."""
    if service in state.routed.seeking:
        return []
    state.routed.seeking.add(service)
    pause_ms = SEEK_MS * (0.5 + state.rng.random())
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


def _first(
    state: world.World,
    service: str,
    target_id: str,
    now_ms: clock.Millis,
) -> routed.RoutedCall | None:
    """Return the waiting call that a free slot of a target serves best."""
    slow = room.slowness(state, target_id) > SLOW
    return min(
        (
            call
            for call in _waiting(state, service)
            if target_id not in call.tried_target_ids
            and not (slow and _has_time(state, call, now_ms))
        ),
        key=lambda call: _order(state, call, now_ms),
        default=None,
    )


def _order(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> tuple[bool, int, clock.Millis]:
    """Rank calls: those that can be in aim first, then urgent ones."""
    late = now_ms + _usual_ms(state, call) > call.aim_at_ms
    return late, call.route.rank, call.due_at_ms


def _has_time(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a call may wait for a better slot."""
    return now_ms + 2 * _usual_ms(state, call) < call.aim_at_ms


def _usual_ms(state: world.World, call: routed.RoutedCall) -> float:
    route = call.route
    known = state.routed.usual_ms_by_route.get(route.name)
    return route.aim_ms * _USUAL_SHARE if known is None else known


def _shortest_line(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> str | None:
    """Return the target with the shortest line, if there is a short one."""
    ids = state.registry.ids_by_service.get(call.service, ())
    short = [
        target_id
        for target_id in ids
        if target_id not in call.tried_target_ids
        and sampling.is_usable(state, target_id, now_ms)
        and room.free_slots(state, target_id, now_ms) > -LINE_LIMIT
    ]
    return sampling.choose(state, short)


def _come_back_ms(
    state: world.World,
    call: routed.RoutedCall,
) -> clock.Millis:
    """Return when room is likely, spread so that calls come back apart."""
    return _usual_ms(state, call) * (0.5 + state.rng.random())
