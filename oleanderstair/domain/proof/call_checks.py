"""Outcome checks over calls: their runs, answers and refusals."""

import collections
import typing

from oleanderstair.domain import actions, events, outcomes
from oleanderstair.domain.proof import evidence, record, violations

ANSWER_GRACE_MS: typing.Final = 1000
"""How long after its deadline a call may still be answered."""

_NOT_RUN_VERDICTS: typing.Final = frozenset(
    (events.Verdict.SHED, events.Verdict.NOT_SENT),
)


def check_not_run(history: record.Record) -> list[violations.Violation]:
    """Find calls that were refused as not-run but ran or may still run."""
    ran_by_key = {run.key: run for run in history.runs if run.key}
    ran_by_call = {(run.instance, run.call_id): run for run in history.runs}
    possibly_run = {
        (dispatched.instance, dispatched.action.call_id)
        for dispatched in history.dispatches
        if _may_have_run(history, dispatched)
    }
    found = []
    for answer in history.answers:
        if not _is_not_run(answer.action):
            continue
        call_ref = (answer.instance, answer.action.call_id)
        run = ran_by_call.get(call_ref) or ran_by_key.get(
            _key_of(history, call_ref)
        )
        if run is not None:
            found.append(
                violations.make_violation(
                    violations.Rule.NOT_RUN_IS_TRUE, answer, str(run)
                )
            )
        elif call_ref in possibly_run:
            found.append(
                violations.make_violation(
                    violations.Rule.NOT_RUN_IS_TRUE,
                    answer,
                    'an attempt may run',
                ),
            )
    return found


def check_at_most_once(history: record.Record) -> list[violations.Violation]:
    """Find non-idempotent calls that ran more than once.

    Also find attempts that began after one that may have run. Calls with the
    same key count as one call.
    """
    first_by_call: dict[object, object] = {}
    found = []
    for run in history.runs:
        call_ref = (run.instance, run.call_id)
        if _is_idempotent(history, call_ref):
            continue
        identity = run.key or call_ref
        first = first_by_call.setdefault(identity, run)
        if first is not run:
            found.append(
                violations.Violation(
                    violations.Rule.AT_MOST_ONCE,
                    run.at_ms,
                    run.instance,
                    f'{first} and {run}',
                ),
            )
    return [*found, *_check_attempts(history)]


def check_answers(history: record.Record) -> list[violations.Violation]:
    """Find calls with no answer, several answers or that of another call."""
    answers_by_call: dict[evidence.CallRef, list[evidence.TimedAction]] = (
        collections.defaultdict(list)
    )
    found = []
    for answer in history.answers:
        call_ref = (answer.instance, answer.action.call_id)
        answers_by_call[call_ref].append(answer)
        fault = _answer_fault(history, answer)
        if len(answers_by_call[call_ref]) > 1:
            fault = 'a second answer'
        if fault:
            found.append(
                violations.make_violation(
                    violations.Rule.ONE_OWN_ANSWER, answer, fault
                ),
            )
    missing = [
        violations.Violation(
            violations.Rule.ONE_OWN_ANSWER,
            receipt.at_ms,
            receipt.instance,
            f'no answer to {receipt.received}',
        )
        for call_ref, receipt in history.receipt_by_call.items()
        if call_ref not in answers_by_call
        and _is_answer_due(history, call_ref, receipt)
    ]
    return [*found, *missing]


def check_stop(history: record.Record) -> list[violations.Violation]:
    """Find calls that were lost or refused because of a planned stop."""
    answered = {
        (answer.instance, answer.action.call_id): answer
        for answer in history.answers
    }
    found = []
    for call_ref, receipt in history.receipt_by_call.items():
        stopped_ms = history.stop_at_ms_by_instance.get(receipt.instance)
        if stopped_ms is None or receipt.at_ms > stopped_ms:
            continue
        answer = answered.get(call_ref)
        refused = answer and _is_stop_refusal(answer.action)
        cut_off = (
            answer is None
            and receipt.instance in history.exit_at_ms_by_instance
        )
        if refused or (cut_off and call_ref not in history.abandoned_calls):
            found.append(
                violations.Violation(
                    violations.Rule.STOP_CUTS_NOTHING,
                    stopped_ms,
                    receipt.instance,
                    f'{receipt.received} got {answer}',
                ),
            )
    return found


def _may_have_run(
    history: record.Record, dispatched: evidence.TimedAction
) -> bool:
    """Return whether an attempt ran or may still run at its target."""
    attempt_ref = (dispatched.instance, dispatched.action.attempt_id)
    ending = history.ending_by_attempt.get(attempt_ref)
    return ending is None or ending.verdict not in _NOT_RUN_VERDICTS


def _is_not_run(action: evidence.Answer) -> bool:
    return (
        isinstance(action, actions.Refuse)
        and action.outcome is outcomes.Outcome.NOT_RUN
    )


def _is_stop_refusal(action: evidence.Answer) -> bool:
    return (
        isinstance(action, actions.Refuse)
        and action.reason is outcomes.Reason.STOPPING
    )


def _key_of(history: record.Record, call_ref: evidence.CallRef) -> str:
    """Return the key of a non-idempotent call, an empty string if none."""
    receipt = history.receipt_by_call.get(call_ref)
    if receipt is None or receipt.idempotent:
        return ''
    return receipt.received.key


def _is_idempotent(history: record.Record, call_ref: evidence.CallRef) -> bool:
    receipt = history.receipt_by_call.get(call_ref)
    return receipt is not None and receipt.idempotent


def _check_attempts(history: record.Record) -> list[violations.Violation]:
    """Find attempts of non-idempotent calls after one that may have run."""
    found = []
    possibly_run: dict[object, evidence.TimedAction] = {}
    for dispatched in history.dispatches:
        call_ref = (dispatched.instance, dispatched.action.call_id)
        if _is_idempotent(history, call_ref):
            continue
        if not _may_have_run(history, dispatched):
            continue
        identity = _key_of(history, call_ref) or call_ref
        first = possibly_run.setdefault(identity, dispatched)
        if first is not dispatched:
            found.append(
                violations.make_violation(
                    violations.Rule.AT_MOST_ONCE, dispatched, f'after {first}'
                ),
            )
    return found


def _is_answer_due(
    history: record.Record,
    call_ref: evidence.CallRef,
    receipt: evidence.Receipt,
) -> bool:
    """Return whether a call must have been answered by the record's end.

    False if its caller left, or if its instance has crashed or exited.
    """
    if call_ref in history.abandoned_calls or not violations.is_running(
        history, receipt.instance
    ):
        return False
    due_ms = receipt.received.deadline_ms + ANSWER_GRACE_MS
    return due_ms <= history.ended_at_ms


def _answer_fault(history: record.Record, answer: evidence.TimedAction) -> str:
    """Return why an answer is wrong, an empty string if it is right."""
    call_ref = (answer.instance, answer.action.call_id)
    if call_ref not in history.receipt_by_call:
        return 'no such call was received'
    match answer.action:
        case actions.Relay():
            return _relay_fault(history, answer)
        case actions.RelayHome():
            reply = history.home_reply_by_call.get(call_ref)
            if reply is None or reply.outcome is not outcomes.Outcome.RAN:
                return 'the home instance did not send this answer'
        case actions.RelayRecorded():
            source = (answer.instance, answer.action.source_call_id)
            key = _key_of(history, call_ref)
            if not key or key != _key_of(history, source):
                return 'the recorded answer belongs to another key'
    return ''


def _relay_fault(history: record.Record, answer: evidence.TimedAction) -> str:
    """Return why a relayed answer is wrong, an empty string if it is right."""
    attempt_ref = (answer.instance, answer.action.attempt_id)
    ending = history.ending_by_attempt.get(attempt_ref)
    if ending is None or ending.call_id != answer.action.call_id:
        return 'the answer belongs to another call'
    if ending.verdict is not events.Verdict.ANSWERED:
        return 'the answer is not complete'
    return ''
