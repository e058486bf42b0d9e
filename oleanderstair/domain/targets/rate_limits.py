"""Keeps the calls to a target within the rate limit that it names.

A target in need names in its answers how many requests per second it accepts
from all instances together. The limit is broadcast to all instances, and a few
of them divide it: those that are assigned to the target's service, in the
target's data centre if possible. All instances compute the same senders, so no
messages are needed to divide the limit. Each sender has a token bucket; all
other instances send the target nothing.

The limit ends when the target's answers no longer name it, or
``LIMIT_KEPT_MS`` after an answer last showed it.
"""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain import (
    actions,
    events,
    messages,
    rendezvous,
    world,
)
from oleanderstair.domain.fleet import broadcast, host_assignment
from oleanderstair.domain.tables import budgets, calls, rate_limits, registry
from oleanderstair.domain.targets import permit_buckets

MIN_UNNAMED_ANSWERS: typing.Final = 2
"""The number of successful answers in a row without a limit that end it."""

MIN_BROADCAST_INTERVAL_MS: typing.Final[clock.Millis] = 5000
MAX_BROADCAST_INTERVAL_MS: typing.Final[clock.Millis] = 60_000
"""How often a limit is broadcast again while answers name it.

It reaches instances that have started, or that missed an earlier message.
"""

BROADCAST_SPACING_MS: typing.Final[clock.Millis] = 50
"""The interval for each known limit, so that many of them are broadcast less
often."""

LIMIT_KEPT_MS: typing.Final[clock.Millis] = 120_000
"""How long a limit holds after an answer last showed it."""

MAX_RATE_PER_S: typing.Final = 1e9
"""A higher limit in a message is invalid."""

BURST_S: typing.Final = 0.25
"""The seconds of its rate that a sender may save up, if that is over 1 call."""


def limit_of(
    state: world.World, target_id: str
) -> rate_limits.RateLimit | None:
    """Return the rate limit of a target's registered incarnation, or None."""
    limit = _row_of(state, target_id)
    return None if limit is None or limit.is_over else limit


def permit_wait_ms(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> clock.Millis:
    """Return the ms until this instance may send a target a call.

    Return 0 if it may now, and infinity if other instances divide the limit.
    """
    limit = _limit_in_force(state, target_id, now_ms)
    if limit is None:
        return 0
    rate_per_s = _own_rate_per_s(state, limit)
    tokens = _refill(state, limit, rate_per_s, now_ms)
    return permit_buckets.wait_ms(tokens, rate_per_s)


def count_send(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> None:
    """Take a token for a call that is sent to a target, if it is limited."""
    limit = _limit_in_force(state, target_id, now_ms)
    if limit is None:
        return
    tokens = _refill(state, limit, _own_rate_per_s(state, limit), now_ms)
    state.rate_limits.bucket_by_id[target_id] = budgets.TokenBucket(
        tokens - 1, now_ms
    )


def on_target_told(
    state: world.World,
    event: events.TargetTold,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Record the rate limit that a target names in an answer.

    It is broadcast unless that was done recently. A limit named by another
    incarnation of the target is ignored.
    """
    if event.limit_per_s is None:
        return []
    limit = rate_limits.RateLimit(
        event.target_id, event.born_ms, event.limit_per_s, now_ms
    )
    if not _is_registered(state, limit):
        return []
    known = _row_of(state, limit.target_id)
    told_at_ms = known.told_at_ms if known else clock.NEVER_MS
    audits = _store(state, limit._replace(told_at_ms=told_at_ms), 'answer')
    is_told = now_ms - told_at_ms < _broadcast_interval_ms(state)
    if is_told and not audits:
        return []
    return [*audits, *_broadcast(state, limit.target_id, now_ms)]


def record_answer(
    state: world.World,
    ended: calls.Attempt,
    event: events.AttemptEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """End the rate limit of a target whose answers no longer name it.

    Only successful answers to attempts that were sent after the limit was
    last shown count.
    """
    limit = limit_of(state, ended.target_id)
    if limit is None or ended.started_at_ms <= limit.known_at_ms:
        return []
    if not events.is_success(event):
        return []
    unnamed_count = limit.unnamed_count + 1
    if unnamed_count < MIN_UNNAMED_ANSWERS:
        state.rate_limits.limit_by_id[limit.target_id] = limit._replace(
            unnamed_count=unnamed_count
        )
        return []
    over = limit._replace(is_over=True, known_at_ms=now_ms)
    return [
        *_store(state, over, 'answer'),
        *_broadcast(state, limit.target_id, now_ms),
    ]


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Record a limit, or its end, that a peer reports, and pass it on.

    A report that is older than what is known is not recorded.
    """
    message = event.message
    if not isinstance(message, messages.TargetLimited):
        return []
    if not _is_valid(message):
        return [actions.Count('invalid-messages', 'TargetLimited')]
    limit = rate_limits.RateLimit(
        message.target_id,
        message.born_ms,
        message.per_s,
        known_at_ms=now_ms - message.age_ms,
        is_over=message.is_over,
        told_at_ms=now_ms,
    )
    known = _row_of(state, limit.target_id)
    is_newer = known is None or limit.known_at_ms > known.known_at_ms
    audits: list[actions.Action] = []
    if is_newer and _is_registered(state, limit):
        audits = _store(state, limit, f'peer {event.sender}')
    return [*audits, *broadcast.forward_message(state, event.sender, message)]


def _row_of(state: world.World, target_id: str) -> rate_limits.RateLimit | None:
    """Return what is known of a limit of the registered incarnation."""
    limit = state.rate_limits.limit_by_id.get(target_id)
    if limit is None or not _is_registered(state, limit):
        return None
    return limit


def _is_registered(state: world.World, limit: rate_limits.RateLimit) -> bool:
    """Return whether a limit is of the registered incarnation of a target."""
    entry = state.registry.entry_by_id.get(limit.target_id)
    return entry is not None and entry.born_ms == limit.born_ms


def _is_valid(message: messages.TargetLimited) -> bool:
    """Return whether a message has a finite rate and age."""
    has_valid_rate = 0 <= message.per_s < MAX_RATE_PER_S
    return has_valid_rate and 0 <= message.age_ms < math.inf


def _limit_in_force(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> rate_limits.RateLimit | None:
    limit = limit_of(state, target_id)
    if limit is None or now_ms - limit.known_at_ms > LIMIT_KEPT_MS:
        return None
    return limit


def _store(
    state: world.World,
    limit: rate_limits.RateLimit,
    source: str,
) -> list[actions.Action]:
    """Store a limit or its end; return an audit entry if one begins or ends."""
    table = state.rate_limits
    was_limited = limit_of(state, limit.target_id) is not None
    table.limit_by_id[limit.target_id] = limit
    if was_limited != limit.is_over:
        return []
    why = 'no longer limited'
    if not limit.is_over:
        _drop_unregistered(state)
        why = f'limited to {limit.per_s:g} requests per s'
        table.bucket_by_id[limit.target_id] = budgets.TokenBucket(
            0, limit.known_at_ms
        )
    return [actions.Audit('target', limit.target_id, source, why)]


def _drop_unregistered(state: world.World) -> None:
    """Drop the limits of targets that are no longer registered."""
    table = state.rate_limits
    for target_id in tuple(table.limit_by_id):
        if _row_of(state, target_id) is None:
            table.limit_by_id.pop(target_id)
            table.bucket_by_id.pop(target_id, None)


def _broadcast(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send what is known of a target's limit to all instances."""
    limit = state.rate_limits.limit_by_id[target_id]
    state.rate_limits.limit_by_id[target_id] = limit._replace(told_at_ms=now_ms)
    message = messages.TargetLimited(
        target_id,
        limit.born_ms,
        limit.per_s,
        now_ms - limit.known_at_ms,
        limit.is_over,
    )
    return broadcast.broadcast_message(state, message)


def _broadcast_interval_ms(state: world.World) -> clock.Millis:
    """Return after which time a limit is broadcast again."""
    spaced_ms = BROADCAST_SPACING_MS * len(state.rate_limits.limit_by_id)
    return min(
        max(spaced_ms, MIN_BROADCAST_INTERVAL_MS), MAX_BROADCAST_INTERVAL_MS
    )


def _own_rate_per_s(state: world.World, limit: rate_limits.RateLimit) -> float:
    """Return this instance's part of a limit; 0 if it is not a sender.

    There are as many senders as calls per second, so that the first calls
    of all senders together stay small beside the limit.
    """
    entry = state.registry.entry_by_id[limit.target_id]
    rate_per_s = max(limit.per_s, permit_buckets.MIN_RATE_PER_S)
    sender_ids = rendezvous.top_members(
        _candidate_ids(state, entry),
        limit.target_id,
        max(int(rate_per_s), 1),
    )
    if state.identity.instance_id not in sender_ids:
        return 0
    return rate_per_s / len(sender_ids)


def _candidate_ids(
    state: world.World, entry: registry.Entry
) -> tuple[str, ...]:
    """Return the instances that get calls for a target, sorted by id.

    These are the instances assigned to its service: those of its data
    centre, or else those of all others. If there is none, it is this one.
    """
    return (
        host_assignment.instance_ids_for_service(
            state, entry.service, entry.data_centre
        )
        or host_assignment.remote_instance_ids_for_service(
            state, entry.service, entry.data_centre
        )
        or (state.identity.instance_id,)
    )


def _refill(
    state: world.World,
    limit: rate_limits.RateLimit,
    rate_per_s: float,
    now_ms: clock.Millis,
) -> float:
    """Return the tokens that this instance has for a target."""
    return permit_buckets.tokens_at(
        state.rate_limits.bucket_by_id[limit.target_id],
        rate_per_s,
        max(rate_per_s * BURST_S, 1),
        now_ms,
    )
