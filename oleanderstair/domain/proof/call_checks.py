"""Checks what became of each call: runs, answers and refusals."""

import collections
import typing

from oleanderstair.domain import actions, events, outcomes
from oleanderstair.domain.proof import evidence, record, violations

ANSWER_GRACE_MS: typing.Final = 1000
_PROVEN_NOT_RUN: typing.Final = frozenset(
    (events.Verdict.SHED, events.Verdict.NOT_SENT),
)


def check_not_run(seen: record.Record) -> list[violations.Violation]:
    """Find calls that were refused as not-run and ran, early or late."""
    ran_by_key = {run.key: run for run in seen.runs if run.key}
    ran_by_call = {(run.instance, run.call_id): run for run in seen.runs}
    risky = {
        (dispatched.instance, dispatched.action.call_id)
        for dispatched in seen.dispatches
        if _may_have_run(seen, dispatched)
    }
    found = []
    for answer in seen.answers:
        if not _is_not_run(answer.action):
            continue
        place = (answer.instance, answer.action.call_id)
        run = ran_by_call.get(place) or ran_by_key.get(_key_of(seen, place))
        if run is not None:
            found.append(
                violations.broken(
                    violations.Rule.NOT_RUN_IS_TRUE, answer, str(run)
                )
            )
        elif place in risky:
            found.append(
                violations.broken(
                    violations.Rule.NOT_RUN_IS_TRUE,
                    answer,
                    'an attempt may run',
                ),
            )
    return found


def check_at_most_once(seen: record.Record) -> list[violations.Violation]:
    """Find keys, and unkeyed receipts, that ran more than once."""
    first_by_call: dict[object, object] = {}
    found = []
    for run in seen.runs:
        place = (run.instance, run.call_id)
        if _is_idempotent(seen, place):
            continue
        identity = run.key or place
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
    return [*found, *_check_attempts(seen)]


def check_answers(seen: record.Record) -> list[violations.Violation]:
    """Find calls without an answer, with two, or with a foreign one."""
    answers_by_call: dict[evidence.CallAt, list[evidence.Acted]] = (
        collections.defaultdict(list)
    )
    found = []
    for answer in seen.answers:
        place = (answer.instance, answer.action.call_id)
        answers_by_call[place].append(answer)
        wrong = _wrong_answer(seen, answer)
        if len(answers_by_call[place]) > 1:
            wrong = 'a second answer'
        if wrong:
            found.append(
                violations.broken(
                    violations.Rule.ONE_OWN_ANSWER, answer, wrong
                ),
            )
    missing = [
        violations.Violation(
            violations.Rule.ONE_OWN_ANSWER,
            receipt.at_ms,
            receipt.instance,
            f'no answer to {receipt.received}',
        )
        for place, receipt in seen.receipt_by_call.items()
        if place not in answers_by_call and _is_owed(seen, place, receipt)
    ]
    return [*found, *missing]


def check_stop(seen: record.Record) -> list[violations.Violation]:
    """Find calls that a planned stop cut off."""
    answered = {
        (answer.instance, answer.action.call_id): answer
        for answer in seen.answers
    }
    found = []
    for place, receipt in seen.receipt_by_call.items():
        stopped_ms = seen.stop_by_instance.get(receipt.instance)
        if stopped_ms is None or receipt.at_ms > stopped_ms:
            continue
        answer = answered.get(place)
        refused = answer and _is_stop_refusal(answer.action)
        cut_off = answer is None and receipt.instance in seen.exit_by_instance
        if refused or (cut_off and place not in seen.left_calls):
            found.append(
                violations.Violation(
                    violations.Rule.STOP_CUTS_NOTHING,
                    stopped_ms,
                    receipt.instance,
                    f'{receipt.received} got {answer}',
                ),
            )
    return found


def _may_have_run(seen: record.Record, dispatched: evidence.Acted) -> bool:
    place = (dispatched.instance, dispatched.action.attempt_id)
    ending = seen.ending_by_attempt.get(place)
    return ending is None or ending.verdict not in _PROVEN_NOT_RUN


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


def _key_of(seen: record.Record, place: evidence.CallAt) -> str:
    """Return the key that guards a call; empty where none does."""
    receipt = seen.receipt_by_call.get(place)
    if receipt is None or receipt.idempotent:
        return ''
    return receipt.received.key


def _is_idempotent(seen: record.Record, place: evidence.CallAt) -> bool:
    receipt = seen.receipt_by_call.get(place)
    return receipt is not None and receipt.idempotent


def _check_attempts(seen: record.Record) -> list[violations.Violation]:
    """Find attempts that began while an earlier one might have run."""
    found = []
    risky: dict[object, evidence.Acted] = {}
    for dispatched in seen.dispatches:
        place = (dispatched.instance, dispatched.action.call_id)
        if _is_idempotent(seen, place):
            continue
        if not _may_have_run(seen, dispatched):
            continue
        identity = _key_of(seen, place) or place
        first = risky.setdefault(identity, dispatched)
        if first is not dispatched:
            found.append(
                violations.broken(
                    violations.Rule.AT_MOST_ONCE, dispatched, f'after {first}'
                ),
            )
    return found


def _is_owed(
    seen: record.Record,
    place: evidence.CallAt,
    receipt: evidence.Receipt,
) -> bool:
    if place in seen.left_calls or not violations.is_up(seen, receipt.instance):
        return False
    due_ms = receipt.received.deadline_ms + ANSWER_GRACE_MS
    return due_ms <= seen.ended_at_ms


def _wrong_answer(seen: record.Record, answer: evidence.Acted) -> str:
    place = (answer.instance, answer.action.call_id)
    if place not in seen.receipt_by_call:
        return 'nobody asked'
    match answer.action:
        case actions.Relay():
            return _wrong_relay(seen, answer)
        case actions.RelayHome():
            reply = seen.home_reply_by_call.get(place)
            if reply is None or reply.outcome is not outcomes.Outcome.RAN:
                return 'the home has not answered so'
        case actions.RelayRecorded():
            source = (answer.instance, answer.action.source_call_id)
            key = _key_of(seen, place)
            if not key or key != _key_of(seen, source):
                return 'the recorded answer has another key'
    return ''


def _wrong_relay(seen: record.Record, answer: evidence.Acted) -> str:
    place = (answer.instance, answer.action.attempt_id)
    ending = seen.ending_by_attempt.get(place)
    if ending is None or ending.call_id != answer.action.call_id:
        return 'not an answer to this call'
    if ending.verdict is not events.Verdict.ANSWERED:
        return 'not a complete answer'
    return ''
