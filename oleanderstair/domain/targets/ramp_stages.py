"""Moves a ramp between its stages and publishes it to the peers.

The evidence for a stage is the number of calls served in time since it
began, by this instance and by its peers.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, messages, world
from oleanderstair.domain.fleet import shared_facts
from oleanderstair.domain.tables import targets
from oleanderstair.domain.targets import ramp_shares

FLEET_POLICY: typing.Final = 'fleet'
"""The ramp policy by which all instances share one ramp per target."""

_MAX_RAMPED_SHARE: typing.Final = 0.5
"""The maximum share of a service's targets whose slots ramps may limit.

If more targets ramp at once, none is limited, as the remaining targets could
not carry the calls.
"""

_WAIT_BACKOFF_FACTOR: typing.Final = 2
"""The factor by which a step back lengthens the minimum time of a stage."""

_MAX_WAIT_MS: typing.Final[clock.Millis] = 60000
"""The upper bound of the minimum time of a stage, before jitter."""

_WAIT_JITTER: typing.Final = 0.25
"""The jitter of the minimum time of a stage, as a share of it, up or down."""

_EVIDENCE_PERIOD_MS: typing.Final[clock.Millis] = 250
"""The minimum time between two publications of a stage's evidence."""


def is_done(state: world.World, ramp: targets.Ramp) -> bool:
    """Return whether a ramp has passed its last stage."""
    return ramp.stage > state.policy.ramp_stages


def store_ramp(
    state: world.World,
    ramp: targets.Ramp,
    now_ms: clock.Millis,
) -> None:
    """Store a ramp and the number of slots that this instance may use now."""
    target = state.catalogue.in_force.target_by_id[ramp.target_id]
    own_slots = target.slots
    table = state.targets.ramp_by_id
    table[ramp.target_id] = ramp
    if not _is_above_cap(state, target.service):
        share_policy = ramp_shares.SHARE_POLICY_BY_NAME[state.policy.ramp]
        own_slots = share_policy(state, target, ramp, now_ms)
    current = table[ramp.target_id]
    table[ramp.target_id] = current._replace(own_slots=own_slots)


def store_peer_evidence(
    state: world.World,
    ramp: targets.Ramp,
    origin: str,
    served: int,
) -> None:
    """Store how many calls a peer has served in the current stage."""
    others = [entry for entry in ramp.served_by_origin if entry[0] != origin]
    current = state.targets.ramp_by_id[ramp.target_id]
    state.targets.ramp_by_id[ramp.target_id] = current._replace(
        served_by_origin=(*others, (origin, served)),
    )


def publish_evidence(
    state: world.World,
    ramp: targets.Ramp,
    now_ms: clock.Millis,
) -> None:
    """Publish a changed count of calls served here, at most every 250 ms."""
    if ramp.served_in_stage == ramp.published_served:
        return
    if now_ms - ramp.published_at_ms < _EVIDENCE_PERIOD_MS:
        return
    current = state.targets.ramp_by_id[ramp.target_id]
    state.targets.ramp_by_id[ramp.target_id] = current._replace(
        published_served=ramp.served_in_stage,
        published_at_ms=now_ms,
    )
    publish_ramp(state, current, now_ms)


def step_up(
    state: world.World,
    ramp: targets.Ramp,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Move to the next stage if there is enough evidence for this one.

    The minimum time of the stage must have passed, and at least one of the
    calls must have been served by this instance.
    """
    if not ramp.served_in_stage:
        return []
    peer_served = sum(served for _, served in ramp.served_by_origin)
    if ramp.served_in_stage + peer_served < state.policy.ramp_evidence:
        return []
    if now_ms - ramp.stage_since_ms < ramp.wait_ms:
        return []
    return _change_stage(
        state,
        ramp._replace(stage=ramp.stage + 1),
        now_ms,
    )


def step_back(
    state: world.World,
    ramp: targets.Ramp,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Move to the previous stage and lengthen its minimum time."""
    jitter = 1 + state.rng.uniform(-_WAIT_JITTER, _WAIT_JITTER)
    wait_ms = min(ramp.wait_ms * _WAIT_BACKOFF_FACTOR, _MAX_WAIT_MS) * jitter
    return _change_stage(
        state,
        ramp._replace(
            generation=ramp.generation + 1,
            stage=max(ramp.stage - 1, 0),
            wait_ms=wait_ms,
        ),
        now_ms,
    )


def publish_ramp(
    state: world.World,
    ramp: targets.Ramp,
    now_ms: clock.Millis,
) -> None:
    """Publish a ramp to the peers if the policy is ``FLEET_POLICY``."""
    if state.policy.ramp != FLEET_POLICY:
        return
    body = messages.RampState(
        ramp.target_id,
        ramp.generation,
        ramp.stage,
        ramp.wait_ms,
        ramp.target_incarnation,
        ramp.served_in_stage,
    )
    shared_facts.publish_fact(state, f'ramp/{ramp.target_id}', body, now_ms)


def _is_above_cap(state: world.World, service: str) -> bool:
    """Return whether too many of a service's targets are ramping.

    True if their share is above ``_MAX_RAMPED_SHARE``.
    """
    ids = state.catalogue.in_force.target_ids_by_service[service]
    ramping_ids = [
        target_id
        for target_id in ids
        if target_id in state.targets.ramp_by_id
        and not is_done(state, state.targets.ramp_by_id[target_id])
    ]
    return len(ramping_ids) > _MAX_RAMPED_SHARE * len(ids)


def _change_stage(
    state: world.World,
    ramp: targets.Ramp,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    moved = ramp._replace(
        stage_since_ms=now_ms,
        served_in_stage=0,
        published_served=0,
        served_by_origin=(),
    )
    store_ramp(state, moved, now_ms)
    publish_ramp(state, moved, now_ms)
    stage_text = f'generation {moved.generation} stage {moved.stage}'
    return [actions.Audit('ramp', moved.target_id, 'evidence', stage_text)]
