"""Drains targets that are leaving: they receive no new calls.

A release note, the health endpoint, an answer or a peer can report that a
target is leaving. The report applies to one incarnation of the target.
Replaced incarnations are kept, so that a late report on one is ignored.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import shared_facts
from oleanderstair.domain.targets import ramps
from oleanderstair.domain.tables import targets

RETURN_HOLD_MS: typing.Final[clock.Millis] = 5000
"""The time after the latest leaving report until health may end a drain.

It applies to health reports of the same incarnation. These may be this much
older than the answer that said that the target is leaving.
"""

_MAX_REPLACED_INCARNATIONS: typing.Final = 4
"""How many replaced incarnations of a target are kept."""


def mark_leaving(
    state: world.World,
    target_id: str,
    why: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Mark a target as leaving; on a change, publish it to the peers."""
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
    _publish_leaving(state, target_id, now_ms)
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
    """Drain a target whose answer says that it is leaving.

    If the target is no longer in the catalogue, remove its state instead once
    it has no call in flight.
    """
    if not _is_in_catalogue(state, target_id):
        _remove_idle_condition(state, target_id)
    elif event.leaving:
        return mark_leaving(state, target_id, 'answer', now_ms)
    return []


def on_probe_ended(
    state: world.World,
    event: events.ProbeEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Drain or resume a target by its health report.

    A leaving target is resumed by a report of a new incarnation, or by one
    of the same incarnation once ``RETURN_HOLD_MS`` have passed.
    """
    report = event.report
    target_id = event.target_id
    if report is None or not _is_in_catalogue(state, target_id):
        return []
    replaced = _update_incarnation(state, target_id, report.incarnation)
    if report.leaving:
        return mark_leaving(state, target_id, 'health', now_ms)
    condition = targets.condition_of(state.targets, target_id)
    if replaced:
        return _resume(state, target_id, 'restarted', now_ms)
    elapsed_ms = now_ms - condition.leaving_since_ms
    if condition.leaving and elapsed_ms > RETURN_HOLD_MS:
        return _resume(state, target_id, 'health', now_ms)
    return []


def on_fact(
    state: world.World,
    event: events.FactAdopted,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Drain or resume a target by a fact from a peer.

    The newest fact wins. Facts on a replaced incarnation are ignored.
    """
    body = event.fact.body
    if not isinstance(body, messages.TargetLeaving):
        return []
    condition = targets.condition_of(state.targets, body.target_id)
    if not _is_in_catalogue(state, body.target_id):
        return []
    if body.target_incarnation in condition.replaced_incarnations:
        return []
    stated_at_ms = now_ms - event.fact.age_ms
    if body.leaving and stated_at_ms >= condition.returned_at_ms:
        return _adopt_leaving(state, event.fact, stated_at_ms)
    if not body.leaving and stated_at_ms > condition.leaving_since_ms:
        _update_incarnation(state, body.target_id, body.target_incarnation)
        _clear_leaving(state, body.target_id, stated_at_ms)
        return ramps.start_ramp(
            state,
            body.target_id,
            event.fact.origin,
            now_ms,
            publish=False,
        )
    return []


def on_target_withdrawn(
    state: world.World, target_id: str
) -> list[actions.Action]:
    """Remove the state of a withdrawn target.

    The count of its calls in flight is kept until they have ended.
    """
    _reset_condition(state, target_id)
    _remove_idle_condition(state, target_id)
    state.targets.ramp_by_id.pop(target_id, None)
    state.targets.down_since_ms_by_id.pop(target_id, None)
    state.suspects.call_id_by_reserved_target.pop(target_id, None)
    return [
        actions.Audit('target', target_id, 'note', 'withdrawn'),
        actions.CloseIdle(target_id),
    ]


def on_target_moved(state: world.World, target_id: str) -> list[actions.Action]:
    """Reset the state of a target whose address has changed.

    The count of its calls in flight is kept.
    """
    _reset_condition(state, target_id)
    return [actions.CloseIdle(target_id)]


def _reset_condition(state: world.World, target_id: str) -> None:
    condition = targets.condition_of(state.targets, target_id)
    targets.put_condition(
        state.targets,
        targets.Condition(target_id, in_flight=condition.in_flight),
    )


def _remove_idle_condition(state: world.World, target_id: str) -> None:
    if not targets.condition_of(state.targets, target_id).in_flight:
        state.targets.condition_by_id.pop(target_id, None)


def _is_in_catalogue(state: world.World, target_id: str) -> bool:
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


def _update_incarnation(
    state: world.World,
    target_id: str,
    incarnation: str,
) -> bool:
    """Store a target's incarnation; return whether it replaces another."""
    condition = targets.condition_of(state.targets, target_id)
    previous = condition.target_incarnation
    if not incarnation or incarnation == previous:
        return False
    replaced = condition.replaced_incarnations
    if incarnation in replaced:
        return False
    if previous:
        replaced = (*replaced, previous)[-_MAX_REPLACED_INCARNATIONS:]
    targets.put_condition(
        state.targets,
        condition._replace(
            target_incarnation=incarnation,
            replaced_incarnations=replaced,
        ),
    )
    return bool(previous)


def _resume(
    state: world.World,
    target_id: str,
    why: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    was_leaving = targets.condition_of(state.targets, target_id).leaving
    _clear_leaving(state, target_id, now_ms)
    if was_leaving:
        _publish_leaving(state, target_id, now_ms)
    return [
        actions.Audit('target', target_id, why, 'returned'),
        *ramps.start_ramp(state, target_id, why, now_ms),
    ]


def _clear_leaving(
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


def _publish_leaving(
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
    shared_facts.publish_fact(state, f'leaving/{target_id}', body, now_ms)
