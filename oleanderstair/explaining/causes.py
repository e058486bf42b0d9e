"""Names in one sentence why a request ended as it did."""

import typing

from oleanderstair.domain import outcomes

UNTOLD: typing.Final = (
    'no line names this request: it was answered in time at the first'
    ' attempt, was merged with others under load, came to another instance,'
    ' or its instance was killed before it ended'
)
"""What is said of a request that no line names."""

_OPENS: typing.Final = frozenset(('call', 'rejected', 'caller-left'))
"""The kinds of lines that a request may begin with."""

_ENDS: typing.Final = frozenset(
    ('answered', 'answered-by-peer', 'refused', 'rejected')
)
"""The kinds of lines that say what its caller was told."""

_EARLY_MS: typing.Final = 50
"""How long before its deadline a caller that leaves has given up, in ms.

What passes between caller and instance at a deadline is less.
"""

_UNSENT: typing.Final = 'it was never sent to a target'


class Fact(typing.NamedTuple):
    """One decision on a request; ``at_s`` is wall time in s."""

    kind: str
    field_by_name: dict[str, str]
    at_s: float

    def get(self, name: str) -> str:
        """Return a field, or '' where it was not told."""
        return self.field_by_name.get(name, '')

    def span_ms(self, name: str) -> float:
        """Return a field in ms, 0 where it was not told."""
        try:
            return float(self.get(name))
        except ValueError:
            return 0


def name(facts: typing.Sequence[Fact]) -> str:
    """Return the cause of the end that ``facts``, in order, tell of."""
    if all(fact.kind == 'attempt-failed' for fact in facts):
        return UNTOLD
    left = _last(facts, 'caller-left')
    if left is not None:
        return _left(facts, left)
    end = ending_of(facts)
    if end.kind == 'rejected':
        return f'rejected as {end.get("reason")}: {end.get("detail")}'
    if end.kind == 'refused':
        return _refused(facts, end)
    if end.kind == 'answered':
        return _answered(facts, end)
    if end.kind == 'answered-by-peer':
        return _answered_by_peer(facts, end)
    return f'it has not ended by the last line; {_by_attempts(facts)}'


def opening_of(facts: typing.Sequence[Fact]) -> Fact:
    """Return the decision that a request begins with."""
    return next((fact for fact in facts if fact.kind in _OPENS), facts[0])


def ending_of(facts: typing.Sequence[Fact]) -> Fact:
    """Return the decision that a request ended by, or its last so far."""
    for fact in reversed(facts):
        if fact.kind in _ENDS:
            return fact
    return facts[-1]


def _left(facts: typing.Sequence[Fact], left: Fact) -> str:
    told = f'the caller left after {left.get("after_ms")} ms'
    where = left.get('where')
    if where:
        return f'{told}, while {_DOING_BY_WHERE.get(where, where)}'
    if _last(facts, 'sent') is None:
        return f'{told}; {_waiting(facts)}{_by_attempts(facts)}'
    early = ''
    if left_early(facts):
        left_ms = opening_of(facts).get('left_ms')
        early = f'; it had {left_ms} ms, and gave up before'
    return f'{told}; {_by_attempts(facts)}{_why_only_one(facts)}{early}'


def left_early(facts: typing.Sequence[Fact]) -> bool:
    """Return whether a caller left well before the time that it stated."""
    left = _last(facts, 'caller-left')
    if left is None:
        return False
    left_ms = opening_of(facts).span_ms('left_ms')
    return left.span_ms('after_ms') < left_ms - _EARLY_MS


def _waiting(facts: typing.Sequence[Fact]) -> str:
    """Return what a call that was never sent still waited for."""
    if _last(facts, 'queued') is not None:
        return f'{_queued(facts)}; '
    sampled = _last(facts, 'sampled')
    if sampled is None:
        return ''
    return f'reports of {sampled.get("compared")} were awaited; '


def _refused(facts: typing.Sequence[Fact], end: Fact) -> str:
    reason = end.get('reason')
    explain = _EXPLAIN_BY_REASON.get(reason, _by_attempts)
    again = end.get('retry_after_ms')
    hint = f'; it may come back after {again} ms' if again else ''
    ran = {
        'not-run': 'it has not run',
        'unknown': 'it may have run',
    }.get(end.get('outcome'), '')
    held = opening_of(facts).get('held_ms')
    start = f', {held} ms of them until its instance was ready' if held else ''
    after = f'{end.get("after_ms")} ms{start}'
    told = f'refused as {reason} after {after}, {ran}{hint}'
    return f'{told}: {explain(facts)}{_why_not_again(facts, end)}'


def _why_not_again(facts: typing.Sequence[Fact], end: Fact) -> str:
    """Return why no further target was tried, '' where that is plain."""
    call = opening_of(facts)
    if not end.get('reason').startswith('target-') or not end.get('sends'):
        return ''
    if end.get('sends') == call.get('most_sends'):
        return f'; its route allows {end.get("sends")} targets'
    if call.get('runs') == 'once' and end.get('outcome') == 'unknown':
        return '; not sent again, as its route runs once'
    if end.span_ms('repeats_left') < 1:
        left = end.get('repeats_left')
        return f'; not sent again, as the retry budget had {left} left'
    return '; not sent again, as no other target could be named'


def _answered(facts: typing.Sequence[Fact], end: Fact) -> str:
    ended = _last(facts, 'attempt-ended')
    target = ended.get('target') if ended else 'a target'
    if end.span_ms('status') >= outcomes.MIN_ERROR_STATUS:
        status = end.get('status')
        chosen = f' ({_chosen_by(facts, ended)})' if ended else ''
        return (
            f'target {target} itself answered {status}{chosen};'
            f' {_by_attempts(facts)}'
        )
    late = end.get('late_ms')
    if not late:
        return f'answered in time by {target}; {_by_attempts(facts)}'
    return f'answered {late} ms later than aimed: {_slowest(facts, end)}'


def _answered_by_peer(facts: typing.Sequence[Fact], end: Fact) -> str:
    replied = _last(facts, 'peer-replied') or end
    late = ', late' if end.get('late_ms') else ''
    return (
        f'answered by way of {replied.get("peer")} after'
        f' {end.span_ms("after_ms"):.1f} ms{late}:'
        ' its instance reached no target'
    )


def _slowest(facts: typing.Sequence[Fact], end: Fact) -> str:
    began_s = opening_of(facts).at_s
    sent = _last(facts, 'sent')
    first = next((fact for fact in facts if fact.kind == 'sent'), None)
    if first is None or sent is None:
        return _UNSENT
    before_ms = (first.at_s - began_s) * 1000  # noqa: WPS432 (ms in a second)
    longest = max(
        (fact for fact in facts if fact.kind == 'attempt-ended'),
        key=lambda fact: fact.span_ms('took_ms'),
        default=sent,
    )
    if before_ms > longest.span_ms('took_ms'):
        return f'it waited {before_ms:.0f} ms before it was sent'
    return (
        f'{longest.get("target")} took {longest.get("took_ms")} ms'
        f' ({_chosen_by(facts, longest)}); {before_ms:.0f} ms went before'
        f' the first attempt{_why_only_one(facts)}'
    )


def _by_attempts(facts: typing.Sequence[Fact]) -> str:
    sent = [fact for fact in facts if fact.kind == 'sent']
    if not sent:
        return f'{_UNSENT}; {_known(facts)}'
    return '; '.join(_attempt(facts, fact) for fact in sent)


def _attempt(facts: typing.Sequence[Fact], sent: Fact) -> str:
    number = sent.get('attempt')
    told = f'attempt {number} ({sent.get("why")}) at {sent.get("target")}'
    for fact in facts:
        if fact.get('attempt') != number or fact.kind == 'sent':
            continue
        if fact.kind == 'attempt-ended':
            verdict = ' '.join((fact.get('verdict'), fact.get('status')))
            took = fact.get('took_ms')
            why = _why_failed(facts, number)
            return f'{told} was {verdict.strip()} after {took} ms{why}'
        if fact.kind == 'cancelled':
            return f'{told} was given up after {fact.get("took_ms")} ms'
    return f'{told} was still at work ({_chosen_by(facts, sent)})'


def _why_failed(facts: typing.Sequence[Fact], number: str) -> str:
    """Return what went wrong on the connection of an attempt, if it did."""
    for fact in facts:
        if fact.kind == 'attempt-failed' and fact.get('attempt') == number:
            return f' ({fact.get("cause")})'
    return ''


def _chosen_by(facts: typing.Sequence[Fact], attempt: Fact) -> str:
    for fact in facts:
        same = fact.get('attempt') == attempt.get('attempt')
        if fact.kind != 'sent' or not same:
            continue
        if fact.get('report'):
            age = fact.get('report_age_ms')
            return f'chosen on report {fact.get("report")}, {age} ms old'
    return 'chosen without a report'


def _known(facts: typing.Sequence[Fact]) -> str:
    call = opening_of(facts)
    targets = call.get('targets') or '0'
    return (
        f'{targets} targets were known by registry {call.get("registry")}'
        f' and configuration {call.get("configuration")}'
    )


def _no_route(facts: typing.Sequence[Fact]) -> str:
    call = opening_of(facts)
    return (
        f'configuration {call.get("configuration")} has no route for'
        f' {call.get("host")}{call.get("path")}'
    )


def _stopping(facts: typing.Sequence[Fact]) -> str:
    return 'its instance was at a planned stop, and no longer in any answer'


def _overloaded(facts: typing.Sequence[Fact]) -> str:
    if _last(facts, 'queued') is None:
        waiting = ending_of(facts).get('waiting')
        full = f'{waiting} others waited already; ' if waiting else ''
        return f'{full}{_by_attempts(facts)}'
    return f'{_queued(facts)}; {_by_attempts(facts)}'


def _not_admitted(facts: typing.Sequence[Fact]) -> str:
    return (
        'capacity of its service was short, and its rank was admitted in part'
    )


def _queued(facts: typing.Sequence[Fact]) -> str:
    """Return how long a call waited for room, and why it got none."""
    queued = _last(facts, 'queued') or opening_of(facts)
    end = ending_of(facts)
    waited_s = end.at_s - queued.at_s
    why = _others(queued)
    sampled = _last(facts, 'sampled')
    compared = (sampled or queued).get('compared')
    if compared:
        why = f'none of {compared} had room'
    return f'it waited {waited_s:.3f} s at the entry, as {why}{_room(end)}'


def _others(queued: Fact) -> str:
    """Return who waited for its service when a call came."""
    others = queued.get('others')
    by_rank = queued.get('others_by_rank')
    if not by_rank:
        return 'others waited for its service already'
    pairs = by_rank.split(',')
    ranks = ', '.join(
        '{1} of rank {0}'.format(*pair.split(':')) for pair in pairs
    )
    return (
        f'{others} others waited for its service already'
        f' ({ranks}; its own is {queued.get("rank")})'
    )


def _room(end: Fact) -> str:
    """Return what room was known at the end of a wait."""
    if not end.get('with_room'):
        return ''
    return (
        f'; at its end {end.get("with_room")} of {end.get("targets")} targets'
        f' had room, {end.get("slow_of_them")} of them on slow machines,'
        f' {end.get("barred")} were barred, and {end.get("waiting")} others'
        f' waited{_limited(end)}'
    )


def _limited(end: Fact) -> str:
    """Return how many targets a rate limit kept from a call, if any."""
    limited = end.get('limited')
    if not limited:
        return ''
    return (
        f'; the rate limits of {limited} targets allowed no call from its'
        ' instance'
    )


def _no_target(facts: typing.Sequence[Fact]) -> str:
    end = ending_of(facts)
    return f'{_by_attempts(facts)}{_limited(end)}{_evacuated(end)}'


def _evacuated(end: Fact) -> str:
    """Return how many targets an evacuation kept from a call, if any."""
    evacuated = end.get('evacuated')
    if not evacuated:
        return ''
    return f'; {evacuated} targets are in evacuated data centres'


def _out_of_time(facts: typing.Sequence[Fact]) -> str:
    call = opening_of(facts)
    bound = 'the deadline of its caller'
    if call.span_ms('due_in_ms') < call.span_ms('left_ms'):
        bound = f'the timeout of route {call.get("route")}'
    told = f'{bound} was {call.get("due_in_ms")} ms; {_by_attempts(facts)}'
    return f'{told}{_why_only_one(facts)}'


def _why_only_one(facts: typing.Sequence[Fact]) -> str:
    """Return what kept a slow call from a second target."""
    call = opening_of(facts)
    end = ending_of(facts)
    if sum(fact.kind == 'sent' for fact in facts) != 1:
        return ''
    if call.get('runs') == 'once':
        return '; no second attempt, as its route runs once'
    if call.get('most_sends') == '1':
        return '; its route allows no second target'
    why = _WHY_BY_HEDGE.get(end.get('hedge'))
    if why:
        looks = end.get('hedge_looks')
        return f'; no second attempt, as {why} (looked for {looks} times)'
    if end.span_ms('repeats_left') < 1:
        left = end.get('repeats_left')
        return f'; no second attempt, as the retry budget had {left} left'
    return '; it ended before a second attempt was due'


def _last(facts: typing.Sequence[Fact], kind: str) -> Fact | None:
    for fact in reversed(facts):
        if fact.kind == kind:
            return fact
    return None


_Explain: typing.TypeAlias = typing.Callable[[typing.Sequence[Fact]], str]

_EXPLAIN_BY_REASON: typing.Final[dict[str, _Explain]] = {
    'no-route': _no_route,
    'no-target': _no_target,
    'unconfirmed': _known,
    'configuration-refused': _known,
    'overloaded': _overloaded,
    'not-admitted': _not_admitted,
    'timeout': _out_of_time,
    'stopping': _stopping,
}
_DOING_BY_WHERE: typing.Final[dict[str, str]] = {
    'in-body': 'its body was read',
    'at-start': 'its instance did not know the routes yet',
}
_WHY_BY_HEDGE: typing.Final[dict[str, str]] = {
    'no-quiet-target': 'no other target was quiet',
    'hedge-limit': 'hedge_limit_share allowed no further hedge',
    'shed': 'targets had shed calls just before',
    'no-budget': 'the retry budget had no part left for it',
    'room-short': 'calls had found no room just before',
    'reports-awaited': 'reports of other targets were awaited',
    'too-late': 'it could not have answered in time any more',
}
