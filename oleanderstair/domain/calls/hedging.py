"""Hedges slow idempotent calls of release note services, within a budget.

The hedge uses a new connection to another target. The idle connections to
the slow target are closed, since they may be dead.
"""

import collections
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.calls import dispatching, queueing, token_buckets
from oleanderstair.domain.targets import choice_policies
from oleanderstair.domain.tables import calls, services, targets

_HEDGE_LATENCY_RATIO: typing.Final = 1.2
"""The age at which a call is hedged, as a multiple of the high latency."""

_OVERDUE_LATENCY_RATIO: typing.Final = 2
"""The age of an overdue attempt, as a multiple of the high latency."""

_MIN_ANSWERS: typing.Final = 20
"""The minimum number of answers to rely on the high latency of a service.

The high latency is an upper percentile.
"""

_MIN_HEDGE_WIN_SHARE: typing.Final = 0.25
"""The share of hedges that must be answered first for more to be sent."""

_TRIAL_INTERVAL_MS: typing.Final = 3000
"""The interval of the hedges that are sent while too few are answered first."""


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Hedge slow calls and count the overdue attempts of each target."""
    overdue_counts: collections.Counter[str] = collections.Counter()
    slow_calls: list[calls.Call] = []
    for call in state.calls.call_by_id.values():
        load = services.load_of(state.services, call.received.service)
        if load.answered_count < _MIN_ANSWERS:
            continue
        for attempt in call.attempts:
            age_ms = now_ms - attempt.started_at_ms
            if age_ms > _OVERDUE_LATENCY_RATIO * load.high_latency_ms:
                overdue_counts[attempt.target_id] += 1
        if _is_hedge_due(call, load, now_ms):
            slow_calls.append(call)
    _store_overdue_counts(state, overdue_counts)
    done: list[actions.Action] = []
    for slow_call in slow_calls:
        done.extend(_dispatch_hedge(state, slow_call, now_ms))
    return done


def _is_hedge_due(
    call: calls.Call,
    load: services.ServiceLoad,
    now_ms: clock.Millis,
) -> bool:
    if not call.idempotent or call.caller_left or call.was_hedged:
        return False
    if call.quarantined or len(call.attempts) != 1:
        return False
    age_ms = now_ms - call.attempts[0].started_at_ms
    if now_ms + load.median_latency_ms > call.received.deadline_ms:
        return False
    return age_ms > _HEDGE_LATENCY_RATIO * load.high_latency_ms


def _store_overdue_counts(
    state: world.World,
    overdue_counts: typing.Mapping[str, int],
) -> None:
    table = state.targets
    for target_id in table.overdue_ids:
        condition = targets.condition_of(table, target_id)
        targets.put_condition(table, condition._replace(overdue=0))
    for target_id, count in overdue_counts.items():
        condition = targets.condition_of(table, target_id)
        targets.put_condition(table, condition._replace(overdue=count))
    table.overdue_ids = tuple(overdue_counts)


def _dispatch_hedge(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    service = call.received.service
    load = services.load_of(state.services, service)
    if queueing.queue_length(state, service) or not _may_hedge(load, now_ms):
        return []
    target_id = choice_policies.choose_target(state, call, now_ms)
    if target_id is None:
        return []
    if not token_buckets.take_token(
        state.budgets.hedge_bucket_by_service, service, now_ms
    ):
        return []
    services.put_load(state.services, load._replace(hedged_at_ms=now_ms))
    slow_id = call.attempts[0].target_id
    sent = dispatching.dispatch_to_target(
        state,
        call._replace(was_hedged=True),
        target_id,
        now_ms,
    )
    return [
        actions.CloseIdle(slow_id),
        sent._replace(fresh=True),
        actions.Count('hedges', service),
    ]


def _may_hedge(load: services.ServiceLoad, now_ms: clock.Millis) -> bool:
    """Return whether another hedge of a service is useful.

    True if recent hedges were often answered first. If the calls of a service
    are slow at every target, a hedge only doubles the work. Then one is still
    sent per ``_TRIAL_INTERVAL_MS``, to notice when hedges are useful again.
    """
    if load.hedge_win_share >= _MIN_HEDGE_WIN_SHARE:
        return True
    return now_ms - load.hedged_at_ms > _TRIAL_INTERVAL_MS
