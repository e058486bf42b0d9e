"""Probes targets within the probe budget of their service.

The budget bounds the reads of the whole fleet in any second. Instances do not
coordinate their probes in time. Instead, only as many instances probe a
service as the budget allows to probe once a second. During a partition each
side uses a share of the budget in proportion to the largest recent count of
instances. An instance that starts to probe a service first waits until the
other instances have seen the same list of instances.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, rendezvous, world
from oleanderstair.domain.targets import shares
from oleanderstair.domain.tables import budgets, catalogue, instances, targets

_BUDGET_USED_SHARE: typing.Final = 0.8
_MIN_INTERVAL_MS: typing.Final = 1050
_CHECK_PERIOD_MS: typing.Final = 200
_SETTLE_DELAY_MS: typing.Final = 3000
_FRESH_EVIDENCE_MS: typing.Final = 1000


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Probe one due target of each service that this instance probes."""
    table = state.budgets
    if now_ms - table.probes_checked_at_ms < _CHECK_PERIOD_MS:
        return []
    table.probes_checked_at_ms = now_ms
    if state.instances.phase is not instances.Phase.SERVING:
        return []
    probes = []
    for service in state.catalogue.in_force.service_by_name.values():
        probe = _probe_next(state, service, now_ms)
        if probe is not None:
            probes.append(probe)
    return probes


def _probe_next(
    state: world.World,
    service: catalogue.Service,
    now_ms: clock.Millis,
) -> actions.Action | None:
    assignment = _probe_assignment(state, service, now_ms)
    if (
        not assignment.target_ids
        or now_ms - assignment.since_ms < _SETTLE_DELAY_MS
    ):
        return None
    if now_ms - assignment.probed_at_ms < _interval_ms(service):
        return None
    target_id = min(
        assignment.target_ids,
        key=lambda candidate: _evidence_at_ms(state, candidate),
    )
    if now_ms - _evidence_at_ms(state, target_id) < _FRESH_EVIDENCE_MS:
        return None
    state.budgets.probe_assignment_by_service[service.name] = (
        assignment._replace(
            probed_at_ms=now_ms,
            target_ids=_move_to_end(assignment.target_ids, target_id),
        )
    )
    target = state.catalogue.in_force.target_by_id[target_id]
    return actions.Probe(
        target_id,
        target.address,
        state.policy.probe_bound_ms,
    )


def _evidence_at_ms(state: world.World, target_id: str) -> clock.Millis:
    """Return the time of the newest latency sample or report of a target."""
    condition = targets.condition_of(state.targets, target_id)
    return max(condition.latency_at_ms, condition.reported_at_ms)


def _move_to_end(target_ids: tuple[str, ...], chosen: str) -> tuple[str, ...]:
    """Move the chosen target to the end, so that equals are probed in turn."""
    others = [target_id for target_id in target_ids if target_id != chosen]
    return (*others, chosen)


def _interval_ms(service: catalogue.Service) -> clock.Millis:
    budget = service.probe_budget_per_s * _BUDGET_USED_SHARE
    return max(
        _MIN_INTERVAL_MS, _MIN_INTERVAL_MS * actions.READS_PER_PROBE / budget
    )


def _probe_assignment(
    state: world.World,
    service: catalogue.Service,
    now_ms: clock.Millis,
) -> budgets.ProbeAssignment:
    live_ids = shares.live_instance_ids(state)
    digest = state.catalogue.in_force.digest
    cached = state.budgets.probe_assignment_by_service.get(service.name)
    if cached is not None and cached.digest == digest:
        if cached.live_instance_ids is live_ids:
            return cached
    target_ids = _assigned_target_ids(state, service, live_ids)
    since_ms = now_ms
    probed_at_ms = clock.NEVER_MS
    if cached is not None:
        probed_at_ms = cached.probed_at_ms
        since_ms = cached.since_ms if cached.target_ids else now_ms
    assignment = budgets.ProbeAssignment(
        live_ids,
        digest,
        target_ids,
        since_ms,
        probed_at_ms,
    )
    state.budgets.probe_assignment_by_service[service.name] = assignment
    return assignment


def _assigned_target_ids(
    state: world.World,
    service: catalogue.Service,
    live_ids: tuple[str, ...],
) -> tuple[str, ...]:
    if service.probe_budget_per_s <= 0:
        return ()
    reads = service.probe_budget_per_s * _BUDGET_USED_SHARE
    probers = max(int(reads / actions.READS_PER_PROBE), 1)
    largest = max(state.instances.largest_count, len(live_ids))
    allowed = probers * len(live_ids) // largest
    chosen = rendezvous.top_members(live_ids, service.name, allowed)
    own_id = state.identity.instance_id
    if own_id not in chosen:
        return ()
    ids = state.catalogue.in_force.target_ids_by_service[service.name]
    return tuple(
        target_id
        for target_id in ids
        if rendezvous.top_members(chosen, target_id, 1) == (own_id,)
    )
