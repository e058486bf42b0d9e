"""Tells how long the caller of a call has waited already, at least.

A caller that tries again has less time left than one that has just begun. An
answer within the aim counts from the first attempt, so that a call with little
time left can't be in aim any more, however quickly it is answered now.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import callers
from oleanderstair.domain.targets import shortage

INITIAL_FIRST_ATTEMPT_SHARE: typing.Final = 0.75
"""The part of the longest time that first attempts are taken to have at least,
until more is known: callers of a route differ by less."""

MAX_FIRST_ATTEMPT_SHARE: typing.Final = 0.95
"""Up to which part that is learned, as callers are never all alike."""

LEARNING_DELAY_MS: typing.Final[clock.Millis] = 10_000
"""How long after its start an instance begins to learn; who comes before may
have waited for it."""

LONGEST_KEPT_MS: typing.Final[clock.Millis] = 60_000
"""How long the longest time of a route stands, as callers change."""

_BELOW_SHARE: typing.Final = 0.05
"""The part of first attempts that may have less time than is learned."""

_SHARE_STEP: typing.Final = 0.01
"""How far one call moves what is learned: some hundred calls settle it."""


def record_time_left(
    state: world.World,
    route: str,
    service: str,
    left_ms: clock.Millis,
    now_ms: clock.Millis,
) -> None:
    """Learn from the time that a caller gives its call.

    What first attempts have is learned while every call finds room, as
    nearly all calls are first attempts then.
    """
    known = state.callers.limits_by_route.get(route)
    if known is None or now_ms - known.longest_at_ms > LONGEST_KEPT_MS:
        share = known.first_share if known else INITIAL_FIRST_ATTEMPT_SHARE
        known = callers.Limits(left_ms, now_ms, share)
    elif left_ms > known.longest_ms:
        known = known._replace(longest_ms=left_ms, longest_at_ms=now_ms)
    if _is_learning(state, service, now_ms):
        is_under = left_ms < known.first_share * known.longest_ms
        share = known.first_share + _SHARE_STEP * (_BELOW_SHARE - is_under)
        known = known._replace(
            first_share=min(max(share, 0), MAX_FIRST_ATTEMPT_SHARE)
        )
    state.callers.limits_by_route[route] = known


def min_waited_ms(
    state: world.World,
    route: str,
    left_ms: clock.Millis,
) -> clock.Millis:
    """Return how long a caller has waited for sure, by the time left to it."""
    known = state.callers.limits_by_route.get(route)
    if known is None:
        return 0
    return max(known.first_share * known.longest_ms - left_ms, 0)


def _is_learning(
    state: world.World, service: str, now_ms: clock.Millis
) -> bool:
    first_ms = state.members.first_tick_ms
    if first_ms is None or now_ms - first_ms < LEARNING_DELAY_MS:
        return False
    return not shortage.is_short(state, service, now_ms)
