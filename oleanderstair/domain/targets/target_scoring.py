"""Scores targets by expected response time and chooses the lowest score.

The score comes from the target's newest load report: the slowness of its
machine and the use of its slots. The weight of a report falls with its age.
A target without a recent report gets a high score.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import load_reports
from oleanderstair.domain.targets import outlier_detection, slow_start_limits

GOOD_SCORE: typing.Final = 1.7
"""A target up to this score is used without drawing a wider sample."""

_FULL_SLOWDOWN: typing.Final = 0.5
"""The relative increase of latency assumed at a target with no free slot."""

_DEFAULT_SLOWNESS: typing.Final = 2.0
"""The slowness assumed once a report is older than ``_REPORT_FADE_MS``."""

_REPORT_FADE_MS: typing.Final = 200
"""The age at which the reported slowness has lost its weight."""

_REPORT_STALE_MS: typing.Final = 500
"""The age above which a report is not used at all."""

_UNKNOWN_SCORE: typing.Final = 8.0
"""The score of an idle target without a report or with a stale one."""

_SLOW_START_FACTOR: typing.Final = 1.5
"""The factor for a target in its slow start that has no report yet."""

_REMOTE_FACTOR: typing.Final = 1.25
"""The factor for a target in another data centre."""

_TIE_JITTER: typing.Final = 0.1
"""The maximum random increase of a score, relative to it."""

_UNTRIED_SHARE: typing.Final = 0.1
"""The share of idempotent calls for targets that have not yet answered."""

_UNTRIED_MAX_SCORE: typing.Final = 2.5
"""The score up to which a target that has not yet answered is preferred."""

_TRIAL_FACTOR: typing.Final = 0.5
"""The factor for an idempotent call at a target that awaits its trial."""

_UNPROVEN_FACTOR: typing.Final = 3.0
"""The factor for a target after an ejection, until a call has succeeded.

For an idempotent trial call ``_TRIAL_FACTOR`` applies instead.
"""


class Choice(typing.NamedTuple):
    """A target and its score.

    ``score`` is the expected duration of a call there, as a multiple of the
    usual duration. ``is_good_enough`` is true if no wider sample needs to be
    drawn.
    """

    target_id: str
    score: float
    has_free_slot: bool
    is_good_enough: bool = False


def choose_target(
    state: world.World,
    target_ids: typing.Iterable[str],
    idempotent: bool,
    now_ms: clock.Millis,
) -> Choice | None:
    """Return the target with the lowest score, None if none is usable.

    Targets that are leaving or no longer registered are skipped. A small
    share of idempotent calls goes to targets that have not yet answered this
    instance. So a new target gets calls before it has the lowest score.
    """
    entry_by_id = state.registry.entry_by_id
    choices = [
        score_target(state, target_id, idempotent, now_ms)
        for target_id in target_ids
        if target_id in entry_by_id and not entry_by_id[target_id].leaving
    ]
    if idempotent and state.rng.random() < _UNTRIED_SHARE:
        choices = _untried_choices(state, choices) or choices
    return min(
        choices,
        key=lambda choice: (
            choice.score * (1 + _TIE_JITTER * state.rng.random())
        ),
        default=None,
    )


def _untried_choices(
    state: world.World,
    choices: list[Choice],
) -> list[Choice]:
    """Return the targets that have not yet answered this instance.

    Those with a score above ``_UNTRIED_MAX_SCORE`` are left out.
    """
    loads = state.loads
    return [
        choice._replace(is_good_enough=True)
        for choice in choices
        if choice.score <= _UNTRIED_MAX_SCORE
        and load_reports.load_of(loads, choice.target_id).latency_ratio_at_ms
        == clock.NEVER_MS
    ]


def score_target(
    state: world.World,
    target_id: str,
    idempotent: bool,
    now_ms: clock.Millis,
) -> Choice:
    """Return the score of a registered target, without jitter."""
    entry = state.registry.entry_by_id[target_id]
    load = load_reports.load_of(state.loads, target_id)
    cold = slow_start_limits.is_cold(state, target_id, now_ms)
    min_slowness = slow_start_limits.COLD_SLOWNESS if cold else 0
    score = _report_score(load, min_slowness, now_ms)
    score *= max(outlier_detection.latency_ratio(load, now_ms), 1)
    score *= _failure_factor(load, idempotent, now_ms)
    if now_ms < entry.slow_start_until_ms and load.report is None:
        score *= _SLOW_START_FACTOR
    if entry.data_centre != state.identity.data_centre:
        score *= _REMOTE_FACTOR
    has_free_slot = _has_free_slot(load, entry.slots)
    return Choice(target_id, score, has_free_slot, score <= GOOD_SCORE)


def _failure_factor(
    load: load_reports.Load,
    idempotent: bool,
    now_ms: clock.Millis,
) -> float:
    """Return the factor by which a target's failures change its score.

    A target that awaits its trial call is preferred for idempotent calls, as
    these can be retried elsewhere if the trial fails.
    """
    if idempotent and outlier_detection.is_trial_due(load, now_ms):
        return _TRIAL_FACTOR
    score_factor = 1 + outlier_detection.failure_score(load, now_ms)
    if load.ejection_count:
        return score_factor * _UNPROVEN_FACTOR
    return score_factor


def _report_score(
    load: load_reports.Load, min_slowness: float, now_ms: clock.Millis
) -> float:
    """Return the score of a target by its newest report.

    It rises with the use of the target's slots. It also rises with the number
    of calls that would be queued there, this one included.
    """
    report = load.report
    age_ms = now_ms - load.reported_at_ms
    if report is None or age_ms > _REPORT_STALE_MS:
        return _UNKNOWN_SCORE + load.in_flight
    freshness = max(1 - age_ms / _REPORT_FADE_MS, 0)
    slowness = (
        _DEFAULT_SLOWNESS + (report.slowness - _DEFAULT_SLOWNESS) * freshness
    )
    slowness = max(slowness, min_slowness)
    slots = max(report.slots, 1)
    slot_use = (report.running + report.queued + load.sent_since_report) / slots
    queued_per_slot = max(slot_use - 1 + 1 / slots, 0)
    return slowness * (1 + _FULL_SLOWDOWN * min(slot_use, 1) + queued_per_slot)


def _has_free_slot(load: load_reports.Load, slots: int) -> bool:
    report = load.report
    if report is None:
        return load.in_flight < slots
    if report.queued:
        return False
    return report.running + load.sent_since_report < report.slots
