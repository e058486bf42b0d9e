"""Says which slots a call would waste, as it would be answered late there.

A call keeps its slot for as long as its machine was slow when it began, also
once the neighbours have gone. While calls compete for slots, one that is late
anyway takes the time of several that would not be.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import load_reports, routed
from oleanderstair.domain.targets import expecting, room

SLOW: typing.Final = 2.0
"""From what slowness on a machine counts as slowed by its neighbours."""

MAX_REPORT_AGE_MS: typing.Final[clock.Millis] = 150
"""Up to which age a report tells of the neighbours, which come and go."""


RESERVED_SLOT_SHARE: typing.Final = 0.25
"""The part of a target's slots that is left to calls that can be in aim."""


def is_expected_late(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a usual answer would come after the aim."""
    usual_ms = expecting.of_route(state, call.route).typical_ms
    return now_ms + usual_ms > call.aim_at_ms


def is_reserve_kept(
    state: world.World,
    call: routed.RoutedCall,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a call leaves the last slots to others.

    One that can't be in aim any more loses nothing while it waits.
    """
    if not is_expected_late(state, call, now_ms):
        return True
    entry = state.registry.entry_by_id[target_id]
    free = room.free_slots(state, target_id, now_ms)
    return free > RESERVED_SLOT_SHARE * entry.slots


def may_use_slot(
    state: world.World,
    call: routed.RoutedCall,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a slot is used well by a call at the moment."""
    if is_slot_wasted(state, call, target_id, now_ms):
        return False
    return is_reserve_kept(state, call, target_id, now_ms)


def is_slot_wasted(
    state: world.World,
    call: routed.RoutedCall,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a call would be late at a target that is slow now."""
    if not state.policy.spare_slow_slots:
        return False
    known = load_reports.load_of(state.loads, target_id)
    report = known.report
    if report is None or now_ms - known.reported_at_ms > MAX_REPORT_AGE_MS:
        return False
    if report.slowness <= SLOW:
        return False
    usual_ms = expecting.of_route(state, call.route).typical_ms
    return now_ms + usual_ms * report.slowness > call.aim_at_ms
