"""Admits or rejects a call at its arrival, before it is sampled or queued."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.admission import threshold
from oleanderstair.domain.tables import admission, routes
from oleanderstair.domain.targets import expected_latencies

RETURNED_BOOST: typing.Final = 0.5
"""By how much of the rest up to 1 the share of a rank is raised for calls that
return after a refusal and can still be answered in time."""

MAX_SPARE_SHARE: typing.Final = 0.8
"""The share of its spare time after which a rejected call is to be sent again
at the latest, so that the rest is left for its queueing."""

MAX_CALLER_WAIT_SHARE: typing.Final = 1 / 3
"""The share of their remaining time up to which callers wait."""

MIN_SPREAD: typing.Final = 0.25
"""The earliest time to send a rejected call again, as a share of the latest.
Times between the two are equally likely, so that callers return spread out."""


class Arrival(typing.NamedTuple):
    """A call that has arrived.

    ``caller_waited_ms`` is how long its caller has at least waited before.
    """

    received: events.CallReceived
    route: routes.Route
    service: str
    caller_waited_ms: clock.Millis


def reject_or_admit(
    state: world.World,
    arrival: Arrival,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Return the rejection of a call, or no action if it is admitted.

    A call that a peer has forwarded was admitted there.
    """
    if not state.policy.admission_by_rank:
        return []
    row = admission.admission_for(state.admission, arrival.service)
    route = arrival.route
    median_ms = expected_latencies.route_latency(state, route).median_ms
    threshold.record_offered(row, route.rank, median_ms, now_ms)
    if row.level >= 1 or arrival.received.from_peer:
        return []
    share = threshold.share_of(state, arrival.service, route.rank, now_ms)
    is_late = median_ms + arrival.caller_waited_ms > route.aim_ms
    if arrival.caller_waited_ms and not is_late:
        share += RETURNED_BOOST * (1 - share)
    if _take_credit(state, row, route.name, share):
        return []
    return [
        actions.Refuse(
            arrival.received.call_id,
            outcomes.Outcome.NOT_RUN,
            outcomes.Reason.NOT_ADMITTED,
            _retry_after_ms(state, arrival, median_ms, now_ms),
        ),
        actions.Count(
            'admission-rejected',
            f'service={arrival.service} rank={route.rank}',
        ),
    ]


def _take_credit(
    state: world.World,
    row: admission.ServiceAdmission,
    route: str,
    share: float,
) -> bool:
    """Return whether the next call of a route is within its share.

    Each call adds the share to the credit, and each admitted call takes 1. So
    the share holds within a call even where only a few calls arrive. Credits
    start at random values, so that instances don't admit in step.
    """
    if route not in row.credit_by_route:
        row.credit_by_route[route] = state.rng.random()
    credit = row.credit_by_route[route] + share
    is_admitted = credit >= 1
    row.credit_by_route[route] = credit - is_admitted
    return is_admitted


def _retry_after_ms(
    state: world.World,
    arrival: Arrival,
    median_ms: clock.Millis,
    now_ms: clock.Millis,
) -> clock.Millis:
    """Return a random retry-after by which the caller can still be answered.

    It lies within the time that is left for an answer in time or, if there is
    none, for one before the deadline.
    """
    left_ms = arrival.received.deadline_ms - now_ms
    in_time_ms = arrival.route.aim_ms - arrival.caller_waited_ms - median_ms
    spare_ms = in_time_ms if in_time_ms > 0 else left_ms - median_ms
    latest_ms = min(MAX_SPARE_SHARE * spare_ms, MAX_CALLER_WAIT_SHARE * left_ms)
    return max(latest_ms * state.rng.uniform(MIN_SPREAD, 1), 0)
