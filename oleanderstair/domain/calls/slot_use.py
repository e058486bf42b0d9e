"""Decides whether a routed call should use a free slot of a target.

Other load on a target's machine (its neighbours) slows it down for a while. A
call that starts then stays slow to its end, even if the neighbours stop before.
While calls compete for slots, a late call on a slow machine takes the time of
several calls that would meet their latency target.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.admission import reserved_slots
from oleanderstair.domain.tables import load_reports, routed
from oleanderstair.domain.targets import (
    expected_latencies,
    slot_estimates,
    slow_start_limits,
)

MAX_NORMAL_SLOWNESS: typing.Final = 2.0
"""A machine with a higher slowness counts as slowed by its neighbours."""

MAX_REPORT_AGE_MS: typing.Final[clock.Millis] = 150
"""The maximum age of a report to judge a machine by: the load of neighbours
changes fast."""

RESERVED_SLOT_SHARE: typing.Final = 0.25
"""The share of a target's slots that is reserved for calls that can meet their
latency target."""


def is_expected_late(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> bool:
    """Return whether an answer after the median latency would be late.

    It is late if it misses the route's latency target, which counts from the
    caller's first attempt.
    """
    median_ms = expected_latencies.route_latency(state, call.route).median_ms
    return now_ms + median_ms > call.latency_target_at_ms


def is_allowed_by_reserve(
    state: world.World,
    call: routed.RoutedCall,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a call may use a free slot despite the reserved ones.

    True if the call can meet its latency target, or if the target has more
    free slots than the reserved share. Late calls lose nothing by waiting.
    """
    if not is_expected_late(state, call, now_ms):
        return True
    entry = state.registry.entry_by_id[target_id]
    free = slot_estimates.free_slots(state, target_id, now_ms)
    return free > RESERVED_SLOT_SHARE * entry.slots


def may_use_slot(
    state: world.World,
    call: routed.RoutedCall,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a call may use a free slot of a target now.

    False if it would waste the slot, or if the slot is reserved for calls
    that can meet their latency target or are more urgent.
    """
    if is_slot_wasted(state, call, target_id, now_ms):
        return False
    if reserved_slots.is_reserved(state, call, target_id, now_ms):
        return False
    return is_allowed_by_reserve(state, call, target_id, now_ms)


def is_slot_wasted(
    state: world.World,
    call: routed.RoutedCall,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a call would miss its latency target on a slow machine.

    Also true if it would miss it at a cold target, and another target of the
    service is warm. Otherwise always false if ``spare_slow_slots`` is off in
    the policy, or if the last report is too old or shows no slowdown.
    """
    if _is_cold_start_too_slow(state, call, target_id, now_ms):
        return True
    if not state.policy.spare_slow_slots:
        return False
    load = load_reports.load_of(state.loads, target_id)
    report = load.report
    if report is None or now_ms - load.reported_at_ms > MAX_REPORT_AGE_MS:
        return False
    if report.slowness <= MAX_NORMAL_SLOWNESS:
        return False
    median_ms = expected_latencies.route_latency(state, call.route).median_ms
    return now_ms + median_ms * report.slowness > call.latency_target_at_ms


def _is_cold_start_too_slow(
    state: world.World,
    call: routed.RoutedCall,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a call should go to a warm target rather than this one."""
    if not slow_start_limits.is_cold(state, target_id, now_ms):
        return False
    median_ms = expected_latencies.route_latency(state, call.route).median_ms
    expected_ms = median_ms * slow_start_limits.COLD_SLOWNESS
    if now_ms + expected_ms <= call.latency_target_at_ms:
        return False
    return slow_start_limits.has_warm_target(state, call.service, now_ms)
