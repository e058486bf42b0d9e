"""Runs suspect calls in isolation, each alone on a target reserved for it."""

import typing
import zlib

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.calls import answering, dispatching, suspects
from oleanderstair.domain.configuration import pause_recovery
from oleanderstair.domain.targets import conditions
from oleanderstair.domain.tables import calls, targets

_MAX_RESERVED_SHARE: typing.Final = 0.25
"""The maximum share of reserved targets of a service, but at least one."""


def queue_or_quarantine(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Dispatch or queue a call; quarantine a suspect one."""
    if suspects.is_suspect(state, call.received.fingerprint):
        return quarantine_call(state, call, now_ms)
    return dispatching.dispatch_or_queue(state, call, now_ms)


def quarantine_call(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Keep a suspect call until a target is reserved for it and idle.

    Refuse it if ``queue_limit`` calls are already in quarantine.
    """
    call_ids = state.suspects.quarantined_call_ids
    if len(call_ids) >= state.policy.queue_limit:
        return answering.refuse_call(state, call, outcomes.Reason.OVERLOADED)
    state.calls.call_by_id[call.call_id] = call._replace(
        state=calls.CallState.QUEUED,
        quarantined=True,
    )
    call_ids.append(call.call_id)
    return dispatch_quarantined(state, now_ms)


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Refuse quarantined calls past their deadline; dispatch others."""
    return dispatch_quarantined(state, now_ms)


def dispatch_quarantined(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Dispatch quarantined calls whose reserved target is idle.

    Refuse those whose deadline passed, or whose request is known by now to
    crash targets.
    """
    done: list[actions.Action] = []
    for call_id in tuple(state.suspects.quarantined_call_ids):
        call = state.calls.call_by_id.get(call_id)
        if call is None or call.attempts:
            _release_quarantined(state, call_id)
            continue
        done.extend(_dispatch_or_refuse(state, call, now_ms))
    return done


def on_attempt_ended(
    state: world.World,
    call: calls.Call,
    target_id: str,
) -> None:
    """Release the target that was reserved for a call."""
    if state.suspects.call_id_by_reserved_target.get(target_id) == call.call_id:
        state.suspects.call_id_by_reserved_target.pop(target_id)


def _dispatch_or_refuse(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    received = call.received
    reason: outcomes.Reason | None = None
    if suspects.is_refused(state, received.fingerprint, now_ms):
        reason = outcomes.Reason.CRASHES_TARGETS
    elif received.deadline_ms <= now_ms:
        reason = outcomes.Reason.DEADLINE
    if reason is not None:
        _release_quarantined(state, call.call_id)
        return answering.refuse_call(state, call, reason)
    if pause_recovery.is_state_stale(state, now_ms):
        return []
    target_id = _reserve_target(state, call, now_ms)
    if target_id is None or _in_flight_count(state, target_id):
        return []
    state.suspects.quarantined_call_ids.remove(call.call_id)
    return [dispatching.dispatch_to_target(state, call, target_id, now_ms)]


def _release_quarantined(state: world.World, call_id: int) -> None:
    """Remove a call from quarantine; free its target if it has no attempt."""
    state.suspects.quarantined_call_ids.remove(call_id)
    by_target = state.suspects.call_id_by_reserved_target
    for target_id in tuple(by_target):
        call = state.calls.call_by_id.get(call_id)
        if by_target[target_id] == call_id and not (call and call.attempts):
            by_target.pop(target_id)


def _reserve_target(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> str | None:
    """Return the target reserved for a call, or reserve one for it.

    The first target by ``_reservation_rank`` is reserved.
    Return None if another call with the same request has a reservation, if
    the maximum share of targets is reserved, or if no target may take calls.
    """
    by_target = state.suspects.call_id_by_reserved_target
    service = call.received.service
    ids = state.catalogue.in_force.target_ids_by_service.get(service, ())
    own = [target for target in ids if by_target.get(target) == call.call_id]
    if own:
        return _reserved_unless_leaving(state, own[0])
    if _has_reservation(state, call):
        return None
    reserved_count = sum(target_id in by_target for target_id in ids)
    if reserved_count >= max(len(ids) * _MAX_RESERVED_SHARE, 1):
        return None
    usable = [
        target_id
        for target_id in ids
        if conditions.may_receive(state, target_id, now_ms)
    ]
    if not usable:
        return None
    chosen = min(
        usable,
        key=lambda target: _reservation_rank(state, call, target),
    )
    by_target[chosen] = call.call_id
    return chosen


def _reservation_rank(
    state: world.World,
    call: calls.Call,
    target_id: str,
) -> tuple[bool, int, int, int]:
    """Return a sort key: untried, then failure-free, then idle targets first.

    The checksum makes instances prefer different targets for different
    requests, so that few reserve the same one.
    """
    condition = targets.condition_of(state.targets, target_id)
    rank_key = f'{call.received.fingerprint}/{target_id}'
    return (
        target_id in call.tried_target_ids,
        condition.failures_in_row,
        condition.in_flight,
        zlib.crc32(rank_key.encode()),
    )


def _reserved_unless_leaving(state: world.World, target_id: str) -> str | None:
    """Return a reserved target; free it and return None if it is draining."""
    if not targets.condition_of(state.targets, target_id).leaving:
        return target_id
    state.suspects.call_id_by_reserved_target.pop(target_id)
    return None


def _has_reservation(state: world.World, call: calls.Call) -> bool:
    """Return whether a target is reserved for a call with the same request."""
    for call_id in state.suspects.call_id_by_reserved_target.values():
        other = state.calls.call_by_id.get(call_id)
        if other is None:
            continue
        if other.received.fingerprint == call.received.fingerprint:
            return True
    return False


def _in_flight_count(state: world.World, target_id: str) -> int:
    return targets.condition_of(state.targets, target_id).in_flight
