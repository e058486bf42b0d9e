"""Stops new work to targets that leave, whoever noticed it first.

The word of a note, of a target's health endpoint, of its answers or of a
peer suffices. It is bound to the target's incarnation: an incarnation that
was replaced is remembered, so that a late word on it changes nothing.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import sharing
from oleanderstair.domain.targets import ramps
from oleanderstair.domain.tables import targets

# A report of the same incarnation may lag behind its refusals by this much.
RETURN_HOLD_MS: typing.Final[clock.Millis] = 5000
_REPLACED_KEPT: typing.Final = 4


def mark(
    state: world.World,
    target_id: str,
    why: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Stop new work to a target from now on, and tell the peers."""
    condition = targets.condition_of(state.targets, target_id)
    targets.put_condition(
        state.targets,
        condition._replace(
            leaving=True,
            leaving_why=why,
            leaving_since_ms=now_ms,
        ),
    )
    if condition.leaving:
        return []
    _publish(state, target_id, now_ms)
    return [
        actions.Audit('target', target_id, why, 'leaving'),
        actions.CloseIdle(target_id),
    ]


def on_attempt_ended(
    state: world.World,
    event: events.AttemptEnded,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a target's word in an answer that it is leaving."""
    if not _is_listed(state, target_id):
        _forget_idle(state, target_id)
    elif event.leaving:
        return mark(state, target_id, 'answer', now_ms)
    return []


def on_probe_ended(
    state: world.World,
    event: events.ProbeEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take the word of a target's health endpoint on its state."""
    report = event.report
    target_id = event.target_id
    if report is None or not _is_listed(state, target_id):
        return []
    replaced = _take_incarnation(state, target_id, report.incarnation)
    if report.leaving:
        return mark(state, target_id, 'health', now_ms)
    condition = targets.condition_of(state.targets, target_id)
    if replaced:
        return _return(state, target_id, 'restarted', now_ms)
    held_ms = now_ms - condition.leaving_since_ms
    if condition.leaving and held_ms > RETURN_HOLD_MS:
        return _return(state, target_id, 'health', now_ms)
    return []


def on_fact(
    state: world.World,
    event: events.FactAdopted,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a peer's word that a target is leaving, or came back."""
    body = event.fact.body
    if not isinstance(body, messages.TargetLeaving):
        return []
    condition = targets.condition_of(state.targets, body.target_id)
    if not _is_listed(state, body.target_id):
        return []
    if body.target_incarnation in condition.replaced_incarnations:
        return []
    stated_at_ms = now_ms - event.fact.age_ms
    if body.leaving and stated_at_ms >= condition.returned_at_ms:
        return _adopt_leaving(state, event.fact, stated_at_ms)
    if not body.leaving and stated_at_ms > condition.leaving_since_ms:
        _take_incarnation(state, body.target_id, body.target_incarnation)
        _clear(state, body.target_id, stated_at_ms)
        return ramps.start(
            state,
            body.target_id,
            event.fact.origin,
            now_ms,
            tell=False,
        )
    return []


def on_withdrawn(state: world.World, target_id: str) -> list[actions.Action]:
    """Forget a withdrawn target, but not its calls in flight."""
    _reset(state, target_id)
    _forget_idle(state, target_id)
    state.targets.ramp_by_id.pop(target_id, None)
    state.targets.down_since_ms_by_id.pop(target_id, None)
    state.suspects.call_id_by_target.pop(target_id, None)
    return [
        actions.Audit('target', target_id, 'note', 'withdrawn'),
        actions.CloseIdle(target_id),
    ]


def on_moved(state: world.World, target_id: str) -> list[actions.Action]:
    """Take a target at a new address for another one."""
    _reset(state, target_id)
    return [actions.CloseIdle(target_id)]


def _reset(state: world.World, target_id: str) -> None:
    condition = targets.condition_of(state.targets, target_id)
    targets.put_condition(
        state.targets,
        targets.Condition(target_id, in_flight=condition.in_flight),
    )


def _forget_idle(state: world.World, target_id: str) -> None:
    if not targets.condition_of(state.targets, target_id).in_flight:
        state.targets.condition_by_id.pop(target_id, None)


def _is_listed(state: world.World, target_id: str) -> bool:
    return target_id in state.catalogue.in_force.target_by_id


def _adopt_leaving(
    state: world.World,
    fact: messages.Fact,
    stated_at_ms: clock.Millis,
) -> list[actions.Action]:
    body = typing.cast(messages.TargetLeaving, fact.body)
    condition = targets.condition_of(state.targets, body.target_id)
    since_ms = max(condition.leaving_since_ms, stated_at_ms)
    targets.put_condition(
        state.targets,
        condition._replace(
            leaving=True,
            leaving_why=fact.origin,
            leaving_since_ms=since_ms,
        ),
    )
    if condition.leaving:
        return []
    return [
        actions.Audit('target', body.target_id, fact.origin, 'leaving'),
        actions.CloseIdle(body.target_id),
    ]


def _take_incarnation(
    state: world.World,
    target_id: str,
    incarnation: str,
) -> bool:
    """Note the incarnation of a target; return whether it replaced one."""
    condition = targets.condition_of(state.targets, target_id)
    known = condition.target_incarnation
    if not incarnation or incarnation == known:
        return False
    replaced = condition.replaced_incarnations
    if incarnation in replaced:
        return False
    if known:
        replaced = (*replaced, known)[-_REPLACED_KEPT:]
    targets.put_condition(
        state.targets,
        condition._replace(
            target_incarnation=incarnation,
            replaced_incarnations=replaced,
        ),
    )
    return bool(known)


def _return(
    state: world.World,
    target_id: str,
    why: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    was_leaving = targets.condition_of(state.targets, target_id).leaving
    _clear(state, target_id, now_ms)
    if was_leaving:
        _publish(state, target_id, now_ms)
    return [
        actions.Audit('target', target_id, why, 'returned'),
        *ramps.start(state, target_id, why, now_ms),
    ]


def _clear(
    state: world.World,
    target_id: str,
    at_ms: clock.Millis,
) -> None:
    condition = targets.condition_of(state.targets, target_id)
    targets.put_condition(
        state.targets,
        condition._replace(
            leaving=False,
            leaving_why='',
            returned_at_ms=at_ms,
        ),
    )


def _publish(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> None:
    condition = targets.condition_of(state.targets, target_id)
    body = messages.TargetLeaving(
        target_id,
        condition.target_incarnation,
        condition.leaving,
    )
    sharing.publish(state, f'leaving/{target_id}', body, now_ms)
