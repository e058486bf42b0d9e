"""Reserves the last free slot of each target for urgent calls.

A long call of low urgency holds its slot for as long as many urgent calls.
While slots are short, it is sent only to targets with two free slots or more.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.admission import threshold, urgency
from oleanderstair.domain.tables import routed
from oleanderstair.domain.targets import slot_estimates, slot_shortage

EXEMPT_INTERVAL: typing.Final = 4
"""One in this many calls may use reserved slots: no kind of call may be served
less than a quarter as often as all, also if its callers never retry."""


def is_reserved(
    state: world.World,
    call: routed.RoutedCall,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether the free slot of a target is left to more urgent calls.

    False for calls that return after a refusal, for one in
    ``EXEMPT_INTERVAL`` of the others, and at targets with a single slot, so
    that no kind of call is kept out for as long as slots are short.
    """
    if not state.policy.admission_by_rank or call.caller_waited_ms:
        return False
    if not call.call_id % EXEMPT_INTERVAL:
        return False
    if not slot_shortage.has_shortage(state, call.service, now_ms):
        return False
    share = urgency.urgency_of(state, call.service, call.route.rank)
    if share >= threshold.MIN_UNCUT_URGENCY:
        return False
    if state.registry.entry_by_id[target_id].slots < 2:
        return False
    return slot_estimates.free_slots(state, target_id, now_ms) <= 1
