"""Replays a trace through the decision code and judges its outcomes."""

import random
import typing

from oleanderstair.domain import balancer, policy, world
from oleanderstair.domain.proof import (
    outcome_checks,
    record,
    traces,
    violations,
)


class Verdict(typing.NamedTuple):
    """The outcome of one rule over a trace."""

    rule: violations.Rule
    broken: tuple[violations.Violation, ...]


class Replay(typing.NamedTuple):
    """What a replay shows.

    ``differs_at`` is the number of the first event at which this release
    decided otherwise than the one that recorded the trace; 0 for none.
    """

    verdicts: tuple[Verdict, ...]
    steps: int
    calls: int
    answers: int
    differs_at: int

    @property
    def held(self) -> bool:
        """Return whether every outcome held."""
        return not any(verdict.broken for verdict in self.verdicts)


def replay(trace: traces.Trace) -> Replay:
    """Step a fresh world through the events of a trace."""
    header = trace.header
    rng = random.Random(header.seed)
    state = world.create(header.identity, policy.Policy(**header.limits), rng)
    seen = record.create()
    differs_at = 0
    for number, traced in enumerate(trace.events, start=1):
        done = balancer.step(state, traced.event, traced.at_ms)
        seen.on_step(state, traced.event, done, traced.at_ms)
        if not differs_at and traces.digest(done) != traced.decided:
            differs_at = number
    return Replay(
        verdicts=tuple(
            Verdict(rule, tuple(check(seen)))
            for rule, check in outcome_checks.CHECK_BY_RULE.items()
        ),
        steps=len(trace.events),
        calls=len(seen.receipt_by_call),
        answers=len(seen.answers),
        differs_at=differs_at,
    )
