"""Bars targets that fail, and lets them back by evidence.

A target is believed by what became of the calls sent to it, not by its
health path. A bar ends by itself; the target then takes one call at a time
until one succeeds, and each failure lengthens the next bar. Where too many
targets are barred the cause is likely elsewhere, and the bars are ignored.
"""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import load_reports

FAILED: typing.Final = 1.0
"""The doubt that a failed call adds."""

SHED_WITH_ROOM: typing.Final = 0.5
"""The doubt that a call adds that was shed beside free slots."""

OVERDUE: typing.Final = 0.25
"""The doubt that a call adds that another target answered first."""

MISDIRECTED_MS: typing.Final = 5000
"""How long an address that has another owner is not used."""

_BAR_FROM: typing.Final = 1.0
_FIRST_BAR_MS: typing.Final = 1000
_LONGEST_BAR_MS: typing.Final = 8000
_MOST_DOUBT: typing.Final = 4.0
_DOUBT_HALF_LIFE_MS: typing.Final = 4000
_SUCCESS: typing.Final = 0.5
_AFTER_TRIAL: typing.Final = 0.25
_SPREAD: typing.Final = 0.5
_MOST_DOUBLINGS: typing.Final = 5

_PACE_WEIGHT: typing.Final = 0.3
_MOST_PACE: typing.Final = 5.0
_PACE_HALF_LIFE_MS: typing.Final = 2000


def note_success(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> None:
    """Lessen the doubt about a target that answered a call well."""
    known = load_reports.load_of(state.loads, target_id)
    doubt = doubt_of(known, now_ms) * _SUCCESS
    load_reports.put_load(
        state.loads,
        known._replace(
            doubt=min(doubt, _AFTER_TRIAL) if known.bars else doubt,
            doubted_at_ms=now_ms,
            bars=0,
            barred_until_ms=clock.NEVER_MS,
        ),
    )


def note_failure(
    state: world.World,
    target_id: str,
    doubt: float,
    now_ms: clock.Millis,
) -> None:
    """Add to the doubt about a target, and bar it where that is much."""
    known = load_reports.load_of(state.loads, target_id)
    total = min(doubt_of(known, now_ms) + doubt, _MOST_DOUBT)
    known = known._replace(doubt=total, doubted_at_ms=now_ms)
    if total >= _BAR_FROM and now_ms >= known.barred_until_ms:
        known = known._replace(
            bars=known.bars + 1,
            barred_until_ms=now_ms + _bar_ms(state, known.bars),
        )
    load_reports.put_load(state.loads, known)


def note_misdirected(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> None:
    """Leave out a target whose address has another owner now."""
    known = load_reports.load_of(state.loads, target_id)
    load_reports.put_load(
        state.loads,
        known._replace(
            bars=known.bars + 1,
            barred_until_ms=now_ms + MISDIRECTED_MS,
        ),
    )


def note_pace(
    state: world.World,
    target_id: str,
    multiple: float,
    now_ms: clock.Millis,
) -> None:
    """Follow how long a target's answers take beside the usual."""
    known = load_reports.load_of(state.loads, target_id)
    pace = pace_of(known, now_ms)
    pace += _PACE_WEIGHT * (min(multiple, _MOST_PACE) - pace)
    load_reports.put_load(
        state.loads,
        known._replace(pace=pace, paced_at_ms=now_ms),
    )


def doubt_of(known: load_reports.Load, now_ms: clock.Millis) -> float:
    """Return the doubt about a target as it has faded by now."""
    if not known.doubt:
        return 0
    age_ms = now_ms - known.doubted_at_ms
    return known.doubt * _faded(age_ms, _DOUBT_HALF_LIFE_MS)


def pace_of(known: load_reports.Load, now_ms: clock.Millis) -> float:
    """Return the pace of a target as it has faded to the usual by now."""
    if known.paced_at_ms == clock.NEVER_MS:
        return 1
    age_ms = now_ms - known.paced_at_ms
    return 1 + (known.pace - 1) * _faded(age_ms, _PACE_HALF_LIFE_MS)


def is_barred(known: load_reports.Load, now_ms: clock.Millis) -> bool:
    """Return whether a target gets no call now.

    After its bar it gets one at a time, until one has succeeded.
    """
    if now_ms < known.barred_until_ms:
        return True
    return known.bars > 0 and known.in_flight > 0


def awaits_trial(known: load_reports.Load, now_ms: clock.Millis) -> bool:
    """Return whether a target's bar is over and no call has proved it."""
    return known.bars > 0 and not is_barred(known, now_ms)


def _bar_ms(state: world.World, bars: int) -> clock.Millis:
    """Return how long a bar lasts, spread so that trials don't meet."""
    bar_ms = _FIRST_BAR_MS * math.pow(2, min(bars, _MOST_DOUBLINGS))
    spread = 1 + _SPREAD * (state.rng.random() - 0.5)
    return min(bar_ms, _LONGEST_BAR_MS) * spread


def _faded(age_ms: clock.Millis, half_life_ms: clock.Millis) -> float:
    return math.pow(2, -max(age_ms, 0) / half_life_ms)
