"""Names in one sentence why a request ended as it did."""

import typing

UNTOLD: typing.Final = (
    'no line names this request: it was answered in time at the first'
    ' attempt, was merged with others under load, or came to another instance'
)

_FAILED: typing.Final = 500
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
    if not facts:
        return UNTOLD
    left = _last(facts, 'caller-left')
    if left is not None:
        after = left.get('after_ms')
        only = _why_only_one(facts)
        told = _by_attempts(facts)
        return f'the caller left after {after} ms; {told}{only}'
    end = facts[-1]
    if end.kind == 'rejected':
        return f'rejected as {end.get("reason")}: {end.get("detail")}'
    if end.kind == 'refused':
        return _refused(facts, end)
    if end.kind == 'answered':
        return _answered(facts, end)
    return f'it has not ended by the last line; {_by_attempts(facts)}'


def _refused(facts: typing.Sequence[Fact], end: Fact) -> str:
    reason = end.get('reason')
    explain = _EXPLAIN_BY_REASON.get(reason, _by_attempts)
    again = end.get('retry_after_ms')
    hint = f'; it may come back after {again} ms' if again else ''
    ran = {
        'not-run': 'it has not run',
        'unknown': 'it may have run',
    }.get(end.get('outcome'), '')
    told = f'refused as {reason} after {end.get("after_ms")} ms, {ran}{hint}'
    return f'{told}: {explain(facts)}{_why_not_again(facts, end)}'


def _why_not_again(facts: typing.Sequence[Fact], end: Fact) -> str:
    """Return why no further target was tried, '' where that is plain."""
    call = facts[0]
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
    if end.span_ms('status') >= _FAILED:
        status = end.get('status')
        return (
            f'target {target} itself answered {status}; {_by_attempts(facts)}'
        )
    late = end.get('late_ms')
    if not late:
        return f'answered in time by {target}; {_by_attempts(facts)}'
    return f'answered {late} ms later than aimed: {_slowest(facts, end)}'


def _slowest(facts: typing.Sequence[Fact], end: Fact) -> str:
    began_s = facts[0].at_s
    sent = _last(facts, 'sent')
    first = next((fact for fact in facts if fact.kind == 'sent'), None)
    if first is None or sent is None:
        return _UNSENT
    before_ms = (first.at_s - began_s) * 1000  # noqa: WPS432 (ms in a second)
    longest = max(
        (fact for fact in facts if fact.kind == 'attempt-ended'),
        key=lambda fact: fact.span_ms('took_ms'),
    )
    if before_ms > longest.span_ms('took_ms'):
        return f'it waited {before_ms:.0f} ms before it was sent'
    return (
        f'{longest.get("target")} took {longest.get("took_ms")} ms'
        f' ({_chosen_by(facts, longest)}); {before_ms:.0f} ms went before'
        ' the first attempt'
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
            return f'{told} was {verdict.strip()} after {took} ms'
        if fact.kind == 'cancelled':
            return f'{told} was given up after {fact.get("took_ms")} ms'
    return f'{told} was still at work ({_chosen_by(facts, sent)})'


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
    call = facts[0]
    targets = call.get('targets') or '0'
    return (
        f'{targets} targets were known by registry {call.get("registry")}'
        f' and configuration {call.get("configuration")}'
    )


def _no_route(facts: typing.Sequence[Fact]) -> str:
    call = facts[0]
    return (
        f'configuration {call.get("configuration")} has no route for'
        f' {call.get("host")}{call.get("path")}'
    )


def _stopping(facts: typing.Sequence[Fact]) -> str:
    return 'its instance was at a planned stop, and no longer in any answer'


def _overloaded(facts: typing.Sequence[Fact]) -> str:
    queued = _last(facts, 'queued')
    if queued is None:
        return _by_attempts(facts)
    waited_s = facts[-1].at_s - queued.at_s
    why = 'others waited for its service already'
    sampled = _last(facts, 'sampled')
    if sampled is not None:
        why = f'none of {sampled.get("compared")} had room'
    told = f'it waited {waited_s:.3f} s at the entry, as {why}'
    return f'{told}; {_by_attempts(facts)}'


def _out_of_time(facts: typing.Sequence[Fact]) -> str:
    call = facts[0]
    bound = 'the deadline of its caller'
    if call.span_ms('due_in_ms') < call.span_ms('left_ms'):
        bound = f'the timeout of route {call.get("route")}'
    told = f'{bound} was {call.get("due_in_ms")} ms; {_by_attempts(facts)}'
    return f'{told}{_why_only_one(facts)}'


def _why_only_one(facts: typing.Sequence[Fact]) -> str:
    """Return what kept a slow call from a second target, where one might."""
    call = facts[0]
    end = facts[-1]
    if call.get('runs') != 'again' or end.get('sends') != '1':
        return ''
    if call.get('most_sends') == '1':
        return '; its route allows no second target'
    if end.span_ms('repeats_left') < 1:
        left = end.get('repeats_left')
        return f'; no second attempt, as the retry budget had {left} left'
    return ''


def _last(facts: typing.Sequence[Fact], kind: str) -> Fact | None:
    for fact in reversed(facts):
        if fact.kind == kind:
            return fact
    return None


_Explain: typing.TypeAlias = typing.Callable[[typing.Sequence[Fact]], str]

_EXPLAIN_BY_REASON: typing.Final[dict[str, _Explain]] = {
    'no-route': _no_route,
    'unconfirmed': _known,
    'overloaded': _overloaded,
    'timeout': _out_of_time,
    'stopping': _stopping,
}
