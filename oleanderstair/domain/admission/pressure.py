"""Estimates how short of capacity a service is, from what this instance sees.

An instance sees only a few calls of a service in a second. Load reports are
read at random targets of the whole fleet, so they show the occupancy that all
instances cause together. A target that sheds a call though it has free slots
is no evidence: a retry elsewhere helps, and its reports show the free slots.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import admission

DECAY_MS: typing.Final[clock.Millis] = 1000
"""The age at which an observation has 1/e of its weight."""

MAX_FULL_SHARE: typing.Final = 0.8
"""The share of targets without a free slot at which capacity is short."""

MAX_SHORT_SHARE: typing.Final = 0.9
"""The share of calls that find no free slot at which capacity is short."""

_PRIOR_CALLS: typing.Final = 4
"""How many calls with a free slot, and half as many free reports, are assumed
beside what was observed, so that single observations count little."""


def on_load_read(
    state: world.World,
    event: events.LoadRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Record whether a target that was read had a free slot."""
    entry = state.registry.entry_by_id.get(event.target_id)
    report = event.report
    if not state.policy.admission_by_rank or report is None or entry is None:
        return []
    row = admission.admission_for(state.admission, entry.service)
    is_full = report.running + report.queued >= report.slots
    row.reads = admission.add(row.reads, 1, DECAY_MS, now_ms)
    row.full_reads = admission.add(row.full_reads, is_full, DECAY_MS, now_ms)
    return []


def record_call(state: world.World, service: str, now_ms: clock.Millis) -> None:
    """Record a call that looks for a free slot."""
    if state.policy.admission_by_rank:
        row = admission.admission_for(state.admission, service)
        row.calls = admission.add(row.calls, 1, DECAY_MS, now_ms)


def record_short(
    state: world.World, service: str, now_ms: clock.Millis
) -> None:
    """Record a call that found no free slot, or was shed by a full target."""
    if state.policy.admission_by_rank:
        row = admission.admission_for(state.admission, service)
        row.short_calls = admission.add(row.short_calls, 1, DECAY_MS, now_ms)


def pressure_of(row: admission.ServiceAdmission, now_ms: clock.Millis) -> float:
    """Return how short of capacity a service is; above 1 it is short."""
    full_share = _share(row.full_reads, row.reads, _PRIOR_CALLS / 2, now_ms)
    short_share = _share(row.short_calls, row.calls, _PRIOR_CALLS, now_ms)
    return max(full_share / MAX_FULL_SHARE, short_share / MAX_SHORT_SHARE)


def _share(
    part: admission.DecayedSum,
    whole: admission.DecayedSum,
    prior: float,
    now_ms: clock.Millis,
) -> float:
    part_total = admission.total_at(part, DECAY_MS, now_ms)
    whole_total = admission.total_at(whole, DECAY_MS, now_ms)
    return part_total / (whole_total + prior)
