"""Brings returning and new targets back slowly, fleet-wide.

A ramp is shared as (generation, stage) and merges to the larger pair: a
step up raises the stage, a step back raises the generation as well.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, outcomes, world
from oleanderstair.domain.targets import ramp_stages
from oleanderstair.domain.tables import calls, catalogue, instances, targets

_DOWN_AFTER: typing.Final = 2
"""How many failures in a row make an unreachable target count as down."""

_SLOW_FACTOR: typing.Final = 3
"""How many times the median latency still is in time."""

_SLOW_MARGIN_MS: typing.Final[clock.Millis] = 5
"""What is added to that bound, for services that answer at once."""


def allowance(
    state: world.World,
    target: catalogue.Target,
    now_ms: clock.Millis,
) -> int:
    """Return how many calls this instance may have in flight at a target."""
    ramp = state.targets.ramp_by_id.get(target.target_id)
    if ramp is None or ramp_stages.is_done(state, ramp):
        return target.slots
    return min(ramp.own_slots, target.slots)


def wanting_evidence(state: world.World, call: calls.Call) -> list[str]:
    """Return the ramping targets that a call should go to first.

    Few instances may use a ramping target, so that they send it what they
    can, but no call that could not be tried again elsewhere.
    """
    if (
        state.policy.ramp != ramp_stages.FLEET
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


def start(
    state: world.World,
    target_id: str,
    why: str,
    now_ms: clock.Millis,
    tell: bool = True,
) -> list[actions.Action]:
    """Begin the ramp of a target that came back, and tell the peers.

    A ramp that a peer began for the same return goes on as it is.
    """
    known = state.targets.ramp_by_id.get(target_id)
    condition = targets.condition_of(state.targets, target_id)
    incarnation = condition.target_incarnation
    if known is not None and _is_same_return(known, incarnation, now_ms):
        return []
    generation = known.generation + 1 if known else 1
    ramp = targets.Ramp(
        target_id,
        generation,
        stage=0,
        stage_since_ms=now_ms,
        wait_ms=state.policy.ramp_wait_ms,
        target_incarnation=incarnation,
    )
    ramp_stages.enter(state, ramp, now_ms)
    # All take a note at about the same time, so that the canary's word does.
    if tell or state.targets.ramp_by_id[target_id].own_slots:
        ramp_stages.publish(state, ramp, now_ms)
    return [actions.Audit('ramp', target_id, why, f'generation {generation}')]


def on_added(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Begin the ramp of a target that the newest note added.

    An instance that still catches up with old notes takes the ramps of
    its peers instead, since the target may long be in full use.
    """
    if state.instances.phase is instances.Phase.UNCONFIRMED:
        return []
    if state.catalogue.in_force.number < state.catalogue.highest_heard:
        return []
    if target_id in state.targets.ramp_by_id:
        return []
    return start(state, target_id, 'note', now_ms, tell=False)


def on_attempt_ended(
    state: world.World,
    event: events.AttemptEnded,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Count an attempt as evidence for or against the ramp's stage."""
    if event.verdict is events.Verdict.CANCELLED or event.leaving:
        return []
    if target_id not in state.catalogue.in_force.target_by_id:
        return []
    if _note_down(state, event, target_id, now_ms):
        return start(state, target_id, 'reachable again', now_ms)
    ramp = state.targets.ramp_by_id.get(target_id)
    if ramp is None or ramp_stages.is_done(state, ramp):
        return []
    started_at_ms = _started_at(state, event)
    if started_at_ms < ramp.stage_since_ms:
        return []
    if _has_failed(event):
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
    """Take a peer's word on how far a target has come back."""
    body = event.fact.body
    if not isinstance(body, messages.RampState):
        return []
    if state.policy.ramp != ramp_stages.FLEET:
        return []
    known = state.targets.ramp_by_id.get(body.target_id)
    told = (body.generation, body.stage)
    if body.target_id not in state.catalogue.in_force.target_by_id:
        return []
    if known is not None and (known.generation, known.stage) >= told:
        if (known.generation, known.stage) == told:
            ramp_stages.take_evidence(
                state, known, event.fact.origin, body.served
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
    ramp_stages.enter(state, ramp, now_ms)
    ramp_stages.take_evidence(state, ramp, event.fact.origin, body.served)
    return []


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Pass tokens on between instances, and step up what is due."""
    done: list[actions.Action] = []
    for ramp in tuple(state.targets.ramp_by_id.values()):
        if not ramp_stages.is_done(state, ramp):
            ramp_stages.enter(state, ramp, now_ms)
            ramp_stages.tell_evidence(state, ramp, now_ms)
            done.extend(ramp_stages.step_up(state, ramp, now_ms))
    return done


def _is_same_return(
    ramp: targets.Ramp,
    incarnation: str,
    now_ms: clock.Millis,
) -> bool:
    if ramp.target_incarnation != incarnation:
        return False
    return ramp.stage == 0 and now_ms - ramp.stage_since_ms < ramp.wait_ms


def _note_down(
    state: world.World,
    event: events.AttemptEnded,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Note an unreachable target; return whether it came back just now."""
    down = state.targets.down_since_ms_by_id
    condition = targets.condition_of(state.targets, target_id)
    refused = event.verdict is events.Verdict.NOT_SENT
    if refused and condition.failures_in_row >= _DOWN_AFTER:
        down.setdefault(target_id, now_ms)
    answered = event.verdict is events.Verdict.ANSWERED
    return answered and down.pop(target_id, None) is not None


def _started_at(
    state: world.World,
    event: events.AttemptEnded,
) -> clock.Millis:
    for attempt in state.calls.call_by_id[event.call_id].attempts:
        if attempt.attempt_id == event.attempt_id:
            return attempt.started_at_ms
    return clock.NEVER_MS


def _has_failed(event: events.AttemptEnded) -> bool:
    answered = event.verdict is events.Verdict.ANSWERED
    return not answered or event.status >= outcomes.FIRST_FAILURE


def _was_in_time(
    state: world.World,
    target_id: str,
    took_ms: clock.Millis,
) -> bool:
    """Compare with the median latency of the service's other targets."""
    target = state.catalogue.in_force.target_by_id.get(target_id)
    if target is None:
        return False
    others = state.catalogue.in_force.target_ids_by_service[target.service]
    latencies_ms = sorted(
        condition.latency_ms
        for other_id in others
        if other_id != target_id
        and (condition := targets.condition_of(state.targets, other_id)).served
    )
    if not latencies_ms:
        return True
    median_ms = latencies_ms[len(latencies_ms) // 2]
    return took_ms <= _SLOW_FACTOR * median_ms + _SLOW_MARGIN_MS
