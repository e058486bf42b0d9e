"""Stops new work to targets that leave, whoever noticed it first."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, sharing, world
from oleanderstair.domain.tables import targets


def mark(
    state: world.World,
    target_id: str,
    why: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Stop new work to a target from now on, and tell the peers."""
    condition = targets.condition_of(state.targets, target_id)
    if condition.leaving:
        return []
    targets.put_condition(
        state.targets,
        condition._replace(
            leaving=True,
            leaving_why=why,
            leaving_since_ms=now_ms,
        ),
    )
    body = messages.TargetLeaving(target_id, condition.target_incarnation)
    sharing.publish(state, f'leaving/{target_id}', body, now_ms)
    return [actions.Audit('target', target_id, why, 'leaving')]


def on_attempt_ended(
    state: world.World,
    event: events.AttemptEnded,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a target's word in an answer that it is leaving."""
    if not event.leaving:
        return []
    return mark(state, target_id, 'answer', now_ms)


def on_probe_ended(
    state: world.World,
    event: events.ProbeEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take the word of a target's health endpoint that it is leaving."""
    if event.report is None or not event.report.leaving:
        return []
    return mark(state, event.target_id, 'health', now_ms)


def on_fact(
    state: world.World,
    event: events.FactAdopted,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a peer's word that a target is leaving."""
    body = event.fact.body
    if not isinstance(body, messages.TargetLeaving) or not body.leaving:
        return []
    return mark(state, body.target_id, event.fact.origin, now_ms)
