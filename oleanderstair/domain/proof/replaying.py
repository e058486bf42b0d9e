"""Replays a trace through the decision code and checks its outcomes."""

import random
import typing

from oleanderstair.domain import balancer, policy, world
from oleanderstair.domain.proof import (
    outcome_checks,
    record,
    traces,
    violations,
)


class RuleVerdict(typing.NamedTuple):
    """The violations of one rule in a trace."""

    rule: violations.Rule
    broken: tuple[violations.Violation, ...]


class Replay(typing.NamedTuple):
    """The result of a replay.

    ``steps``, ``calls`` and ``answers`` are the numbers of events, received
    calls and answers to callers. ``differs_at`` is the number of the first
    event on which this release took other actions than the release that
    recorded the trace; 0 if none.
    """

    verdicts: tuple[RuleVerdict, ...]
    steps: int
    calls: int
    answers: int
    differs_at: int

    @property
    def held(self) -> bool:
        """Return whether no rule was violated."""
        return not any(verdict.broken for verdict in self.verdicts)


def replay_trace(trace: traces.Trace) -> Replay:
    """Apply the events of a trace to a new world and check the outcomes."""
    header = trace.header
    rng = random.Random(header.seed)
    state = world.create(header.identity, policy.Policy(**header.limits), rng)
    history = record.create()
    differs_at = 0
    for number, traced in enumerate(trace.events, start=1):
        taken = balancer.step(state, traced.event, traced.at_ms)
        history.record_step(state, traced.event, taken, traced.at_ms)
        if (
            not differs_at
            and traces.digest_actions(taken) != traced.actions_digest
        ):
            differs_at = number
    return Replay(
        verdicts=tuple(
            RuleVerdict(rule, tuple(check(history)))
            for rule, check in outcome_checks.CHECK_BY_RULE.items()
        ),
        steps=len(trace.events),
        calls=len(history.receipt_by_call),
        answers=len(history.answers),
        differs_at=differs_at,
    )
