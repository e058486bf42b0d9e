"""The rules that must always hold, and their violations."""

import enum
import typing

from oleanderstair import clock
from oleanderstair.domain.proof import evidence, record


class Rule(enum.Enum):
    """A guaranteed outcome; its value is printed in reports."""

    NOT_RUN_IS_TRUE = 'a call refused as not-run did not run'
    AT_MOST_ONCE = 'a non-idempotent call runs at most once'
    ONE_OWN_ANSWER = 'every call gets one complete answer, its own'
    LEAVING_STOPS_WORK = 'a leaving target gets no new work after 2 s'
    STOP_CUTS_NOTHING = 'a planned stop cuts off no call'
    NOTES_ADVANCE = 'a note never reverts and is in force within 20 s'
    PROBES_IN_BUDGET = 'probes stay within the budget of the service'


class Violation(typing.NamedTuple):
    """A violation of a rule and the evidence for it."""

    rule: Rule
    at_ms: clock.Millis
    instance: str
    evidence: str


class Check(typing.Protocol):
    """A function that finds the violations of one rule."""

    def __call__(self, history: record.Record) -> list[Violation]:
        """Return the violations of the rule in a record."""


def make_violation(
    rule: Rule, timed: evidence.TimedAction, why: str
) -> Violation:
    """Create the violation of a rule by an action."""
    description = f'{timed.action}: {why}'
    return Violation(rule, timed.at_ms, timed.instance, description)


def is_running(history: record.Record, instance: str) -> bool:
    """Return whether an instance neither crashed nor exited in the record."""
    ended = (history.crash_at_ms_by_instance, history.exit_at_ms_by_instance)
    return not any(instance in known for known in ended)
