"""The stages of a ramp: what moves it on or back, and what peers are told.

Evidence for a stage is the calls that were served in time in it, here and
at the peers.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, messages, world
from oleanderstair.domain.fleet import sharing
from oleanderstair.domain.tables import targets
from oleanderstair.domain.targets import ramp_shares

FLEET: typing.Final = 'fleet'
"""The name of the policy by which the fleet ramps as one."""

_RAMPED_CAP: typing.Final = 0.5
"""The share of a service's targets above which ramps hold back nothing."""

_BACKOFF: typing.Final = 2
"""By what a step back multiplies the wait of a stage."""

_MAX_WAIT_MS: typing.Final[clock.Millis] = 60000
"""The longest wait of a stage, before jitter."""

_JITTER: typing.Final = 0.25
"""The share by which a wait is drawn shorter or longer."""

_TELL_MS: typing.Final[clock.Millis] = 250
"""How long lies at least between two words on a stage's evidence."""


def is_done(state: world.World, ramp: targets.Ramp) -> bool:
    """Return whether a target has come back wholly."""
    return ramp.stage > state.policy.ramp_stages


def enter(
    state: world.World,
    ramp: targets.Ramp,
    now_ms: clock.Millis,
) -> None:
    """Store a ramp with the slots that this instance may use now."""
    target = state.catalogue.in_force.target_by_id[ramp.target_id]
    own_slots = target.slots
    table = state.targets.ramp_by_id
    table[ramp.target_id] = ramp
    if not _is_capped(state, target.service):
        share = ramp_shares.SHARE_BY_NAME[state.policy.ramp]
        own_slots = share(state, target, ramp, now_ms)
    current = table[ramp.target_id]
    table[ramp.target_id] = current._replace(own_slots=own_slots)


def take_evidence(
    state: world.World,
    ramp: targets.Ramp,
    origin: str,
    served: int,
) -> None:
    """Keep what a peer saw served in the stage that this instance is in."""
    others = [entry for entry in ramp.served_by_origin if entry[0] != origin]
    current = state.targets.ramp_by_id[ramp.target_id]
    state.targets.ramp_by_id[ramp.target_id] = current._replace(
        served_by_origin=(*others, (origin, served)),
    )


def tell_evidence(
    state: world.World,
    ramp: targets.Ramp,
    now_ms: clock.Millis,
) -> None:
    """Tell the peers now and then what was served here in this stage."""
    if ramp.served_in_stage == ramp.told_served:
        return
    if now_ms - ramp.told_at_ms < _TELL_MS:
        return
    current = state.targets.ramp_by_id[ramp.target_id]
    state.targets.ramp_by_id[ramp.target_id] = current._replace(
        told_served=ramp.served_in_stage,
        told_at_ms=now_ms,
    )
    publish(state, current, now_ms)


def step_up(
    state: world.World,
    ramp: targets.Ramp,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Open the next stage once enough calls were served in this one."""
    if not ramp.served_in_stage:
        return []
    told = sum(served for _, served in ramp.served_by_origin)
    if ramp.served_in_stage + told < state.policy.ramp_evidence:
        return []
    if now_ms - ramp.stage_since_ms < ramp.wait_ms:
        return []
    return _move(
        state,
        ramp._replace(stage=ramp.stage + 1),
        now_ms,
    )


def step_back(
    state: world.World,
    ramp: targets.Ramp,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Return to the stage before, and wait longer in it."""
    jitter = 1 + state.rng.uniform(-_JITTER, _JITTER)
    wait_ms = min(ramp.wait_ms * _BACKOFF, _MAX_WAIT_MS) * jitter
    return _move(
        state,
        ramp._replace(
            generation=ramp.generation + 1,
            stage=max(ramp.stage - 1, 0),
            wait_ms=wait_ms,
        ),
        now_ms,
    )


def publish(
    state: world.World,
    ramp: targets.Ramp,
    now_ms: clock.Millis,
) -> None:
    """Tell the peers of a ramp, where the fleet ramps as one."""
    if state.policy.ramp != FLEET:
        return
    body = messages.RampState(
        ramp.target_id,
        ramp.generation,
        ramp.stage,
        ramp.wait_ms,
        ramp.target_incarnation,
        ramp.served_in_stage,
    )
    sharing.publish(state, f'ramp/{ramp.target_id}', body, now_ms)


def _is_capped(state: world.World, service: str) -> bool:
    """Return whether too much of a service would be ramped at once."""
    ids = state.catalogue.in_force.target_ids_by_service[service]
    ramped = [
        target_id
        for target_id in ids
        if target_id in state.targets.ramp_by_id
        and not is_done(state, state.targets.ramp_by_id[target_id])
    ]
    return len(ramped) > _RAMPED_CAP * len(ids)


def _move(
    state: world.World,
    ramp: targets.Ramp,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    moved = ramp._replace(
        stage_since_ms=now_ms,
        served_in_stage=0,
        told_served=0,
        served_by_origin=(),
    )
    enter(state, moved, now_ms)
    publish(state, moved, now_ms)
    where = f'generation {moved.generation} stage {moved.stage}'
    return [actions.Audit('ramp', moved.target_id, 'evidence', where)]
