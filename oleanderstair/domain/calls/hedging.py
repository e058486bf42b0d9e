"""Sends a second attempt of a slow idempotent call, within a budget.

The second attempt goes out on a new connection to another target, and the
idle connections to the slow target are closed, since they may be silent.
"""

import collections
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.calls import allowances, dispatching, queueing
from oleanderstair.domain.targets import routing
from oleanderstair.domain.tables import calls, services, targets

_HEDGE_LATENCY_RATIO: typing.Final = 1.2
_OVERDUE_LATENCY_RATIO: typing.Final = 2
_MIN_ANSWERS: typing.Final = 20
_MIN_HEDGE_GAIN: typing.Final = 0.25
_TRIAL_INTERVAL_MS: typing.Final = 3000


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Hedge the calls that have waited longer than is usual."""
    overdue: collections.Counter[str] = collections.Counter()
    late: list[calls.Call] = []
    for call in state.calls.call_by_id.values():
        load = services.load_of(state.services, call.received.service)
        if load.answered < _MIN_ANSWERS:
            continue
        for attempt in call.attempts:
            age_ms = now_ms - attempt.started_at_ms
            if age_ms > _OVERDUE_LATENCY_RATIO * load.high_ms:
                overdue[attempt.target_id] += 1
        if _is_hedge_due(call, load, now_ms):
            late.append(call)
    _store_overdue_counts(state, overdue)
    done: list[actions.Action] = []
    for waiting in late:
        done.extend(_dispatch_hedge(state, waiting, now_ms))
    return done


def _is_hedge_due(
    call: calls.Call,
    load: services.ServiceLoad,
    now_ms: clock.Millis,
) -> bool:
    if not call.idempotent or call.caller_left or call.hedged:
        return False
    if call.quarantined or len(call.attempts) != 1:
        return False
    age_ms = now_ms - call.attempts[0].started_at_ms
    if now_ms + load.median_ms > call.received.deadline_ms:
        return False
    return age_ms > _HEDGE_LATENCY_RATIO * load.high_ms


def _store_overdue_counts(
    state: world.World,
    overdue: typing.Mapping[str, int],
) -> None:
    table = state.targets
    for target_id in table.overdue_ids:
        condition = targets.condition_of(table, target_id)
        targets.put_condition(table, condition._replace(overdue=0))
    for found_id, count in overdue.items():
        found = targets.condition_of(table, found_id)
        targets.put_condition(table, found._replace(overdue=count))
    table.overdue_ids = tuple(overdue)


def _dispatch_hedge(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    service = call.received.service
    load = services.load_of(state.services, service)
    if queueing.queue_length(state, service) or not _may_hedge(load, now_ms):
        return []
    target_id = routing.choose(state, call, now_ms)
    if target_id is None:
        return []
    if not allowances.take_token(
        state.budgets.hedges_by_service, service, now_ms
    ):
        return []
    services.put_load(state.services, load._replace(hedged_at_ms=now_ms))
    slow_id = call.attempts[0].target_id
    sent = dispatching.dispatch_to_target(
        state,
        call._replace(hedged=True),
        target_id,
        now_ms,
    )
    return [
        actions.CloseIdle(slow_id),
        sent._replace(fresh=True),
        actions.Count('hedges', service),
    ]


def _may_hedge(load: services.ServiceLoad, now_ms: clock.Millis) -> bool:
    """Return whether hedges come first often enough, or one may be tried.

    Where calls are long by themselves, a hedge only doubles their work.
    """
    if load.hedge_gain >= _MIN_HEDGE_GAIN:
        return True
    return now_ms - load.hedged_at_ms > _TRIAL_INTERVAL_MS
