"""Decides which share of the load of each rank is admitted now.

The level of a service is the share of its offered load that is admitted. It
falls by a factor in each window in which capacity is short and rises by a step
in each window in which capacity is ample; in between it stays. So instances
that each see another part of the load settle at similar levels, and the fleet
does not oscillate.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.admission import pressure, urgency
from oleanderstair.domain.tables import admission

WINDOW_MS: typing.Final[clock.Millis] = 500
"""The time between two adjustments of a level."""

DECREASE_FACTOR: typing.Final = 0.85
"""The factor by which a level falls while capacity is short."""

INCREASE_STEP: typing.Final = 0.1
"""The step by which a level rises while capacity is ample."""

AMPLE_PRESSURE: typing.Final = 0.75
"""The pressure below which capacity is ample; above 1 it is short."""

MIN_AUDITED_CHANGE: typing.Final = 0.1
MIN_AUDIT_INTERVAL_MS: typing.Final[clock.Millis] = 1000
"""A change of level is audited from this size on, at most once in this time."""

LEAST_URGENT_SHARE: typing.Final = 0.35
"""The minimum share of the least urgent rank.

No kind of call may be served less than a quarter as often as all, and calls
that are admitted may still fail.
"""

MIN_UNCUT_URGENCY: typing.Final = 0.5
"""The urgency from which on no call is rejected at its arrival.

A rejection takes one of the one or two retries that a caller has. For calls of
middle urgency, a place in the queue serves more of them in time.
"""

OFFERED_DECAY_MS: typing.Final[clock.Millis] = 5000
"""The decay of the offered load: the mix of ranks changes slowly, and an
instance may see only a few calls of a rank in a second."""


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Adjust the levels of the services whose window has ended."""
    if not state.policy.admission_by_rank:
        return []
    done: list[actions.Action] = []
    for service, row in state.admission.admission_by_service.items():
        if now_ms - row.adjusted_at_ms >= WINDOW_MS:
            row.adjusted_at_ms = now_ms
            measured = pressure.pressure_of(row, now_ms)
            min_level = (
                _min_level(state, service, now_ms) if measured > 1 else 1
            )
            row.level = next_level(row.level, measured, min_level)
            done.extend(_audit_change(service, row, now_ms))
    return done


def next_level(level: float, measured: float, min_level: float) -> float:
    """Return the level that follows a window with the measured pressure."""
    if measured > 1:
        return max(level * DECREASE_FACTOR, min(min_level, 1))
    if measured < AMPLE_PRESSURE:
        return min(level + INCREASE_STEP, 1)
    return level


def record_offered(
    row: admission.ServiceAdmission,
    rank: int,
    slot_ms: clock.Millis,
    now_ms: clock.Millis,
) -> None:
    """Record the slot time that a call of a rank would take."""
    known = row.offered_by_rank.get(rank, admission.DecayedSum())
    row.offered_by_rank[rank] = admission.add(
        known, slot_ms, OFFERED_DECAY_MS, now_ms
    )


def rank_shares(
    level: float,
    offered_by_rank: typing.Mapping[int, float],
    min_share_by_rank: typing.Mapping[int, float],
) -> dict[int, float]:
    """Return the share of the calls of each rank that is admitted.

    Each rank gets its minimum share first; the rest of the admitted load goes
    to the ranks by urgency.
    """
    left = level * sum(offered_by_rank.values()) - sum(
        min_share_by_rank[rank] * offered
        for rank, offered in offered_by_rank.items()
    )
    share_by_rank: dict[int, float] = {}
    for rank, offered in sorted(offered_by_rank.items()):
        share = min_share_by_rank[rank]
        granted = min(max(left, 0), (1 - share) * offered)
        left -= granted
        share_by_rank[rank] = share + granted / offered if offered else 1
    return share_by_rank


def min_rank_share(state: world.World, service: str, rank: int) -> float:
    """Return the minimum share of a rank, 1 for the more urgent half."""
    share = urgency.urgency_of(state, service, rank)
    cut = max(1 - share / MIN_UNCUT_URGENCY, 0)
    return 1 - (1 - LEAST_URGENT_SHARE) * cut


def share_of(
    state: world.World,
    service: str,
    rank: int,
    now_ms: clock.Millis,
) -> float:
    """Return the share of the calls of a rank that is admitted now."""
    row = admission.admission_for(state.admission, service)
    if row.level >= 1:
        return 1
    offered_by_rank = _offered_by_rank(row, now_ms)
    min_share_by_rank = {
        known: min_rank_share(state, service, known)
        for known in offered_by_rank
    }
    shares = rank_shares(row.level, offered_by_rank, min_share_by_rank)
    return shares.get(rank, row.level)


def _min_level(state: world.World, service: str, now_ms: clock.Millis) -> float:
    """Return the level at which each rank has its minimum share."""
    row = admission.admission_for(state.admission, service)
    offered_by_rank = _offered_by_rank(row, now_ms)
    admitted = sum(
        min_rank_share(state, service, rank) * offered
        for rank, offered in offered_by_rank.items()
    )
    offered = sum(offered_by_rank.values())
    return admitted / offered if offered else 1


def _offered_by_rank(
    row: admission.ServiceAdmission, now_ms: clock.Millis
) -> dict[int, float]:
    return {
        rank: admission.total_at(offered, OFFERED_DECAY_MS, now_ms)
        for rank, offered in row.offered_by_rank.items()
    }


def _audit_change(
    service: str, row: admission.ServiceAdmission, now_ms: clock.Millis
) -> list[actions.Action]:
    """Audit that calls begin or cease to be rejected, or a change of level.

    A change is audited from ``MIN_AUDITED_CHANGE`` on, and at most one change
    of a service within ``MIN_AUDIT_INTERVAL_MS``.
    """
    if now_ms - row.reported_at_ms < MIN_AUDIT_INTERVAL_MS:
        return []
    began_or_ended = (row.level < 1) != (row.reported_level < 1)
    change = abs(row.level - row.reported_level)
    if not began_or_ended and change < MIN_AUDITED_CHANGE:
        return []
    why = (
        f'admits {row.level:.2f} of the load after {row.reported_level:.2f},'
        f' pressure {pressure.pressure_of(row, now_ms):.2f}'
    )
    row.reported_level = row.level
    row.reported_at_ms = now_ms
    return [actions.Audit('service', service, 'admission', why)]
