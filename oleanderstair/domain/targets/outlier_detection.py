"""Outlier detection: ejects targets by the failures of the calls sent there.

Each failure raises a target's failure score, which decays with time. A target
with a high score is ejected for a limited time. It then gets one trial call at
a time until one succeeds. Each failed trial lengthens the next ejection. The
health path is not used as evidence. If too many targets are ejected, the
cause is probably elsewhere and sampling ignores the ejections.
"""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import load_reports

FAILURE_PENALTY: typing.Final = 1.0
"""How much a failed call adds to the failure score."""

SHED_WITH_FREE_SLOTS_PENALTY: typing.Final = 0.5
"""How much a refused call adds if the target reports free slots."""

OVERTAKEN_PENALTY: typing.Final = 0.25
"""How much an attempt adds whose hedge was answered first."""

MISDIRECTED_EJECTION_MS: typing.Final = 5000
"""How long an address is not used that now belongs to another target."""

_EJECT_SCORE: typing.Final = 1.0
"""The failure score from which on a target is ejected."""

_FIRST_EJECTION_MS: typing.Final = 1000
_MAX_EJECTION_MS: typing.Final = 8000

_MAX_FAILURE_SCORE: typing.Final = 4.0
"""The upper bound of the failure score."""

_SCORE_HALF_LIFE_MS: typing.Final = 4000

_SUCCESS_FACTOR: typing.Final = 0.5
"""The factor by which a successful call lowers the failure score."""

_MAX_SCORE_AFTER_TRIAL: typing.Final = 0.25
"""The upper bound of the failure score after a successful trial."""

_EJECTION_JITTER: typing.Final = 0.5
"""The width of the random range of an ejection, as a share of its duration."""

_MAX_DOUBLINGS: typing.Final = 5

_LATENCY_WEIGHT: typing.Final = 0.3
_MAX_LATENCY_RATIO: typing.Final = 5.0
_LATENCY_HALF_LIFE_MS: typing.Final = 2000


def record_success(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> None:
    """Lower a target's failure score and end its ejection.

    After an ejection the score is at most ``_MAX_SCORE_AFTER_TRIAL``.
    """
    load = load_reports.load_of(state.loads, target_id)
    score = failure_score(load, now_ms) * _SUCCESS_FACTOR
    load_reports.put_load(
        state.loads,
        load._replace(
            failure_score=min(score, _MAX_SCORE_AFTER_TRIAL)
            if load.ejection_count
            else score,
            failure_score_at_ms=now_ms,
            ejection_count=0,
            ejected_until_ms=clock.NEVER_MS,
        ),
    )


def record_failure(
    state: world.World,
    target_id: str,
    penalty: float,
    now_ms: clock.Millis,
) -> None:
    """Raise a target's failure score and eject the target if it is high."""
    load = load_reports.load_of(state.loads, target_id)
    score = min(failure_score(load, now_ms) + penalty, _MAX_FAILURE_SCORE)
    load = load._replace(failure_score=score, failure_score_at_ms=now_ms)
    if score >= _EJECT_SCORE and now_ms >= load.ejected_until_ms:
        load = load._replace(
            ejection_count=load.ejection_count + 1,
            ejected_until_ms=now_ms + _ejection_ms(state, load.ejection_count),
        )
    load_reports.put_load(state.loads, load)


def record_misdirected(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> None:
    """Eject a target whose address now belongs to another target."""
    load = load_reports.load_of(state.loads, target_id)
    load_reports.put_load(
        state.loads,
        load._replace(
            ejection_count=load.ejection_count + 1,
            ejected_until_ms=now_ms + MISDIRECTED_EJECTION_MS,
        ),
    )


def record_latency_ratio(
    state: world.World,
    target_id: str,
    sample: float,
    now_ms: clock.Millis,
) -> None:
    """Update a target's latency ratio by one answer.

    ``sample`` is the duration of the answer relative to the usual one.
    """
    load = load_reports.load_of(state.loads, target_id)
    ratio = latency_ratio(load, now_ms)
    ratio += _LATENCY_WEIGHT * (min(sample, _MAX_LATENCY_RATIO) - ratio)
    load_reports.put_load(
        state.loads,
        load._replace(latency_ratio=ratio, latency_ratio_at_ms=now_ms),
    )


def failure_score(load: load_reports.Load, now_ms: clock.Millis) -> float:
    """Return the failure score of a target, decayed to the present."""
    if not load.failure_score:
        return 0
    age_ms = now_ms - load.failure_score_at_ms
    return load.failure_score * _decay(age_ms, _SCORE_HALF_LIFE_MS)


def latency_ratio(load: load_reports.Load, now_ms: clock.Millis) -> float:
    """Return the latency ratio of a target, decayed towards 1 by its age."""
    if load.latency_ratio_at_ms == clock.NEVER_MS:
        return 1
    age_ms = now_ms - load.latency_ratio_at_ms
    return 1 + (load.latency_ratio - 1) * _decay(age_ms, _LATENCY_HALF_LIFE_MS)


def is_ejected(load: load_reports.Load, now_ms: clock.Millis) -> bool:
    """Return whether a target gets no call because of an ejection.

    True until the ejection ends. Afterwards, until a call has succeeded, true
    while a trial call is in flight.
    """
    if now_ms < load.ejected_until_ms:
        return True
    return load.ejection_count > 0 and load.in_flight > 0


def is_trial_due(load: load_reports.Load, now_ms: clock.Millis) -> bool:
    """Return whether a target's next call is the trial after an ejection.

    True if the ejection has ended, no call has succeeded since, and no call
    is in flight there.
    """
    return load.ejection_count > 0 and not is_ejected(load, now_ms)


def _ejection_ms(state: world.World, previous_count: int) -> clock.Millis:
    """Return the duration of an ejection, in ms.

    It doubles with each consecutive ejection up to a bound. Jitter keeps the
    trials of several instances apart.
    """
    ejection_ms = _FIRST_EJECTION_MS * math.pow(
        2, min(previous_count, _MAX_DOUBLINGS)
    )
    jitter = 1 + _EJECTION_JITTER * (state.rng.random() - 0.5)
    return min(ejection_ms, _MAX_EJECTION_MS) * jitter


def _decay(age_ms: clock.Millis, half_life_ms: clock.Millis) -> float:
    return math.pow(2, -max(age_ms, 0) / half_life_ms)
