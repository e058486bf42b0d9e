"""Slow start of new and returning targets, shared by the whole fleet.

A ramp is published as (generation, stage), and the larger pair wins. A step
up raises the stage. A step back lowers the stage and raises the generation.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.targets import ramp_stages
from oleanderstair.domain.tables import calls, catalogue, instances, targets

_DOWN_FAILURES: typing.Final = 2
"""The consecutive failures from which on an unreachable target is down."""

_SLOW_FACTOR: typing.Final = 3
"""The maximum latency of a call in time, as a multiple of the median."""

_SLOW_MARGIN_MS: typing.Final[clock.Millis] = 5
"""Added to that maximum, for services that answer within a few ms."""


def max_in_flight(
    state: world.World,
    target: catalogue.Target,
    now_ms: clock.Millis,
) -> int:
    """Return how many calls this instance may have in flight at a target.

    This is the number of its slots unless the target is ramping.
    """
    ramp = state.targets.ramp_by_id.get(target.target_id)
    if ramp is None or ramp_stages.is_done(state, ramp):
        return target.slots
    return min(ramp.own_slots, target.slots)


def targets_needing_evidence(state: world.World, call: calls.Call) -> list[str]:
    """Return the ramping targets to which a call should be sent first.

    Only the few instances with open slots can collect evidence, so they
    prefer ramping targets. Only first attempts of idempotent calls are sent
    there, as these can be retried elsewhere.
    """
    if (
        state.policy.ramp != ramp_stages.FLEET_POLICY
        or not call.idempotent
        or call.attempts
    ):
        return []
    in_force = state.catalogue.in_force.target_by_id
    return [
        ramp.target_id
        for ramp in state.targets.ramp_by_id.values()
        if ramp.own_slots
        and not ramp_stages.is_done(state, ramp)
        and in_force[ramp.target_id].service == call.received.service
    ]


def start_ramp(
    state: world.World,
    target_id: str,
    why: str,
    now_ms: clock.Millis,
    publish: bool = True,
) -> list[actions.Action]:
    """Begin the ramp of a target, and publish it to the peers.

    Nothing happens if a ramp for the same return of the target has begun.
    With ``publish`` false only an instance with open slots publishes it.
    """
    current = state.targets.ramp_by_id.get(target_id)
    condition = targets.condition_of(state.targets, target_id)
    incarnation = condition.target_incarnation
    if current is not None and _is_same_return(current, incarnation, now_ms):
        return []
    generation = current.generation + 1 if current else 1
    ramp = targets.Ramp(
        target_id,
        generation,
        stage=0,
        stage_since_ms=now_ms,
        wait_ms=state.policy.ramp_wait_ms,
        target_incarnation=incarnation,
    )
    ramp_stages.store_ramp(state, ramp, now_ms)
    # All instances adopt a note at about the same time and begin the same
    # ramp, so it is enough that the owner of the canary slot publishes it.
    if publish or state.targets.ramp_by_id[target_id].own_slots:
        ramp_stages.publish_ramp(state, ramp, now_ms)
    return [actions.Audit('ramp', target_id, why, f'generation {generation}')]


def on_target_added(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Begin the ramp of a target that the newest release note added.

    An instance that has not yet adopted the newest note begins no ramp, as
    the target may already be in full use. It adopts the ramps of its peers.
    """
    if state.instances.phase is instances.Phase.UNCONFIRMED:
        return []
    if state.catalogue.in_force.number < state.catalogue.highest_known:
        return []
    if target_id in state.targets.ramp_by_id:
        return []
    return start_ramp(state, target_id, 'note', now_ms, publish=False)


def on_attempt_ended(
    state: world.World,
    event: events.AttemptEnded,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Use the outcome of an attempt as evidence for the ramp's stage.

    A failure moves the ramp a stage back. A call served in time counts
    towards the next stage. Attempts from before the stage are ignored.
    """
    if event.verdict is events.Verdict.CANCELLED or event.leaving:
        return []
    if target_id not in state.catalogue.in_force.target_by_id:
        return []
    if _update_down(state, event, target_id, now_ms):
        return start_ramp(state, target_id, 'reachable again', now_ms)
    ramp = state.targets.ramp_by_id.get(target_id)
    if ramp is None or ramp_stages.is_done(state, ramp):
        return []
    started_at_ms = _attempt_started_at_ms(state, event)
    if started_at_ms < ramp.stage_since_ms:
        return []
    if not events.is_success(event):
        return ramp_stages.step_back(state, ramp, now_ms)
    if _was_in_time(state, target_id, now_ms - started_at_ms):
        ramp = ramp._replace(served_in_stage=ramp.served_in_stage + 1)
        state.targets.ramp_by_id[target_id] = ramp
    return ramp_stages.step_up(state, ramp, now_ms)


def on_fact(
    state: world.World,
    event: events.FactAdopted,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Adopt a ramp or the evidence for its stage from a peer."""
    body = event.fact.body
    if not isinstance(body, messages.RampState):
        return []
    if state.policy.ramp != ramp_stages.FLEET_POLICY:
        return []
    current = state.targets.ramp_by_id.get(body.target_id)
    received = (body.generation, body.stage)
    if body.target_id not in state.catalogue.in_force.target_by_id:
        return []
    if current is not None and (current.generation, current.stage) >= received:
        if (current.generation, current.stage) == received:
            ramp_stages.store_peer_evidence(
                state, current, event.fact.origin, body.served
            )
        return []
    state.targets.down_since_ms_by_id.pop(body.target_id, None)
    ramp = targets.Ramp(
        body.target_id,
        body.generation,
        body.stage,
        stage_since_ms=now_ms - event.fact.age_ms,
        wait_ms=body.wait_ms or state.policy.ramp_wait_ms,
        target_incarnation=body.target_incarnation,
    )
    ramp_stages.store_ramp(state, ramp, now_ms)
    ramp_stages.store_peer_evidence(state, ramp, event.fact.origin, body.served)
    return []


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Update the usable slots of each ramp and move due ramps one stage up."""
    taken: list[actions.Action] = []
    for ramp in tuple(state.targets.ramp_by_id.values()):
        if not ramp_stages.is_done(state, ramp):
            ramp_stages.store_ramp(state, ramp, now_ms)
            ramp_stages.publish_evidence(state, ramp, now_ms)
            taken.extend(ramp_stages.step_up(state, ramp, now_ms))
    return taken


def _is_same_return(
    ramp: targets.Ramp,
    incarnation: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a ramp began for the current return of its target.

    True if it is of the same incarnation, still in stage 0, and began less
    than the minimum time of a stage ago.
    """
    if ramp.target_incarnation != incarnation:
        return False
    return ramp.stage == 0 and now_ms - ramp.stage_since_ms < ramp.wait_ms


def _update_down(
    state: world.World,
    event: events.AttemptEnded,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Update whether a target is down; return whether it has just returned."""
    down = state.targets.down_since_ms_by_id
    condition = targets.condition_of(state.targets, target_id)
    refused = event.verdict is events.Verdict.NOT_SENT
    if refused and condition.failures_in_row >= _DOWN_FAILURES:
        down.setdefault(target_id, now_ms)
    answered = event.verdict is events.Verdict.ANSWERED
    return answered and down.pop(target_id, None) is not None


def _attempt_started_at_ms(
    state: world.World,
    event: events.AttemptEnded,
) -> clock.Millis:
    for attempt in state.calls.call_by_id[event.call_id].attempts:
        if attempt.attempt_id == event.attempt_id:
            return attempt.started_at_ms
    return clock.NEVER_MS


def _was_in_time(
    state: world.World,
    target_id: str,
    took_ms: clock.Millis,
) -> bool:
    """Return whether a call was served in time.

    Its latency is compared with the median of the service's other targets.
    True if none of them has answered yet.
    """
    target = state.catalogue.in_force.target_by_id.get(target_id)
    if target is None:
        return False
    service_target_ids = state.catalogue.in_force.target_ids_by_service[
        target.service
    ]
    latencies_ms = sorted(
        condition.latency_ms
        for other_id in service_target_ids
        if other_id != target_id
        and (condition := targets.condition_of(state.targets, other_id)).served
    )
    if not latencies_ms:
        return True
    median_ms = latencies_ms[len(latencies_ms) // 2]
    return took_ms <= _SLOW_FACTOR * median_ms + _SLOW_MARGIN_MS
