"""Sorts failed requests by cause, so that many can be looked at at once."""

import collections
import typing

from oleanderstair.domain import outcomes
from oleanderstair.explaining import causes, reports, sights, stories

UNKNOWN: typing.Final = 'unknown'
"""The cause of a request whose lines do not tell one."""

MERGED: typing.Final = 'merged under load, not told one by one'
"""The cause of requests that only a line with a count speaks of."""

_LATE: typing.Final = 'late'
_LEFT: typing.Final = 'caller-left'
_OUT_OF_TIME: typing.Final = 'status-504'
_OLD_MS: typing.Final = 500
"""From what age on a report counts as old; most are read for the call."""

Fact: typing.TypeAlias = causes.Fact
Facts: typing.TypeAlias = typing.Sequence[causes.Fact]


class Failure(typing.NamedTuple):
    """A request that was not answered well; ``at_s`` is wall time in s.

    ``told`` is what became of it, ``why`` the cause in a few words that are
    the same for like requests, and ``cause`` the cause in full.
    """

    at_s: float
    source: str
    request_id: str
    told: str
    why: str
    cause: str


class Sorted(typing.NamedTuple):
    """How many requests failed in one way for one cause."""

    told: str
    why: str
    requests: int


def find(said: typing.Sequence[stories.Said]) -> list[Failure]:
    """Return the requests that were refused, failed or late, in order."""
    seen = sights.gather(stories.facts_of(said))
    found: list[Failure] = []
    for request_id, said_of_it in stories.group(said).items():
        decisions = sorted(said_of_it, key=lambda line: line.at_s)
        facts = stories.facts_of(decisions)
        told = told_of(facts)
        if told:
            first = decisions[0]
            found.append(
                Failure(
                    first.at_s,
                    first.source,
                    request_id,
                    told,
                    _why(facts, told, seen),
                    causes.name(facts),
                ),
            )
    return sorted(found)


def count(
    said: typing.Iterable[stories.Said],
    found: typing.Iterable[Failure],
) -> list[Sorted]:
    """Return the failures by cause, most first, and those merged by count."""
    counts = collections.Counter(
        (failure.told, failure.why) for failure in found
    )
    for fact in stories.facts_of(said):
        told = _merged_as(fact.kind)
        if told:
            counts[told, MERGED] += int(fact.span_ms('count'))
    return [Sorted(*sort, number) for sort, number in counts.most_common()]


def told_of(facts: Facts) -> str:
    """Return in a word how a request failed, '' where it did not."""
    if any(fact.kind == _LEFT for fact in facts):
        return _LEFT
    end = causes.ending_of(facts)
    if end.kind in ('refused', 'rejected'):
        return end.get('reason') or UNKNOWN
    if end.kind == 'attempt-failed':
        return ''
    if end.kind not in ('answered', 'answered-by-peer'):
        return 'not-ended'
    if end.span_ms('status') >= outcomes.MIN_ERROR_STATUS:
        return f'status-{end.get("status")}'
    return _LATE if end.get('late_ms') else ''


_WHY_BY_ALL_TARGETS: typing.Final = {
    'limited': 'all targets limit their calls per second',
    'evacuated': 'all targets are in evacuated data centres',
}


def _merged_as(kind: str) -> str:
    for opening in ('refused-', 'rejected-', _LEFT):
        if kind.startswith(opening) and kind.endswith('-merged'):
            return kind.removeprefix('refused-').removesuffix('-merged')
    return ''


def _why(facts: Facts, told: str, seen: sights.Sights) -> str:
    end = causes.ending_of(facts)
    why = _why_all_targets(end) or _WHY_BY_REASON.get(told)
    if why:
        return why
    if told == 'overloaded':
        return _why_no_room(facts)
    left = next((fact for fact in facts if fact.kind == _LEFT), None)
    if left is not None and left.get('where'):
        return f'it left {left.get("where")}'
    ended = [fact for fact in facts if fact.kind == 'attempt-ended']
    by_target = told.startswith(('target-', 'status-'))
    if by_target and told != _OUT_OF_TIME and ended:
        return _why_not_again(facts, ended[-1])
    if causes.ending_of(facts).kind == 'rejected':
        return 'the request is not as it must be'
    return _why_long(facts, seen)


def _why_all_targets(end: causes.Fact) -> str:
    """Return what kept all targets from a call, an empty string if nothing."""
    for name, why in _WHY_BY_ALL_TARGETS.items():
        if end.get(name) and end.get(name) == end.get('targets'):
            return why
    return ''


def _why_no_room(facts: Facts) -> str:
    kinds = {fact.kind for fact in facts}
    if 'sent' in kinds:
        return 'no room for another attempt'
    if 'queued' not in kinds:
        return 'the line was full'
    if 'sampled' in kinds or any(fact.get('compared') for fact in facts):
        return 'no target compared had room'
    return 'others waited already'


def _why_not_again(facts: Facts, ended: Fact) -> str:
    """Return how the last attempt ended, and what kept it from another."""
    call = causes.opening_of(facts)
    end = causes.ending_of(facts)
    verdict = ended.get('verdict')
    how = _HOW_BY_VERDICT.get(verdict, verdict)
    sends = sum(fact.kind == 'sent' for fact in facts)
    if call.get('most_sends') == str(sends):
        return f'{how}; its route allows no more attempts'
    if call.get('runs') == 'once' and verdict not in _NOT_RUN:
        return f'{how}; its route runs once'
    if end.get('repeats_left') and end.span_ms('repeats_left') < 1:
        return f'{how}; the retry budget was spent'
    return f'{how}; no other target was tried'


def _why_long(facts: Facts, seen: sights.Sights) -> str:
    """Return what a request lost its time to."""
    sent = [fact for fact in facts if fact.kind == 'sent']
    if not sent:
        return _why_unsent(facts)
    began_s = causes.opening_of(facts).at_s
    attempt, took_s = _longest(facts, sent)
    if sent[0].at_s - began_s > took_s:
        return 'it waited long before it was sent'
    why = _why_slow(attempt, _ended_of(facts, attempt))
    if why:
        return why
    span_s = (attempt.at_s, attempt.at_s + took_s)
    target_id = attempt.get('target')
    others = sights.during(seen, target_id, span_s, attempt.get('id'))
    for what, meaning in _MEANING_BY_SIGHT.items():
        if others[what]:
            return meaning
    if causes.left_early(facts):
        return 'its caller gave up before its deadline'
    return 'long work; nothing ill was said of its target'


def _why_unsent(facts: Facts) -> str:
    kinds = {fact.kind for fact in facts}
    if 'queued' in kinds:
        return 'it waited for room'
    return 'it waited for reports' if 'sampled' in kinds else UNKNOWN


def _longest(facts: Facts, sent: Facts) -> tuple[Fact, float]:
    """Return the attempt that took longest, and for how many s."""
    took_s = [
        (_ended_of(facts, attempt) or causes.ending_of(facts)).at_s
        - attempt.at_s
        for attempt in sent
    ]
    place = took_s.index(max(took_s))
    return sent[place], took_s[place]


def _ended_of(facts: Facts, attempt: Fact) -> Fact | None:
    for fact in facts:
        same = fact.get('attempt') == attempt.get('attempt')
        if fact.kind == 'attempt-ended' and same:
            return fact
    return None


def _why_slow(attempt: Fact, ended: Fact | None) -> str:
    """Return why an attempt took long by its reports, '' where unsaid."""
    before = reports.read(attempt.get('report'))
    after = reports.read(ended.get('report')) if ended else None
    if before is None:
        return 'its target gave no report before it'
    if before.is_slow:
        return "its target's machine was slow by its report"
    if after is not None and after.is_slow:
        return "its target's machine became slow"
    if before.free <= 0:
        return 'its target was full by its report'
    if attempt.span_ms('report_age_ms') >= _OLD_MS:
        return "its target's report was old"
    return ''


_NOT_RUN: typing.Final = frozenset(('shed', 'not-sent', 'misdirected'))
_MEANING_BY_SIGHT: typing.Final[dict[str, str]] = {
    sights.FAILED: 'others failed at its target meanwhile',
    sights.SLOW: "its target's machine was slow to others meanwhile",
    sights.FULL: 'its target became full meanwhile',
    sights.ANSWERED: 'long work, while its target answered others',
}
_HOW_BY_VERDICT: typing.Final[dict[str, str]] = {
    'answered': 'the target itself answered so',
    'shed': 'the target shed it',
    'not-sent': 'the target could not be reached',
    'misdirected': 'another target had the address',
    'broken': 'the connection broke',
    'silent': 'the target fell silent',
}
_WHY_BY_REASON: typing.Final[dict[str, str]] = {
    'no-route': 'no route for its host and path',
    'unconfirmed': 'its instance knew no routes yet',
    'configuration-refused': 'no published configuration could be read',
    'stopping': 'its instance was at a planned stop',
    'deadline': 'it came without time left',
    'not-admitted': 'more urgent calls were admitted before it',
    'suspected': 'requests like it had made targets crash',
    'no-target': 'no target was known or usable',
    'isolated': 'no instance that was asked reached a target',
    'not-ended': UNKNOWN,
}
