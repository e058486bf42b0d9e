"""Says when an idempotent call is worth a second target, and whether.

A call that takes longer than most of its route is at a slow target or a
straggler; a second target is then likely to answer first. The second goes
out while it can still answer within the aim.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.calls import repeats
from oleanderstair.domain.tables import routed
from oleanderstair.domain.targets import choosing, expecting, shortage

MAX_TARGET_SCORE: typing.Final = 2.0
"""How slow a target may be, as a multiple of the usual, to take a hedge."""

_RESCHEDULE_MS: typing.Final = 60
_MIN_DELAY_MS: typing.Final = 20


def schedule_hedge(
    state: world.World,
    call: routed.RoutedCall,
) -> list[actions.Action]:
    """Return the timer after which a call that was sent is hedged."""
    if not _has_attempts_left(call):
        return []
    due = events.HedgeDue(call.call_id, call.sends)
    return [actions.Schedule(due, _hedge_delay_ms(state, call))]


def reschedule_hedge(call: routed.RoutedCall) -> list[actions.Action]:
    """Return a timer that looks for a quiet target once more."""
    due = events.HedgeDue(call.call_id, call.sends)
    return [actions.Schedule(due, _RESCHEDULE_MS)]


def is_due(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a second target could still answer in time."""
    if not _has_attempts_left(call) or not call.attempts:
        return False
    if shortage.is_short(state, call.service, now_ms):
        return False
    expected = expecting.of_route(state, call.route)
    return now_ms + expected.typical_ms < call.due_at_ms


def may_hedge_to(
    state: world.World,
    call: routed.RoutedCall,
    chosen: choosing.Choice,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a hedge to a target is worth a part of the budget."""
    if not chosen.has_room or chosen.score > MAX_TARGET_SCORE:
        return False
    return repeats.may_hedge(state, call.service, now_ms)


def _has_attempts_left(call: routed.RoutedCall) -> bool:
    return call.route.idempotent and call.sends < call.route.max_attempts


def _hedge_delay_ms(
    state: world.World, call: routed.RoutedCall
) -> clock.Millis:
    """Return after how long a hedge is sent.

    As late as it can still answer within the aim, but not before most calls
    have answered by themselves.
    """
    expected = expecting.of_route(state, call.route)
    sent_at_ms = call.attempts[-1].started_at_ms
    left_ms = call.aim_at_ms - sent_at_ms - expected.late_ms
    wait_ms = max(min(expected.late_ms, left_ms), expected.early_ms)
    return max(wait_ms, _MIN_DELAY_MS)
