"""Applies the differences between two catalogues to targets and calls."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, outcomes, world
from oleanderstair.domain.calls import answering
from oleanderstair.domain.targets import draining, ramps
from oleanderstair.domain.tables import calls, catalogue


def on_event(
    state: world.World,
    event: typing.Any,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Apply the changes if another catalogue came into force."""
    before = state.targets.known_catalogue
    after = state.catalogue.in_force
    if before is after:
        return []
    state.targets.known_catalogue = after
    done: list[actions.Action] = []
    for target_id in _withdrawn_ids(before, after):
        done.extend(draining.on_target_withdrawn(state, target_id))
    for target_id in _moved_ids(before, after):
        done.extend(draining.on_target_moved(state, target_id))
        done.extend(ramps.start_ramp(state, target_id, 'moved', now_ms))
    for target_id in _added_ids(before, after):
        done.extend(ramps.on_target_added(state, target_id, now_ms))
    _forget_idle_withdrawn(state)
    return [*done, *_refuse_queued_calls(state)]


def _forget_idle_withdrawn(state: world.World) -> None:
    """Forget withdrawn targets that have no attempt in flight."""
    forgotten_ids = [
        condition.target_id
        for condition in state.targets.condition_by_id.values()
        if condition.target_id not in state.catalogue.in_force.target_by_id
        and not condition.in_flight
    ]
    for target_id in forgotten_ids:
        state.targets.condition_by_id.pop(target_id)


def _withdrawn_ids(
    before: catalogue.Catalogue,
    after: catalogue.Catalogue,
) -> list[str]:
    return [
        target_id
        for target_id in before.target_by_id
        if target_id not in after.target_by_id
    ]


def _moved_ids(
    before: catalogue.Catalogue,
    after: catalogue.Catalogue,
) -> list[str]:
    """Return the targets of both catalogues whose address changed."""
    return [
        target_id
        for target_id, target in before.target_by_id.items()
        if target_id in after.target_by_id
        and after.target_by_id[target_id].address != target.address
    ]


def _added_ids(
    before: catalogue.Catalogue,
    after: catalogue.Catalogue,
) -> list[str]:
    """Return the new targets of services that existed before."""
    return [
        target_id
        for target_id, target in after.target_by_id.items()
        if target_id not in before.target_by_id
        and target.service in before.service_by_name
    ]


def _refuse_queued_calls(state: world.World) -> list[actions.Action]:
    """Refuse the queued calls of withdrawn services."""
    in_force = state.catalogue.in_force.service_by_name
    for service in tuple(state.calls.queue_by_service):
        if service not in in_force:
            state.calls.queue_by_service.pop(service)
    queued = [
        call
        for call in state.calls.call_by_id.values()
        if call.state is calls.CallState.QUEUED
        and call.received.service not in in_force
    ]
    done: list[actions.Action] = []
    for call in queued:
        done.extend(
            answering.refuse_call(state, call, outcomes.Reason.NO_SERVICE)
        )
    return done
