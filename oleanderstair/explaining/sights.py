"""Gathers what other requests met at a target at the same time.

A request that was held up says little of why; those beside it at the same
target may have the reason in a report, or have failed there.
"""

import bisect
import collections
import typing

from oleanderstair.explaining import causes, reports

FAILED: typing.Final = 'failed'
SLOW: typing.Final = 'slow'
FULL: typing.Final = 'full'
ANSWERED: typing.Final = 'answered'

_BAD_VERDICTS: typing.Final = frozenset(('broken', 'silent', 'not-sent'))


class Sight(typing.NamedTuple):
    """What one line says of a target; ``at_s`` is wall time in s."""

    at_s: float
    request_id: str
    what: str


Sights: typing.TypeAlias = dict[str, list[Sight]]
"""What was seen of each target, by its id, in order."""


def gather(facts: typing.Iterable[causes.Fact]) -> Sights:
    """Return what lines say of each target."""
    sights: Sights = {}
    for fact in facts:
        target = fact.get('target')
        if target:
            seen = sights.setdefault(target, [])
            request_id = fact.get('id')
            seen.extend(
                Sight(fact.at_s, request_id, what) for what in _kinds(fact)
            )
    for of_target in sights.values():
        of_target.sort()
    return sights


def during(
    sights: Sights,
    target_id: str,
    span_s: tuple[float, float],
    but_id: str,
) -> collections.Counter[str]:
    """Count what requests but one saw of a target in a span of time."""
    first_s, last_s = span_s
    of_target = sights.get(target_id, [])
    first = bisect.bisect_left(of_target, first_s, key=_time_of)
    last = bisect.bisect_right(of_target, last_s, key=_time_of)
    return collections.Counter(
        seen.what for seen in of_target[first:last] if seen.request_id != but_id
    )


def _time_of(seen: Sight) -> float:
    return seen.at_s


def _kinds(fact: causes.Fact) -> list[str]:
    """Return what a line says of its target."""
    kinds: list[str] = []
    verdict = fact.get('verdict')
    if verdict in _BAD_VERDICTS or fact.kind == 'target-barred':
        kinds.append(FAILED)
    elif verdict == 'answered':
        kinds.append(ANSWERED)
    report = reports.read(fact.get('report'))
    if report is not None and report.is_slow:
        kinds.append(SLOW)
    if report is not None and report.free <= 0:
        kinds.append(FULL)
    return kinds
