"""Measures targets within the budget of their service.

The budget is a bound on the reads of the whole fleet in any second. Clocks
differ, so it is kept by letting only as many instances measure a service as
may each probe once a second. Each part of a split fleet uses only its share
by the largest recent count, and an instance that is new to the measuring of
a service first waits until the others have seen the same list.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, rendezvous, world
from oleanderstair.domain.targets import shares
from oleanderstair.domain.tables import budgets, catalogue, instances, targets

_BUDGET_USED: typing.Final = 0.8
_INTERVAL_MS: typing.Final = 1050
_PERIOD_MS: typing.Final = 200
_SETTLE_MS: typing.Final = 3000
_FRESH_MS: typing.Final = 1000


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Probe the targets that are due, within this instance's share."""
    table = state.budgets
    if now_ms - table.measured_at_ms < _PERIOD_MS:
        return []
    table.measured_at_ms = now_ms
    if state.instances.phase is not instances.Phase.SERVING:
        return []
    found = []
    for service in state.catalogue.in_force.service_by_name.values():
        probe = _probe_next(state, service, now_ms)
        if probe is not None:
            found.append(probe)
    return found


def _probe_next(
    state: world.World,
    service: catalogue.Service,
    now_ms: clock.Millis,
) -> actions.Action | None:
    turn = _turn_of(state, service, now_ms)
    if not turn.target_ids or now_ms - turn.since_ms < _SETTLE_MS:
        return None
    if now_ms - turn.probed_at_ms < _interval_ms(service):
        return None
    target_id = min(
        turn.target_ids,
        key=lambda found: _told_at_ms(state, found),
    )
    if now_ms - _told_at_ms(state, target_id) < _FRESH_MS:
        return None
    state.budgets.turn_by_service[service.name] = turn._replace(
        probed_at_ms=now_ms,
        target_ids=_last(turn.target_ids, target_id),
    )
    target = state.catalogue.in_force.target_by_id[target_id]
    return actions.Probe(
        target_id,
        target.address,
        state.policy.probe_bound_ms,
    )


def _told_at_ms(state: world.World, target_id: str) -> clock.Millis:
    """Return when our own calls or a report last told of a target."""
    condition = targets.condition_of(state.targets, target_id)
    return max(condition.latency_at_ms, condition.reported_at_ms)


def _last(target_ids: tuple[str, ...], chosen: str) -> tuple[str, ...]:
    """Move the chosen one to the end, so that equals take turns."""
    others = [found for found in target_ids if found != chosen]
    return (*others, chosen)


def _interval_ms(service: catalogue.Service) -> clock.Millis:
    budget = service.probe_budget_per_s * _BUDGET_USED
    return max(_INTERVAL_MS, _INTERVAL_MS * actions.READS_PER_PROBE / budget)


def _turn_of(
    state: world.World,
    service: catalogue.Service,
    now_ms: clock.Millis,
) -> budgets.ProbeTurn:
    roster = shares.roster(state)
    digest = state.catalogue.in_force.digest
    known = state.budgets.turn_by_service.get(service.name)
    if known is not None and known.digest == digest:
        if known.roster is roster:
            return known
    target_ids = _assigned(state, service, roster)
    since_ms = now_ms
    probed_at_ms = clock.NEVER_MS
    if known is not None:
        probed_at_ms = known.probed_at_ms
        since_ms = known.since_ms if known.target_ids else now_ms
    made = budgets.ProbeTurn(
        roster,
        digest,
        target_ids,
        since_ms,
        probed_at_ms,
    )
    state.budgets.turn_by_service[service.name] = made
    return made


def _assigned(
    state: world.World,
    service: catalogue.Service,
    roster: tuple[str, ...],
) -> tuple[str, ...]:
    if service.probe_budget_per_s <= 0:
        return ()
    reads = service.probe_budget_per_s * _BUDGET_USED
    probers = max(int(reads / actions.READS_PER_PROBE), 1)
    largest = max(state.instances.largest_count, len(roster))
    allowed = probers * len(roster) // largest
    chosen = rendezvous.first(roster, service.name, allowed)
    own_id = state.identity.instance_id
    if own_id not in chosen:
        return ()
    ids = state.catalogue.in_force.target_ids_by_service[service.name]
    return tuple(
        target_id
        for target_id in ids
        if rendezvous.first(chosen, target_id, 1) == (own_id,)
    )
