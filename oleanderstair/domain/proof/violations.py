"""What must always hold, and the evidence that it did not."""

import enum
import typing

from oleanderstair import clock
from oleanderstair.domain.proof import evidence, record


class Rule(enum.Enum):
    """What must always hold."""

    NOT_RUN_IS_TRUE = 'a call refused as not-run did not run'
    AT_MOST_ONCE = 'a non-idempotent call runs at most once'
    ONE_OWN_ANSWER = 'every call gets one complete answer, its own'
    LEAVING_STOPS_WORK = 'a leaving target gets no new work after 2 s'
    STOP_CUTS_NOTHING = 'a planned stop cuts off no call'
    NOTES_ADVANCE = 'a note never reverts and is in force within 20 s'
    PROBES_IN_BUDGET = 'probes stay within the budget of the service'


class Violation(typing.NamedTuple):
    """One case in which a rule was broken, with the evidence."""

    rule: Rule
    at_ms: clock.Millis
    instance: str
    evidence: str


class Check(typing.Protocol):
    """Find the violations of one rule."""

    def __call__(self, seen: record.Record) -> list[Violation]:
        """Return what broke the rule, in the order of the record."""


def broken(rule: Rule, acted: evidence.Acted, why: str) -> Violation:
    """Return the violation that an action shows."""
    shown = f'{acted.action}: {why}'
    return Violation(rule, acted.at_ms, acted.instance, shown)


def is_up(seen: record.Record, instance: str) -> bool:
    """Return whether an instance was still running at the end."""
    gone = (seen.death_by_instance, seen.exit_by_instance)
    return not any(instance in known for known in gone)
