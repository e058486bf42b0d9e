"""Ejects failing targets for a limited time, up to a share of a service.

If more targets fail than may be ejected, the cause is probably not the
targets. All ejections of the service then end and none begins for a while.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.targets import conditions, occupancy
from oleanderstair.domain.tables import services, targets

_MAX_DOUBLINGS: typing.Final = 4
"""How often the duration of an ejection is doubled at most."""

_EJECT_FAILURE_RATE: typing.Final = 0.6
"""The failure rate from which on a target is ejected."""

_EJECTION_JITTER: typing.Final = 0.5
"""The width of the random range of an ejection, as a share of its duration."""


def on_attempt_ended(
    state: world.World,
    event: events.AttemptEnded,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Eject a target after consecutive failures or at a high failure rate."""
    if not conditions.is_failure(event):
        return []
    condition = targets.condition_of(state.targets, target_id)
    target = state.catalogue.in_force.target_by_id.get(target_id)
    if target is None or now_ms < condition.ejected_until_ms:
        return []
    in_row = condition.failures_in_row >= state.policy.eject_failures
    if not in_row and condition.failure_rate < _EJECT_FAILURE_RATE:
        return []
    if _may_eject(state, target.service, now_ms):
        return [_eject_target(state, condition, now_ms)]
    return _suspend_ejections(state, target.service, now_ms)


def _may_eject(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether one more target of a service may be ejected.

    True if the ejected ones are then at most ``eject_share`` of its targets.
    """
    ids = state.catalogue.in_force.target_ids_by_service[service]
    condition_by_id = state.targets.condition_by_id
    ejected = sum(
        now_ms < condition_by_id[target_id].ejected_until_ms
        for target_id in ids
        if target_id in condition_by_id
    )
    return ejected + 1 <= state.policy.eject_share * len(ids)


def _eject_target(
    state: world.World,
    condition: targets.Condition,
    now_ms: clock.Millis,
) -> actions.Action:
    """Eject a target and publish that it fails.

    The time doubles with each consecutive ejection. Jitter keeps instances
    from using the target again at the same time.
    """
    doublings = min(condition.ejections, _MAX_DOUBLINGS)
    ejection_ms = state.policy.eject_ms * 2**doublings
    ejection_ms *= 1 + _EJECTION_JITTER * (state.rng.random() - 0.5)
    targets.put_condition(
        state.targets,
        condition._replace(
            ejected_until_ms=now_ms + ejection_ms,
            ejections=condition.ejections + 1,
            # One more failure ejects the target again.
            failures_in_row=state.policy.eject_failures - 1,
        ),
    )
    occupancy.publish_failing(state, condition, now_ms)
    why = f'{condition.failures_in_row} failures in a row'
    return actions.Audit('target', condition.target_id, why, 'ejected')


def _suspend_ejections(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """End all ejections of a service and begin none for ``eject_ms``."""
    load = services.load_of(state.services, service)
    if now_ms < load.no_ejection_until_ms:
        return []
    for target_id in state.catalogue.in_force.target_ids_by_service[service]:
        condition = targets.condition_of(state.targets, target_id)
        targets.put_condition(
            state.targets,
            condition._replace(
                ejected_until_ms=now_ms,
                failures_in_row=0,
                failure_rate=0,
            ),
        )
    until_ms = now_ms + state.policy.eject_ms
    services.put_load(
        state.services,
        load._replace(no_ejection_until_ms=until_ms),
    )
    return [
        actions.Audit('service', service, 'most targets fail', 'doubted'),
    ]
