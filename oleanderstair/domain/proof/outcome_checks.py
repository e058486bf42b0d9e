"""The guaranteed outcomes of calls and the checks of them over a record."""

import typing

from oleanderstair.domain.proof import (
    call_checks,
    fleet_checks,
    record,
    violations,
)

CHECK_BY_RULE: typing.Final[dict[violations.Rule, violations.Check]] = {
    violations.Rule.NOT_RUN_IS_TRUE: call_checks.check_not_run,
    violations.Rule.AT_MOST_ONCE: call_checks.check_at_most_once,
    violations.Rule.ONE_OWN_ANSWER: call_checks.check_answers,
    violations.Rule.LEAVING_STOPS_WORK: fleet_checks.check_leaving,
    violations.Rule.STOP_CUTS_NOTHING: call_checks.check_stop,
    violations.Rule.NOTES_ADVANCE: fleet_checks.check_notes,
    violations.Rule.PROBES_IN_BUDGET: fleet_checks.check_probes,
}


def check_all(history: record.Record) -> list[violations.Violation]:
    """Return the violations of all rules in a record."""
    return [
        violation
        for check in CHECK_BY_RULE.values()
        for violation in check(history)
    ]
