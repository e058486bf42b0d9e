"""Queues calls that wait for a free slot, by service and class.

A call is queued only while the queue, of all classes together, is shorter than
its class allows, so that deferrable calls are refused first under overload.
Within a class the order is first in, first out. After the queue has been
non-empty for ``_OVERLOADED_AFTER_MS`` it is last in, first out: the oldest
calls would all be answered late.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import calls, catalogue, services

_OVERLOADED_AFTER_MS: typing.Final = 100

_MIN_LENGTH_LIMIT: typing.Final = 4
"""The minimum length limit of a queue, however slow the service is."""

_MAX_WAIT_SHARE: typing.Final = 0.15
"""The share of a call's time budget in which a full queue must be served.

The length limit of the queue follows from it.
"""

_MAX_OVERLOADED_ANSWER_SHARE: typing.Final = 0.35
"""The share of its time budget in which a call must be answered under overload.

Waiting time and median latency together may not exceed it.
"""

_INITIAL_LATENCY_MS: typing.Final = 10
"""The assumed mean latency of a service before the first answer."""

_FILL_SHARE_BY_CLASS: typing.Final = {
    catalogue.CallClass.INTERACTIVE: 1.0,
    catalogue.CallClass.ORDINARY: 0.5,
    catalogue.CallClass.DEFERRABLE: 0.2,
}
"""The share of the length limit up to which calls of a class are queued."""


class PushResult(typing.NamedTuple):
    """Whether a call was queued, and which queued call it replaced."""

    queued: bool
    evicted_id: int | None = None


def push_call(
    state: world.World, call: calls.Call, now_ms: clock.Millis
) -> PushResult:
    """Queue a new call unless the queue is too long for its class.

    If it is, an interactive call evicts the oldest call of the least important
    class that has queued calls, and is queued in its place.
    """
    service = call.received.service
    queue = _queue_of(state, service)
    load = services.load_of(state.services, service)
    budget_ms = call.received.deadline_ms - now_ms
    limit = _length_limit(state, load, budget_ms * _MAX_WAIT_SHARE)
    allowed = max(limit * _FILL_SHARE_BY_CLASS[call.call_class], 1)
    evicted_id = None
    if queue.length >= allowed:
        if call.call_class is not catalogue.CallClass.INTERACTIVE:
            return PushResult(queued=False)
        evicted_id = _evict_oldest(state, queue)
        if evicted_id is None:
            return PushResult(queued=False)
    if not queue.length:
        _set_queued_since(state, service, now_ms)
    queue.queued_ids_by_class[call.call_class].append(call.call_id)
    queue.length += 1
    return PushResult(queued=True, evicted_id=evicted_id)


def put_back_call(
    state: world.World, call: calls.Call, now_ms: clock.Millis
) -> None:
    """Queue a call again so that it is the next of its class to be taken."""
    service = call.received.service
    queue = _queue_of(state, service)
    if not queue.length:
        _set_queued_since(state, service, now_ms)
    queued_ids = queue.queued_ids_by_class[call.call_class]
    if is_overloaded(state, service, now_ms):
        queued_ids.append(call.call_id)
    else:
        queued_ids.appendleft(call.call_id)
    queue.length += 1


def take_next_call(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> calls.Call | None:
    """Remove and return the next call, or return None if none is queued."""
    queue = state.calls.queue_by_service.get(service)
    newest_first = is_overloaded(state, service, now_ms)
    while queue is not None and queue.length:
        call = _pop_call(state, queue, newest_first)
        if call is not None:
            return call
    return None


def is_overloaded(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether the queue of a service is overloaded.

    True if it has been non-empty for more than ``_OVERLOADED_AFTER_MS``.
    """
    queue = state.calls.queue_by_service.get(service)
    if queue is None or not queue.length:
        return False
    load = services.load_of(state.services, service)
    return now_ms - load.queued_since_ms > _OVERLOADED_AFTER_MS


def queue_length(state: world.World, service: str) -> int:
    """Return the number of queued calls of a service."""
    queue = state.calls.queue_by_service.get(service)
    return queue.length if queue else 0


def estimate_wait_ms(state: world.World, service: str) -> clock.Millis:
    """Estimate how long it takes until all queued calls are dispatched."""
    load = services.load_of(state.services, service)
    mean_ms = load.mean_latency_ms or _INITIAL_LATENCY_MS
    return queue_length(state, service) * mean_ms / max(load.in_flight, 1)


def remove_expired(state: world.World, now_ms: clock.Millis) -> list[int]:
    """Remove queued calls that can't be answered in time; return their ids.

    That is, by their deadline. While the queue is overloaded, it is within
    ``_MAX_OVERLOADED_ANSWER_SHARE`` of their time budget: the caller can still
    use the rest of it at another instance.
    """
    expired = []
    for service, queue in state.calls.queue_by_service.items():
        if not queue.length:
            continue
        load = services.load_of(state.services, service)
        answer_at_ms = now_ms + load.median_latency_ms
        max_answer_share = 1.0
        if is_overloaded(state, service, now_ms):
            max_answer_share = _MAX_OVERLOADED_ANSWER_SHARE
        for queued_ids in queue.queued_ids_by_class.values():
            late = _late_ids(state, queued_ids, answer_at_ms, max_answer_share)
            expired.extend(late)
            for call_id in late:
                queued_ids.remove(call_id)
            queue.length -= len(late)
    return expired


def _late_ids(
    state: world.World,
    queued_ids: typing.Iterable[int],
    answer_at_ms: clock.Millis,
    max_answer_share: float,
) -> list[int]:
    """Return the calls that are late if answered at ``answer_at_ms``."""
    late = []
    for call_id in queued_ids:
        call = state.calls.call_by_id.get(call_id)
        if call is None:
            continue
        deadline_ms = call.received.deadline_ms
        budget_ms = deadline_ms - call.received_at_ms
        latest_answer_at_ms = call.received_at_ms + max_answer_share * budget_ms
        if answer_at_ms >= min(deadline_ms, latest_answer_at_ms):
            late.append(call_id)
    return late


def _length_limit(
    state: world.World,
    load: services.ServiceLoad,
    max_wait_ms: clock.Millis,
) -> int:
    """Return the number of queued calls that are served in ``max_wait_ms``.

    It is at least ``_MIN_LENGTH_LIMIT`` and at most ``queue_limit``.
    """
    mean_ms = load.mean_latency_ms or _INITIAL_LATENCY_MS
    servable_count = max_wait_ms * max(load.in_flight, 1) / mean_ms
    return min(
        state.policy.queue_limit, max(int(servable_count), _MIN_LENGTH_LIMIT)
    )


def _evict_oldest(state: world.World, queue: calls.ServiceQueue) -> int | None:
    """Remove the oldest call of the least important class; return its id."""
    for call_class in reversed(catalogue.CallClass):
        queued_ids = queue.queued_ids_by_class[call_class]
        while queued_ids:
            call_id = queued_ids.popleft()
            queue.length -= 1
            if call_id in state.calls.call_by_id:
                return call_id
    return None


def _pop_call(
    state: world.World,
    queue: calls.ServiceQueue,
    newest_first: bool,
) -> calls.Call | None:
    for queued_ids in queue.queued_ids_by_class.values():
        if queued_ids:
            call_id = queued_ids.pop() if newest_first else queued_ids.popleft()
            queue.length -= 1
            return state.calls.call_by_id.get(call_id)
    return None


def _queue_of(state: world.World, service: str) -> calls.ServiceQueue:
    return state.calls.queue_by_service.setdefault(
        service,
        calls.create_queue(),
    )


def _set_queued_since(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> None:
    load = services.load_of(state.services, service)
    services.put_load(state.services, load._replace(queued_since_ms=now_ms))
