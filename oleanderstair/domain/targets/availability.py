"""Decides when targets accept calls from this instance.

A target may be leaving, request a back-off, limit its requests or be in slow
start, and a target that only a restore of the store has brought back is held
back for a while.
"""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import load_reports, registry
from oleanderstair.domain.targets import (
    backoffs,
    evacuations,
    rate_limits,
    slow_start_limits,
)

RETURN_SPREAD_SHARE: typing.Final = 0.25
"""Jitter of the retry time sent to callers, as a share of the wait.

It keeps refused callers from returning all at once.
"""


def accepts_calls(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether this instance may send a target a call now.

    False if the target is leaving, no longer registered, in an evacuated data
    centre or held back after a restore, if it has requested a back-off, or if
    its rate limit or its slow start allows no call from here.
    """
    return not wait_ms(state, target_id, now_ms)


def may_be_sampled(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a target accepts calls now, or may after a read.

    The latter is true if only a health response is missing that shows that
    the target is not in slow start.
    """
    if accepts_calls(state, target_id, now_ms):
        return True
    entry = state.registry.entry_by_id.get(target_id)
    if entry is None or _other_wait_ms(state, entry, now_ms):
        return False
    return slow_start_limits.accepts_after_read(state, entry, now_ms)


def wait_ms(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> clock.Millis:
    """Return the ms until a target accepts a call from this instance.

    Return 0 if it does now, and infinity if it is leaving, no longer
    registered, in an evacuated data centre, or limited and left to other
    instances.
    """
    entry = state.registry.entry_by_id.get(target_id)
    if entry is None:
        return math.inf
    other_ms = _other_wait_ms(state, entry, now_ms)
    if other_ms == math.inf:
        return other_ms
    return max(other_ms, slow_start_limits.permit_wait_ms(state, entry, now_ms))


def _other_wait_ms(
    state: world.World,
    entry: registry.Entry,
    now_ms: clock.Millis,
) -> clock.Millis:
    """Return the ms until a target accepts a call, slow starts left out."""
    target_id = entry.target_id
    if entry.leaving:
        return math.inf
    evacuated_ms = evacuations.wait_ms(state, entry.data_centre, now_ms)
    held_until_ms = state.registry.held_until_ms_by_id.get(target_id, now_ms)
    load = load_reports.load_of(state.loads, target_id)
    return max(
        evacuated_ms,
        held_until_ms - now_ms,
        backoffs.left_ms(load, now_ms),
        rate_limits.permit_wait_ms(state, target_id, now_ms),
    )


def service_wait_ms(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
    excluded_ids: typing.Collection[str] = (),
) -> clock.Millis:
    """Return the ms until a target of a service accepts a call from here.

    Return 0 if one does now, or if none is expected to. The targets in
    ``excluded_ids`` are left out.
    """
    shortest_ms = min(
        (
            wait_ms(state, target_id, now_ms)
            for target_id in state.registry.ids_by_service.get(service, ())
            if target_id not in excluded_ids
        ),
        default=0,
    )
    return shortest_ms if shortest_ms < math.inf else 0


def retry_after_ms(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> clock.Millis:
    """Return when callers should retry, in ms; 0 if a target accepts calls.

    It is the time until one does, with jitter.
    """
    left_ms = service_wait_ms(state, service, now_ms)
    if not left_ms:
        return 0
    if slow_start_limits.limit_of(state, service) is not None:
        left_ms = max(left_ms, slow_start_limits.MIN_RETRY_AFTER_MS)
    return left_ms * (1 + RETURN_SPREAD_SHARE * state.rng.random())
