"""Estimates the free slots of a target from its load reports.

Only a report shows the calls of other instances. Between two reports each
other sender is assumed to send as many calls as this instance, as callers are
spread evenly over the instances.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import events, world
from oleanderstair.domain.fleet import host_assignment
from oleanderstair.domain.tables import concurrency as concurrency_table
from oleanderstair.domain.tables import load_reports
from oleanderstair.domain.targets import (
    availability,
    concurrency,
    slot_shortage,
)

RECENT_REPORT_MS: typing.Final[clock.Millis] = 20
"""The age up to which a report is taken as current; a read takes a few ms."""

FULL_REPORT_MS: typing.Final[clock.Millis] = 500
"""The age up to which a report of queued calls shows a full target."""

PROMPT_RESET_MS: typing.Final[clock.Millis] = 50
"""The time within which a full target resets a connection.

It includes the network latency.
"""


def free_slots(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> int:
    """Return the number of free slots of a target.

    Only slots that add throughput count. The number is negative if the target
    has more calls than these. Return 0 if the target did not answer the last
    read, or accepts no calls from this instance. Return at most 0 if
    its report is outdated while its service lacks free slots. Before the first
    report each sender may use an equal part of the slots, at least one.
    """
    entry = state.registry.entry_by_id.get(target_id)
    load = load_reports.load_of(state.loads, target_id)
    if entry is None or now_ms < load.unreachable_until_ms:
        return 0
    if not availability.accepts_calls(state, target_id, now_ms):
        return 0
    report = load.report
    slots = report.slots if report else entry.slots
    usable = concurrency.usable_slots(state, entry.service, slots)
    if report is None:
        return usable - load.in_flight * _sender_count(state, entry.service)
    sent = load.sent_since_report
    if now_ms - load.reported_at_ms > RECENT_REPORT_MS:
        # Calls that have ended since the report no longer occupy a slot.
        sent = min(sent, load.in_flight) * _sender_count(state, entry.service)
    busy = report.running + report.queued + sent
    free = usable - busy
    if slot_shortage.is_report_outdated(
        load, now_ms
    ) and slot_shortage.has_shortage(
        state,
        entry.service,
        now_ms,
    ):
        return min(free, 0)
    return free


def load_at_start(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> concurrency_table.LoadAtStart | None:
    """Return the concurrency and slowness that a call sent now begins with.

    The concurrency includes this call.
    Return None if there is no recent report.
    """
    load = load_reports.load_of(state.loads, target_id)
    report = load.report
    if report is None or now_ms - load.reported_at_ms > RECENT_REPORT_MS:
        return None
    busy = report.running + report.queued + load.sent_since_report
    return concurrency_table.LoadAtStart(busy + 1, report.slowness)


def _sender_count(state: world.World, service: str) -> int:
    """Return the number of instances that send calls of a service.

    These are the instances of this data centre that are assigned to the
    service, and this instance. If none is assigned, all instances of this
    data centre count.
    """
    identity = state.identity
    assigned_ids = host_assignment.instance_ids_for_service(
        state, service, identity.data_centre
    )
    if not assigned_ids:
        return max(state.instances.largest_local_count, 1)
    return len(assigned_ids) + (identity.instance_id not in assigned_ids)


def is_refusal_by_reset(
    state: world.World,
    target_id: str,
    event: events.AttemptEnded,
    elapsed_ms: clock.Millis,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a target reset a connection because it was full.

    True if no answer had begun, the reset came within ``PROMPT_RESET_MS``,
    and a report of at most ``FULL_REPORT_MS`` shows all slots in use and
    queued calls. The call can't have begun to run, so it did not crash the
    target either.
    """
    if not event.unanswered or elapsed_ms > PROMPT_RESET_MS:
        return False
    load = load_reports.load_of(state.loads, target_id)
    report = load.report
    if report is None or now_ms - load.reported_at_ms > FULL_REPORT_MS:
        return False
    return report.running >= report.slots and report.queued > 0


def targets_with_free_slot(
    state: world.World,
    target_ids: typing.Iterable[str],
    now_ms: clock.Millis,
) -> list[str]:
    """Return the targets that have a free slot."""
    return [
        target_id
        for target_id in target_ids
        if free_slots(state, target_id, now_ms) > 0
    ]


def is_next_level_untested(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a target has a free slot whose effect is not yet known.

    True if a recent report shows a free slot, and no answers have shown how
    much the target slows down when that slot is filled.
    """
    entry = state.registry.entry_by_id.get(target_id)
    upcoming = load_at_start(state, target_id, now_ms)
    if entry is None or upcoming is None:
        return False
    if not availability.accepts_calls(state, target_id, now_ms):
        return False
    if upcoming.running > entry.slots:
        return False
    return not concurrency.has_evidence(state, entry.service, upcoming.running)


def reported_slowness(state: world.World, target_id: str) -> float:
    """Return the slowness that a target has reported, 1 without a report."""
    report = load_reports.load_of(state.loads, target_id).report
    return report.slowness if report else 1.0
