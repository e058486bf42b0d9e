"""Records the rate limits that targets name in their answers.

A target in need names the requests per second that it accepts from all
instances together. The limit holds for as long as its answers name it.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.tables import calls, rate_limits

MIN_UNNAMED_ANSWERS: typing.Final = 2
"""The number of successful answers in a row without a limit that end it."""


def limit_of(
    state: world.World, target_id: str
) -> rate_limits.RateLimit | None:
    """Return the rate limit of a target's registered incarnation, or None."""
    limit = state.rate_limits.limit_by_id.get(target_id)
    entry = state.registry.entry_by_id.get(target_id)
    if limit is None or entry is None or entry.born_ms != limit.born_ms:
        return None
    return limit


def on_target_told(
    state: world.World,
    event: events.TargetTold,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Record the rate limit that a target names in an answer.

    A limit named by another incarnation of the target is ignored.
    """
    entry = state.registry.entry_by_id.get(event.target_id)
    if event.limit_per_s is None:
        return []
    if entry is None or entry.born_ms != event.born_ms:
        return []
    known = limit_of(state, event.target_id)
    state.rate_limits.limit_by_id[event.target_id] = rate_limits.RateLimit(
        event.target_id, event.born_ms, event.limit_per_s, now_ms
    )
    if known is not None:
        return []
    why = f'limited to {event.limit_per_s:g} requests per s'
    return [actions.Audit('target', event.target_id, 'answer', why)]


def record_answer(
    state: world.World,
    ended: calls.Attempt,
    event: events.AttemptEnded,
) -> list[actions.Action]:
    """End the rate limit of a target whose answers no longer name it.

    Only successful answers to attempts that were sent after the limit was
    last named count.
    """
    limit = limit_of(state, ended.target_id)
    if limit is None or ended.started_at_ms <= limit.named_at_ms:
        return []
    if (
        event.verdict is not events.Verdict.ANSWERED
        or event.status >= outcomes.MIN_ERROR_STATUS
    ):
        return []
    unnamed_count = limit.unnamed_count + 1
    if unnamed_count < MIN_UNNAMED_ANSWERS:
        state.rate_limits.limit_by_id[limit.target_id] = limit._replace(
            unnamed_count=unnamed_count
        )
        return []
    state.rate_limits.limit_by_id.pop(limit.target_id)
    return [
        actions.Audit('target', limit.target_id, 'answer', 'no longer limited')
    ]
