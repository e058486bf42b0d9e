"""The promises, each checked on what callers and targets have seen."""

import math
import typing

from oleanderstair.emulator import load_targets
from soak import bounds, plan, record

NOT_RUN: typing.Final = frozenset((408, 421, 429, 503))
DENIALS: typing.Final = frozenset(range(300, 500)) - NOT_RUN
SERVED: typing.Final = 200
MISSING: typing.Final = 404
CUT: typing.Final = 'cut'
GAVE_UP: typing.Final = 'gave-up'
NEVER_S: typing.Final = math.inf

_RECENT_CALLS: typing.Final = 8
_LINKS: typing.Final = ('callers', 'store', 'peers')


class Finding(typing.NamedTuple):
    """A broken promise and what shows it.

    One that rests on a bound of time names the time, in s, in which a
    stall of the machine would explain it as well.
    """

    promise: str
    evidence: str
    from_s: float = NEVER_S
    until_s: float = -NEVER_S


Findings: typing.TypeAlias = typing.Iterator[Finding]


class Verdict(typing.NamedTuple):
    """What was broken, and what may have been but can't be judged."""

    violations: tuple[Finding, ...]
    unjudged: tuple[Finding, ...]


def judge(seen: record.Record) -> Verdict:
    """Return what all checks find, parted by whether it can be judged."""
    found = [one for check in CHECKS for one in check(seen)]
    unjudged = [
        one
        for one in found
        if record.touches(seen.stalls, {'soak'}, one.from_s, one.until_s)
    ]
    violations = [one for one in found if one not in unjudged]
    return Verdict(tuple(violations), tuple(unjudged))


def refused_calls_never_run(seen: record.Record) -> Findings:
    """Find calls that were refused as not run, and that a target ran."""
    runs_by_id = seen.runs_by_id()
    for call in seen.calls:
        runs = runs_by_id.get(call.request_id)
        if runs and call.status in NOT_RUN:
            yield Finding('refused-ran', f'{_told(call)}: {_targets(runs)}')


def once_calls_run_once(seen: record.Record) -> Findings:
    """Find calls that may run once, and that ran more often."""
    runs_by_id = seen.runs_by_id()
    for call in seen.calls:
        runs = runs_by_id.get(call.request_id, ())
        if call.once and len(runs) > 1:
            yield Finding('ran-twice', f'{_told(call)}: {_targets(runs)}')


def answers_belong(seen: record.Record) -> Findings:
    """Find answers that are incomplete or another call's."""
    for call in seen.calls:
        request_id = call.request_id.encode()
        is_whole = call.body == load_targets.body_of(request_id, call.fill)
        is_own = call.signed and call.answered_id == call.request_id
        if call.status == SERVED and not (is_whole and is_own):
            got = f'got {call.body[:60]!r} of {call.answered_id!r}'
            yield Finding('mixed', f'{_told(call)} {got}')


def runs_are_as_sent(seen: record.Record) -> Findings:
    """Find runs that no caller asked for, or not so."""
    for run in seen.runs:
        ran = record.Sent(run.method, run.path, run.body)
        if seen.sent_by_id.get(run.request_id) != ran:
            what = f'{run.request_id} ran as {run.method} {run.path}'
            yield Finding('altered', f'{what} at {run.target}')


def allowed_calls_are_not_denied(seen: record.Record) -> Findings:
    """Find calls denied though every configuration allows them."""
    for call in seen.calls:
        if call.status in DENIALS and not call.version:
            yield Finding('denied', _told(call))


def planned_work_cuts_nothing(seen: record.Record) -> Findings:
    """Find calls cut where nothing but planned work struck.

    Stricter than the rule: one cut is enough, also apart from planned work.
    """
    runs_by_id = seen.runs_by_id()
    for call in seen.calls:
        runs = runs_by_id.get(call.request_id, [])
        if call.end != CUT or _is_excused(seen, call, runs):
            continue
        if runs:
            told = f'{_told(call)} after it had run: {_targets(runs)}'
            yield Finding('cut', told, *_stop_span(seen, call))
        elif _may_be_read(seen, call):
            told = f'{_told(call)} after it was read'
            yield Finding('cut', told, call.sent_s, call.ended_s)


def work_is_not_replaced(seen: record.Record) -> Findings:
    """Find calls ended without the answer that a target had or worked on.

    An instance has answered on its own, or not at all. Stricter than the
    rule: it holds also apart from a stop.
    """
    runs_by_id = seen.runs_by_id()
    for call in seen.calls:
        is_own = bool(call.status) and not call.signed
        runs = [
            run
            for run in runs_by_id.get(call.request_id, ())
            if _would_answer(run, call)
        ]
        if runs and is_own and not _is_excused(seen, call, runs):
            told = f'{_told(call)} in place of {_targets(runs)}'
            yield Finding('replaced', told, *_stop_span(seen, call))
        elif runs and call.end == GAVE_UP and not _is_harmed(seen, call, runs):
            told = f'{_told(call)} without what was made: {_targets(runs)}'
            yield Finding('replaced', told, call.sent_s, call.ended_s)


def leaving_targets_get_nothing_new(seen: record.Record) -> Findings:
    """Find calls that reach a target long after its leaving was known."""
    call_by_id = {call.request_id: call for call in seen.calls}
    for run in seen.runs:
        call = call_by_id.get(run.request_id)
        left_s = _left_s(seen, run)
        if call is None or left_s == NEVER_S:
            continue
        if record.touches(
            seen.harmed, {plan.STORE_PLACE}, left_s, left_s + bounds.LEAVE_S
        ):
            # The store may have lost what the target wrote.
            continue
        if _is_in_touch(seen, call, f'target:{run.target}'):
            late = f'{run.target} after {run.at_s - left_s:.2f} s'
            told = f'{_told(call)} reached {late}'
            yield Finding('leaving', told, left_s, run.at_s)


def evacuated_targets_get_nothing_new(seen: record.Record) -> Findings:
    """Find calls that reach a target long after its evacuation was requested.

    The store must not have been away at the begin of the evacuation. A restore
    from a copy later on excuses nothing.
    """
    call_by_id = {call.request_id: call for call in seen.calls}
    for run in seen.runs:
        call = call_by_id.get(run.request_id)
        from_s = _evacuated_s(seen, run)
        due_s = from_s + bounds.EVACUATE_S
        if call is None or from_s == NEVER_S:
            continue
        if record.touches(seen.harmed, {plan.STORE_PLACE}, from_s, due_s):
            continue
        if _is_in_touch(seen, call, f'target:{run.target}'):
            late = f'{run.target} after {run.at_s - from_s:.2f} s'
            told = f'{_told(call)} reached {late}'
            yield Finding('evacuated', told, from_s, run.at_s)


def limits_are_kept(seen: record.Record) -> Findings:
    """Find targets that were sent more calls than they accept.

    Calls by instances that something struck just before don't count.
    """
    call_by_id = {call.request_id: call for call in seen.calls}
    for span in seen.limited:
        if record.touches(
            seen.leaving, {span.where}, span.from_s, span.until_s
        ):
            # It comes back as another incarnation.
            continue
        sent_s = [
            run.at_s
            for run in _limited_runs(seen, span)
            if run.request_id in call_by_id
            and _is_in_touch(
                seen, call_by_id[run.request_id], f'target:{run.target}'
            )
        ]
        yield from _above_limit(seen, span.where, sent_s)


def _limited_runs(seen: record.Record, span: record.Span) -> list[record.Run]:
    """Return the runs at a target since its limit has to be kept."""
    due_s = span.from_s + bounds.STABLE_S
    return [
        run
        for run in seen.runs
        if run.target == span.where and due_s < run.at_s < span.until_s
    ]


def _above_limit(
    seen: record.Record, target: str, sent_s: list[float]
) -> Findings:
    """Find the first window in which a target was sent too many calls.

    What arrives during a stall of the soak is seen after it, so a stall makes
    a window longer.
    """
    for from_s in sorted(sent_s):
        until_s = from_s + bounds.LIMIT_WINDOW_S
        count = sum(from_s <= at_s < until_s for at_s in sent_s)
        span_s = bounds.LIMIT_WINDOW_S + _stalled_s(seen, from_s, until_s)
        allowed = bounds.LIMIT_FACTOR * bounds.LIMIT_PER_S * span_s
        if count > allowed + bounds.LIMIT_SLACK:
            told = f'{target} got {count} calls from {from_s:.2f} s on'
            yield Finding('limit', told)
            return


def cold_targets_are_spared(seen: record.Record) -> Findings:
    """Find cold targets that were sent more calls than they tolerate.

    No instance is excused, whatever has struck it.
    """
    for span in seen.cold:
        ran_s = [
            run.at_s
            for run in seen.runs
            if run.target == span.where
            and span.from_s <= run.at_s < span.until_s
        ]
        for from_s in sorted(ran_s):
            count = sum(from_s <= at_s < from_s + 1 for at_s in ran_s)
            span_s = 1 + _stalled_s(seen, from_s, from_s + 1)
            allowed = bounds.COLD_FACTOR * bounds.COLD_PER_S * span_s
            if count > allowed + bounds.COLD_SLACK:
                told = f'{span.where} got {count} calls from {from_s:.2f} s on'
                yield Finding('cold', told)
                break


def _stalled_s(seen: record.Record, from_s: float, until_s: float) -> float:
    """Return how long the soak stalled in a time, by which it seems shorter."""
    return sum(
        stall.until_s - stall.from_s
        for stall in seen.stalls
        if stall.from_s <= until_s and stall.until_s >= from_s
    )


def configurations_are_in_force(seen: record.Record) -> Findings:
    """Find calls handled by an older configuration long after a newer."""
    known_s_by_version = dict(seen.published)
    for call in _version_calls(seen):
        late_s = call.sent_s - known_s_by_version[call.version]
        is_late = late_s > bounds.CONFIGURATION_S
        if (
            call.status == MISSING
            and is_late
            and _is_in_touch(seen, call, plan.STORE_PLACE)
        ):
            told = f'{_told(call)} after {late_s:.2f} s'
            calm_s = call.sent_s - bounds.STABLE_S
            yield Finding('not-in-force', told, calm_s, call.ended_s)


def configurations_never_revert(seen: record.Record) -> Findings:
    """Find calls handled by an older configuration than was in force."""
    first_s_by_key: dict[tuple[str, int, int], float] = {}
    calls = [call for call in _version_calls(seen) if len(set(call.lives)) == 1]
    for call in sorted(calls, key=_ended_s):
        key = (call.instance, call.lives[0], call.version)
        if call.status == SERVED:
            first_s_by_key.setdefault(key, call.ended_s)
        shown_s = first_s_by_key.get(key, NEVER_S) + bounds.REVERT_S
        if call.status == MISSING and call.sent_s > shown_s:
            yield Finding('reverted', f'{_told(call)} though served before')


def instances_go_on(seen: record.Record) -> Findings:
    """Find instances that have ended though nobody ended them."""
    for instance in seen.ended_alone:
        yield Finding('ended', instance)


def calls_are_served_again(seen: record.Record) -> Findings:
    """Find instances that don't serve, or too late, after all faults."""
    for instance in seen.instances:
        late_s = recovered_s(seen, instance) - seen.quiet_from_s
        if late_s == NEVER_S:
            yield Finding('not-recovered', f'{instance} never')
        elif late_s > bounds.RECOVER_S:
            told = f'{instance} after {late_s:.2f} s'
            due_s = seen.quiet_from_s + late_s
            yield Finding('not-recovered', told, seen.quiet_from_s, due_s)


def recovered_s(seen: record.Record, instance: str) -> float:
    """Return when an instance served again after the last fault."""
    served: list[bool] = []
    for call in seen.calls:
        if call.instance == instance and call.sent_s > seen.quiet_from_s:
            served.append(call.status == SERVED)
            is_enough = len(served) >= _RECENT_CALLS
            share = sum(served[-_RECENT_CALLS:]) / _RECENT_CALLS
            if is_enough and share >= bounds.RECOVERED_SHARE:
                return call.ended_s
    return NEVER_S


CHECKS: typing.Final = (
    refused_calls_never_run,
    once_calls_run_once,
    answers_belong,
    runs_are_as_sent,
    allowed_calls_are_not_denied,
    planned_work_cuts_nothing,
    work_is_not_replaced,
    leaving_targets_get_nothing_new,
    evacuated_targets_get_nothing_new,
    limits_are_kept,
    cold_targets_are_spared,
    configurations_are_in_force,
    configurations_never_revert,
    instances_go_on,
    calls_are_served_again,
)


def _told(call: record.Call) -> str:
    habit = f', {call.habit}' if call.habit else ''
    pause = f', paused {call.pause_ms} ms' if call.pause_ms else ''
    return (
        f'{call.request_id} ({call.route}, {call.instance}, {call.status} '
        f'{call.end}, {call.sent_s:.2f} to {call.ended_s:.2f} s{habit}{pause})'
    )


def _targets(runs: typing.Iterable[record.Run]) -> str:
    return ' '.join(
        f'{run.target} at {run.at_s:.2f} to {run.ended_s:.2f} s ({run.end})'
        for run in runs
    )


def _ended_s(call: record.Call) -> float:
    return call.ended_s


def _version_calls(seen: record.Record) -> list[record.Call]:
    """Return calls on a version's own route while none newer was sent."""
    pairs = zip(seen.published, seen.published[1:], strict=False)
    newer_s = {one[0]: later[1] for one, later in pairs}
    return [
        call
        for call in seen.calls
        if call.version and call.ended_s < newer_s.get(call.version, NEVER_S)
    ]


def _may_be_read(seen: record.Record, call: record.Call) -> bool:
    """Return whether a process had the time to read a call."""
    is_down = record.touches(
        seen.down,
        {call.instance},
        call.sent_s,
        call.sent_s,
    )
    whole_s = max(call.sent_s, call.whole_s)
    return not is_down and call.ended_s - whole_s > bounds.LOSS_S


def _would_answer(run: record.Run, call: record.Call) -> bool:
    """Return whether a run had or would have had an answer for its call.

    Where the caller has given up, only what was made well before counts.
    """
    if call.end == GAVE_UP:
        early_s = call.due_s - run.ended_s
        return run.end == record.ANSWERED and early_s > bounds.LOSS_S
    at_work = run.ended_s > call.ended_s - bounds.LOSS_S
    return run.end != record.BROKE_OFF and (
        at_work or run.end == record.ANSWERED
    )


def _is_excused(
    seen: record.Record, call: record.Call, runs: list[record.Run]
) -> bool:
    """Return whether a call may end without its target's answer."""
    broke_off = any(run.end == record.BROKE_OFF for run in runs)
    is_late = call.ended_s >= call.due_s
    return (
        broke_off
        or is_late
        or _is_harmed(seen, call, runs)
        or _outlasts_stop(seen, call, runs)
    )


def _outlasts_stop(
    seen: record.Record, call: record.Call, runs: list[record.Run]
) -> bool:
    """Return whether a target was at work in the last part of a stop."""
    return any(
        stop.where == call.instance
        and call.sent_s <= stop.from_s + bounds.STOP_SENT_S
        and run.at_s <= stop.from_s + bounds.STOP_S
        and run.ended_s >= stop.from_s + bounds.STOP_WORK_S
        and call.ended_s >= stop.from_s + bounds.STOP_WORK_S
        for stop in seen.planned
        for run in runs
    )


def _stop_span(seen: record.Record, call: record.Call) -> tuple[float, float]:
    """Return the time of a stop that was too long for the call to end."""
    for span in seen.late_stops:
        until_s = span.until_s + bounds.LOSS_S
        if span.where == call.instance and call.ended_s <= until_s:
            return span.from_s, until_s
    return NEVER_S, -NEVER_S


def _left_s(seen: record.Record, run: record.Run) -> float:
    """Return when the leaving that a run is too late for was known."""
    for span in seen.leaving:
        due_s = span.from_s + bounds.LEAVE_S
        if span.where == run.target and due_s < run.at_s < span.until_s:
            return span.from_s
    return NEVER_S


def _evacuated_s(seen: record.Record, run: record.Run) -> float:
    """Return when the evacuation that a run is too late for was requested."""
    for span in seen.evacuated:
        due_s = span.from_s + bounds.EVACUATE_S
        if (
            span.where == plan.DATA_CENTRE_BY_TARGET[run.target]
            and due_s < run.at_s < span.until_s
        ):
            return span.from_s
    return NEVER_S


def _is_in_touch(seen: record.Record, call: record.Call, *also: str) -> bool:
    """Return whether nothing struck a call's instance, or its links."""
    spans = (*seen.harmed, *seen.planned)
    wheres = {*_places_of(call.instance), *also}
    calm_s = call.sent_s - bounds.STABLE_S
    return not record.touches(spans, wheres, calm_s, call.ended_s)


def _is_harmed(
    seen: record.Record, call: record.Call, runs: list[record.Run]
) -> bool:
    """Return whether anything unplanned may have cut a call.

    Trouble of the store excuses nothing. Of the targets only those that ran
    the call count, if any did.
    """
    wheres = _places_of(call.instance)
    wheres.remove(f'store:{call.instance}')
    ran_by = {run.target for run in runs} or plan.TARGETS
    wheres.update(f'target:{target}' for target in ran_by)
    calm_s = call.sent_s - bounds.STABLE_S
    return record.touches(seen.harmed, wheres, calm_s, call.ended_s)


def _places_of(instance: str) -> set[str]:
    return {instance, *(f'{link}:{instance}' for link in _LINKS)}
