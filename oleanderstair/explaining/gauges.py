"""What an instance knows and holds at a moment, as figures."""

import collections
import typing

from oleanderstair import clock, start_times
from oleanderstair.domain import world
from oleanderstair.domain.admission import pressure
from oleanderstair.domain.calls import retry_budget
from oleanderstair.domain.fleet import readiness
from oleanderstair.domain.tables import registry, revisions
from oleanderstair.domain.targets import (
    evacuations,
    rate_limits,
    reachability,
    slow_start_limits,
)


class Gauge(typing.NamedTuple):
    """One figure; labels are pairs of name and text."""

    name: str
    labels: tuple[tuple[str, str], ...]
    figure: float


def read(state: world.World, now_ms: clock.Millis) -> list[Gauge]:
    """Return the figures of an instance that carries calls on routes."""
    in_force = state.routes.in_force
    return [
        Gauge('ready', (), int(readiness.is_ready(state))),
        Gauge(
            'configuration_number',
            (),
            in_force.number if in_force else 0,
        ),
        Gauge(
            'configuration_refused_number',
            (),
            state.routes.refused.number if state.routes.refused else 0,
        ),
        Gauge('configuration_refused', (), int(bool(state.routes.refused))),
        *_age('configuration_age_ms', state.routes.adopted_at_ms, now_ms),
        *_revision(state.registry.revision),
        *_age('registry_age_ms', state.registry.read_at_ms, now_ms),
        Gauge('store_failures_in_row', (), state.store.failures_in_row),
        Gauge(
            'peers_known',
            (),
            sum(
                peer.is_live
                for peer in state.members.member_by_incarnation.values()
            ),
        ),
        Gauge('isolated', (), int(reachability.is_isolated(state))),
        *_evacuations(state),
        *_targets(state, now_ms),
        *_limits(state),
        *_slow_starts(state, now_ms),
        *_calls(state),
        *_budgets(state, now_ms),
        *_admission(state, now_ms),
    ]


def read_start(times: start_times.StartTimes) -> list[Gauge]:
    """Return when each phase of the start was reached."""
    marks = times.mark_by_phase.items()
    return [
        *(
            Gauge('start_ms', (('phase', phase),), mark.after_ms)
            for phase, mark in marks
        ),
        *(
            Gauge('start_cpu_ms', (('phase', phase),), mark.cpu_ms)
            for phase, mark in marks
        ),
    ]


def _revision(revision: int) -> list[Gauge]:
    return [
        Gauge('registry_revision', (), revisions.within_era(revision)),
        Gauge('store_era', (), revisions.era_of(revision)),
    ]


def _evacuations(state: world.World) -> list[Gauge]:
    """Return the store's revision at which each evacuation was requested."""
    table = state.operator_state
    return [
        Gauge(
            'evacuated_since_revision',
            (('data_centre', data_centre),),
            revisions.within_era(evacuation.revision),
        )
        for data_centre, evacuation in sorted(
            table.evacuation_by_data_centre.items()
        )
        if evacuations.is_evacuated(state, data_centre)
    ]


def _age(
    name: str,
    since_ms: clock.Millis,
    now_ms: clock.Millis,
) -> list[Gauge]:
    if since_ms == clock.NEVER_MS:
        return []
    return [Gauge(name, (), now_ms - since_ms)]


def _targets(state: world.World, now_ms: clock.Millis) -> list[Gauge]:
    counted = collections.Counter(
        (entry.service, _state_of(state, entry, now_ms))
        for entry in state.registry.entry_by_id.values()
    )
    return [
        Gauge('targets', (('service', service), ('state', kind)), count)
        for (service, kind), count in sorted(counted.items())
    ]


def _limits(state: world.World) -> list[Gauge]:
    limits = (
        rate_limits.limit_of(state, target_id)
        for target_id in sorted(state.rate_limits.limit_by_id)
    )
    return [
        Gauge('target_limit_per_s', (('target', limit.target_id),), limit.per_s)
        for limit in limits
        if limit is not None
    ]


def _slow_starts(state: world.World, now_ms: clock.Millis) -> list[Gauge]:
    """Return what cold targets tolerate, how many there are, and the bound.

    The bound is what all instances together may send one in a second.
    """
    if not state.policy.uses_slow_start_limits:
        return []
    cold_count = collections.Counter(
        entry.service
        for target_id, entry in state.registry.entry_by_id.items()
        if slow_start_limits.is_cold(state, target_id, now_ms)
    )
    limit_by_service = state.operator_state.limit_by_service
    return [
        gauge
        for service, limit in sorted(limit_by_service.items())
        for gauge in (
            Gauge(
                'slow_start_targets',
                (('service', service),),
                cold_count[service],
            ),
            Gauge(
                'slow_start_limit_per_s', (('service', service),), limit.per_s
            ),
            Gauge(
                'slow_start_bound_per_s',
                (('service', service),),
                slow_start_limits.bound_per_s(state, limit),
            ),
        )
    ]


def _state_of(
    state: world.World,
    entry: registry.Entry,
    now_ms: clock.Millis,
) -> str:
    if entry.leaving:
        return 'leaving'
    if evacuations.is_closed(state, entry.data_centre):
        return 'evacuated'
    known = state.loads.load_by_id.get(entry.target_id)
    if known is not None and now_ms < known.ejected_until_ms:
        return 'barred'
    is_cold = now_ms < entry.slow_start_until_ms or slow_start_limits.is_cold(
        state, entry.target_id, now_ms
    )
    return 'cold' if is_cold else 'usable'


def _budgets(state: world.World, now_ms: clock.Millis) -> list[Gauge]:
    return [
        Gauge(
            'repeats_left',
            (('service', service),),
            retry_budget.remaining_attempts(
                state, service, retry_budget.IDEMPOTENT_RETRY_SHARE, now_ms
            ),
        )
        for service in sorted(state.retry_budget.tally_by_service)
    ]


def _calls(state: world.World) -> list[Gauge]:
    counted = collections.Counter(
        (call.service, call.stage.value)
        for call in state.routed.call_by_id.values()
    )
    return [
        Gauge('calls_open', (('service', service), ('stage', stage)), count)
        for (service, stage), count in sorted(counted.items())
    ]


def _admission(state: world.World, now_ms: clock.Millis) -> list[Gauge]:
    rows = sorted(state.admission.admission_by_service.items())
    return [
        gauge
        for service, row in rows
        for gauge in (
            Gauge('admission_level', (('service', service),), row.level),
            Gauge(
                'admission_pressure',
                (('service', service),),
                pressure.pressure_of(row, now_ms),
            ),
        )
    ]
