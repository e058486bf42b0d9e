"""Explains where a request would be sent now, without sending it.

Only reads the tables: it draws no random numbers, takes no credits or tokens
and starts no reads of load. So it lists what the choice is made from, and not
the one target that a random sample would lead to.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.admission import threshold
from oleanderstair.domain.calls import retry_budget
from oleanderstair.domain.configuration import routing
from oleanderstair.domain.fleet import readiness
from oleanderstair.domain.tables import load_reports, registry, routes
from oleanderstair.domain.targets import (
    availability,
    evacuations,
    outlier_detection,
    reachability,
    slot_estimates,
    slow_start_limits,
    target_scoring,
)


class TargetView(typing.TypedDict):
    """A target of the service, and why it gets no call now, '' if it may.

    ``score`` is the expected duration of a call there as a multiple of the
    usual one, ``report_age_ms`` the age of its load report, None without one.
    """

    target: str
    data_centre: str
    excluded_by: str
    free_slots: int
    score: float
    report_age_ms: int | None


class ServiceView(typing.TypedDict):
    """A service of the route, with its targets, the best ones first.

    ``admitted_share`` is the share of the calls of this rank that is admitted,
    ``retries_left`` how many extra attempts the retry budget allows here.
    """

    service: str
    weight: int
    admitted_share: float
    retries_left: float
    targets: list[TargetView]


class Placement(typing.TypedDict):
    """What decides where a request goes; ``refused_by`` is '' if it may go."""

    instance: str
    refused_by: str
    configuration: int
    route: str
    rank: int
    idempotent: bool
    is_forwarded: bool
    services: list[ServiceView]


def explain(
    state: world.World, host: str, path: str, now_ms: clock.Millis
) -> Placement:
    """Return what decides where a request for ``host`` and ``path`` goes."""
    in_force = state.routes.in_force
    placement = Placement(
        instance=state.identity.incarnation,
        refused_by='',
        configuration=in_force.number if in_force else 0,
        route='',
        rank=0,
        idempotent=False,
        is_forwarded=reachability.is_isolated(state),
        services=[],
    )
    if in_force is None or not readiness.has_store_state(state):
        placement['refused_by'] = 'unconfirmed'
        return placement
    route = routing.find_route(in_force, host, path)
    if route is None:
        placement['refused_by'] = 'no-route'
        return placement
    placement['route'] = route.name
    placement['rank'] = route.rank
    placement['idempotent'] = route.idempotent
    placement['services'] = [
        _view_service(state, route, part, now_ms) for part in route.parts
    ]
    if not readiness.is_ready(state):
        placement['refused_by'] = 'stopping'
    elif not any(
        not target['excluded_by']
        for service in placement['services']
        for target in service['targets']
    ):
        placement['refused_by'] = 'no-target'
    return placement


def _view_service(
    state: world.World,
    route: routes.Route,
    part: routes.SplitPart,
    now_ms: clock.Millis,
) -> ServiceView:
    targets = [
        _view_target(state, state.registry.entry_by_id[target_id], now_ms)
        for target_id in state.registry.ids_by_service.get(part.service, ())
    ]
    targets.sort(key=lambda view: (view['excluded_by'] != '', view['score']))
    share = 1.0
    if state.policy.admission_by_rank:
        share = threshold.share_of(state, part.service, route.rank, now_ms)
    retry_share = retry_budget.NON_IDEMPOTENT_RETRY_SHARE
    if route.idempotent:
        retry_share = retry_budget.IDEMPOTENT_RETRY_SHARE
    return ServiceView(
        service=part.service,
        weight=part.weight,
        admitted_share=share,
        retries_left=retry_budget.remaining_attempts(
            state, part.service, retry_share, now_ms
        ),
        targets=targets,
    )


def _view_target(
    state: world.World, entry: registry.Entry, now_ms: clock.Millis
) -> TargetView:
    load = load_reports.load_of(state.loads, entry.target_id)
    age_ms = None
    if load.report is not None:
        age_ms = int(now_ms - load.reported_at_ms)
    return TargetView(
        target=entry.target_id,
        data_centre=entry.data_centre,
        excluded_by=_find_exclusion(state, entry, load, now_ms),
        free_slots=slot_estimates.free_slots(state, entry.target_id, now_ms),
        score=target_scoring.score_target(
            state, entry.target_id, idempotent=False, now_ms=now_ms
        ).score,
        report_age_ms=age_ms,
    )


def _find_exclusion(
    state: world.World,
    entry: registry.Entry,
    load: load_reports.Load,
    now_ms: clock.Millis,
) -> str:
    """Return why a target gets no call now, an empty string if it may."""
    target_id = entry.target_id
    accepts_calls = availability.accepts_calls(state, target_id, now_ms)
    is_cold = slow_start_limits.is_cold(state, target_id, now_ms)
    is_full = slot_estimates.free_slots(state, target_id, now_ms) <= 0
    checks = (
        ('leaving', entry.leaving),
        ('evacuated', evacuations.is_closed(state, entry.data_centre)),
        ('slow start', is_cold and not accepts_calls),
        ('back-off', now_ms < load.backoff_until_ms),
        ('ejected', outlier_detection.is_ejected(load, now_ms)),
        ('unreachable', now_ms < load.unreachable_until_ms),
        ('rate limit', not accepts_calls),
        ('no free slot', is_full),
    )
    return next((reason for reason, holds in checks if holds), '')
