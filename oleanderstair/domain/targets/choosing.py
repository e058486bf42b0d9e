"""Chooses the target that would answer a call soonest.

A report says how slow a target's machine is at the moment and how full it
is; an older one says less, and none at all counts against the target.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import load_reports
from oleanderstair.domain.targets import trust

QUIET: typing.Final = 1.7
"""The score up to which a target is as good as any."""

_CROWDING: typing.Final = 0.5
"""How much slower a target gets, at most, as its slots fill."""

_USUAL: typing.Final = 2.0
"""The slowness that a report fades to with its age."""

_FADE_MS: typing.Final = 200
_STALE_MS: typing.Final = 500
_UNKNOWN: typing.Final = 8.0
_COLD: typing.Final = 1.5
_FAR: typing.Final = 1.25
_TIE: typing.Final = 0.1
_NEW_SHARE: typing.Final = 0.1
_NEW_SCORE: typing.Final = 2.5
_ON_TRIAL: typing.Final = 0.5
_UNPROVEN: typing.Final = 3.0


class Choice(typing.NamedTuple):
    """A target, and how many times the usual a call would take there.

    ``settled`` is true where no wider sample would change the choice.
    """

    target_id: str
    score: float
    has_room: bool
    settled: bool = False


def choose(
    state: world.World,
    target_ids: typing.Iterable[str],
    idempotent: bool,
    now_ms: clock.Millis,
) -> Choice | None:
    """Return the best of the targets that are still registered.

    Now and then an idempotent call goes to one that had none so far, so
    that a target that joins has work before it is the best.
    """
    known = state.registry.entry_by_id
    found = [
        _judge(state, target_id, idempotent, now_ms)
        for target_id in target_ids
        if target_id in known and not known[target_id].leaving
    ]
    if idempotent and state.rng.random() < _NEW_SHARE:
        found = _new_ones(state, found) or found
    return min(
        found,
        key=lambda choice: choice.score * (1 + _TIE * state.rng.random()),
        default=None,
    )


def _new_ones(
    state: world.World,
    found: list[Choice],
) -> list[Choice]:
    """Return the targets that have answered no call from here so far."""
    loads = state.loads
    return [
        choice._replace(settled=True)
        for choice in found
        if choice.score <= _NEW_SCORE
        and load_reports.load_of(loads, choice.target_id).paced_at_ms
        == clock.NEVER_MS
    ]


def _judge(
    state: world.World,
    target_id: str,
    idempotent: bool,
    now_ms: clock.Millis,
) -> Choice:
    entry = state.registry.entry_by_id[target_id]
    known = load_reports.load_of(state.loads, target_id)
    score = _by_report(known, now_ms)
    score *= max(trust.pace_of(known, now_ms), 1)
    score *= _by_trust(known, idempotent, now_ms)
    if now_ms < entry.warm_at_ms and known.report is None:
        score *= _COLD
    if entry.data_centre != state.identity.data_centre:
        score *= _FAR
    has_room = _has_room(known, entry.slots)
    return Choice(target_id, score, has_room, score <= QUIET)


def _by_trust(
    known: load_reports.Load,
    idempotent: bool,
    now_ms: clock.Millis,
) -> float:
    """Return what trust makes of a score.

    The trial of a target is a call that may be sent again.
    """
    if idempotent and trust.awaits_trial(known, now_ms):
        return _ON_TRIAL
    doubted = 1 + trust.doubt_of(known, now_ms)
    if known.bars:
        return doubted * _UNPROVEN
    return doubted


def _by_report(known: load_reports.Load, now_ms: clock.Millis) -> float:
    report = known.report
    age_ms = now_ms - known.reported_at_ms
    if report is None or age_ms > _STALE_MS:
        return _UNKNOWN + known.in_flight
    fresh = max(1 - age_ms / _FADE_MS, 0)
    slowness = _USUAL + (report.slowness - _USUAL) * fresh
    slots = max(report.slots, 1)
    fill = (report.running + report.waiting + known.sent_since) / slots
    waits = max(fill - 1 + 1 / slots, 0)
    return slowness * (1 + _CROWDING * min(fill, 1) + waits)


def _has_room(known: load_reports.Load, slots: int) -> bool:
    report = known.report
    if report is None:
        return known.in_flight < slots
    if report.waiting:
        return False
    return report.running + known.sent_since < report.slots
