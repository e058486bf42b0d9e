"""Outcome checks over leaving targets, release notes and probe budgets."""

import collections
import typing

from oleanderstair import clock
from oleanderstair.domain import actions
from oleanderstair.domain.proof import evidence, record, violations

LEAVING_BOUND_MS: typing.Final = 2000
"""How long after a report a leaving target may still get calls."""

NOTE_BOUND_MS: typing.Final = 20_000
"""How long an instance may take to adopt a note that others have adopted."""

_SECOND_MS: typing.Final = 1000


def check_leaving(history: record.Record) -> list[violations.Violation]:
    """Find calls sent to a target known to be leaving for more than 2 s."""
    reports_by_target: dict[str, list[evidence.LeavingReport]] = (
        collections.defaultdict(list)
    )
    for report in history.leaving_reports:
        reports_by_target[report.target_id].append(report)
    found = []
    for dispatched in history.dispatches:
        target_id = dispatched.action.target_id
        leaving_report = _find_known_leaving(
            history,
            dispatched,
            reports_by_target[target_id],
        )
        if leaving_report is not None:
            found.append(
                violations.make_violation(
                    violations.Rule.LEAVING_STOPS_WORK,
                    dispatched,
                    str(leaving_report),
                ),
            )
    return found


def check_notes(history: record.Record) -> list[violations.Violation]:
    """Find notes that were reverted, changed or adopted too late.

    A note is changed if its content differs under the same number.
    """
    found = []
    previous_by_instance: dict[str, evidence.AdoptedNote] = {}
    for note in history.adopted_notes:
        previous = previous_by_instance.get(note.instance)
        previous_by_instance[note.instance] = note
        if previous is not None and note.number <= previous.number:
            found.append(
                violations.Violation(
                    violations.Rule.NOTES_ADVANCE,
                    note.at_ms,
                    note.instance,
                    f'{previous} was replaced by {note}',
                ),
            )
    for dispatched in history.dispatches:
        found.extend(
            _find_missed_notes(history, dispatched.instance, dispatched.at_ms),
        )
    for instance, started_ms in history.start_at_ms_by_instance.items():
        waited_ms = history.ended_at_ms - started_ms
        if waited_ms > NOTE_BOUND_MS and violations.is_running(
            history, instance
        ):
            found.extend(
                _find_missed_notes(history, instance, history.ended_at_ms)
            )
    return found


def check_probes(history: record.Record) -> list[violations.Violation]:
    """Find probes that exceed the budget of their service in a second."""
    recent_by_service: dict[str, collections.deque[evidence.TimedProbe]] = (
        collections.defaultdict(collections.deque)
    )
    found = []
    for probe in history.probes:
        recent = recent_by_service[probe.service]
        recent.append(probe)
        while recent[0].at_ms <= probe.at_ms - _SECOND_MS:
            recent.popleft()
        reads = len(recent) * actions.READS_PER_PROBE
        if reads > probe.budget_per_s:
            found.append(
                violations.Violation(
                    violations.Rule.PROBES_IN_BUDGET,
                    probe.at_ms,
                    probe.instance,
                    f'{reads} reads of {probe.service} in a second,'
                    f' {probe.budget_per_s} allowed',
                ),
            )
    return found


def _find_known_leaving(
    history: record.Record,
    dispatched: evidence.TimedAction,
    reports: list[evidence.LeavingReport],
) -> evidence.LeavingReport | None:
    """Return the report by which the sender must know of the leaving.

    Return None if the target is not leaving, or if no report of it could
    reach the sender in time.
    """
    earlier = [report for report in reports if report.at_ms < dispatched.at_ms]
    bound_ms = dispatched.at_ms - LEAVING_BOUND_MS
    for report in reversed(earlier):
        if not report.leaving:
            return None
        if report.at_ms < bound_ms and history.can_reach(
            report.instance,
            dispatched.instance,
            bound_ms,
            dispatched.at_ms,
        ):
            return report
    return None


def _find_missed_notes(
    history: record.Record,
    instance: str,
    at_ms: clock.Millis,
) -> list[violations.Violation]:
    """Find newer notes that an instance should have adopted by a time.

    These are notes that other instances had adopted 20 s before, and that
    could reach the instance during that time.
    """
    bound_ms = at_ms - NOTE_BOUND_MS
    own_number = max(
        (
            note.number
            for note in history.adopted_notes
            if note.instance == instance and note.at_ms <= at_ms
        ),
        default=0,
    )
    return [
        violations.Violation(
            violations.Rule.NOTES_ADVANCE,
            at_ms,
            instance,
            f'note {own_number} in force 20 s after {note} became known',
        )
        for note in history.adopted_notes
        if note.number > own_number
        and note.at_ms < bound_ms
        and history.can_reach(note.instance, instance, bound_ms, at_ms)
    ]
