"""How much of the load of each service is admitted, and on what evidence."""

import math
import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain.tables import routes


class DecayedSum(typing.NamedTuple):
    """A sum whose parts lose weight exponentially with their age."""

    total: float = 0
    at_ms: clock.Millis = 0


class ServiceAdmission(msgspec.Struct):
    """The admission of one service at this instance.

    ``level`` is the share of the offered load that is admitted, and
    ``adjusted_at_ms`` when it was last adjusted. ``calls`` sums the calls that
    looked for a slot, ``short_calls`` those that found none, ``reads`` the load
    reports that were read, and ``full_reads`` those without a free slot.
    ``offered_by_rank`` holds the load that has arrived, in ms of slot time.
    ``credit_by_route`` holds how many calls each route is owed.
    ``reported_level`` is the level of the last audit entry, made at
    ``reported_at_ms``.
    """

    level: float = 1
    adjusted_at_ms: clock.Millis = clock.NEVER_MS
    calls: DecayedSum = DecayedSum()
    short_calls: DecayedSum = DecayedSum()
    reads: DecayedSum = DecayedSum()
    full_reads: DecayedSum = DecayedSum()
    offered_by_rank: dict[int, DecayedSum] = msgspec.field(default_factory=dict)
    credit_by_route: dict[str, float] = msgspec.field(default_factory=dict)
    reported_level: float = 1
    reported_at_ms: clock.Millis = clock.NEVER_MS


class AdmissionTable(msgspec.Struct):
    """Admission by service, and the ranks of the routes to each service.

    ``ranks_by_service`` is derived from ``indexed_routing``; its ranks ascend.
    """

    admission_by_service: dict[str, ServiceAdmission] = msgspec.field(
        default_factory=dict,
    )
    ranks_by_service: dict[str, tuple[int, ...]] = msgspec.field(
        default_factory=dict,
    )
    indexed_routing: routes.Routing | None = None


def create() -> AdmissionTable:
    """Create a table in which all load is admitted."""
    return AdmissionTable()


def admission_for(table: AdmissionTable, service: str) -> ServiceAdmission:
    """Return the admission of a service; an unknown service gets a new one."""
    known = table.admission_by_service.get(service)
    if known is None:
        known = ServiceAdmission()
        table.admission_by_service[service] = known
    return known


def is_limited(table: AdmissionTable, service: str) -> bool:
    """Return whether a part of the load of a service is rejected."""
    known = table.admission_by_service.get(service)
    return known is not None and known.level < 1


def add(
    summed: DecayedSum,
    amount: float,
    decay_ms: clock.Millis,
    now_ms: clock.Millis,
) -> DecayedSum:
    """Return a sum with one more part; weights fall to 1/e in ``decay_ms``."""
    return DecayedSum(total_at(summed, decay_ms, now_ms) + amount, now_ms)


def total_at(
    summed: DecayedSum,
    decay_ms: clock.Millis,
    now_ms: clock.Millis,
) -> float:
    """Return the total of a sum at a time not before its last part."""
    age_ms = max(now_ms - summed.at_ms, 0)
    return summed.total * math.exp(-age_ms / decay_ms)
