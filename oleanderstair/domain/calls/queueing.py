"""Queues calls that wait for a free slot, by service and class.

Each class may fill only its share of the queue, so that deferrable calls are
refused first under overload. Within a class the order is first in, first out.
Once the queue has not been empty for ``_OVERLOADED_AFTER_MS`` it becomes last
in, first out: the oldest calls would all be answered late.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import calls, catalogue, services

_OVERLOADED_AFTER_MS: typing.Final = 100

_MIN_LENGTH_LIMIT: typing.Final = 4
"""The length limit of a queue is at least this, however slow the service."""

_MAX_WAIT_SHARE: typing.Final = 0.15
"""The length limit is what is served within this share of a call's budget."""

_MAX_OVERLOADED_WAIT_SHARE: typing.Final = 0.35
"""The share of its budget that a call may wait in an overloaded queue."""

_INITIAL_LATENCY_MS: typing.Final = 10
"""The assumed mean latency of a service before the first answer."""
_FILL_SHARE_BY_CLASS: typing.Final = {
    catalogue.CallClass.INTERACTIVE: 1.0,
    catalogue.CallClass.ORDINARY: 0.5,
    catalogue.CallClass.DEFERRABLE: 0.2,
}


class PushResult(typing.NamedTuple):
    """Whether a call was queued, and which queued call it replaced."""

    queued: bool
    evicted_id: int | None = None


def push_call(
    state: world.World, call: calls.Call, now_ms: clock.Millis
) -> PushResult:
    """Queue a new call unless its class fills its share of the queue.

    An interactive call then replaces the oldest call of the lowest class.
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
    waiting = queue.queued_ids_by_class[call.call_class]
    if is_overloaded(state, service, now_ms):
        waiting.append(call.call_id)
    else:
        waiting.appendleft(call.call_id)
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

    It is once it has not been empty for ``_OVERLOADED_AFTER_MS``.
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
    """Remove the queued calls that can't be served in time; return their ids.

    While the queue is overloaded, these include calls that have waited longer
    than a share of their time budget: the caller can still use the rest of
    it at another instance.
    """
    expired = []
    for service, queue in state.calls.queue_by_service.items():
        if not queue.length:
            continue
        load = services.load_of(state.services, service)
        latest_ms = now_ms + load.median_latency_ms
        max_wait_share = 1.0
        if is_overloaded(state, service, now_ms):
            max_wait_share = _MAX_OVERLOADED_WAIT_SHARE
        for waiting in queue.queued_ids_by_class.values():
            late = _late_ids(state, waiting, latest_ms, max_wait_share)
            expired.extend(late)
            for call_id in late:
                waiting.remove(call_id)
            queue.length -= len(late)
    return expired


def _late_ids(
    state: world.World,
    waiting: typing.Iterable[int],
    latest_ms: clock.Millis,
    max_wait_share: float,
) -> list[int]:
    late = []
    for call_id in waiting:
        call = state.calls.call_by_id.get(call_id)
        if call is None:
            continue
        deadline_ms = call.received.deadline_ms
        budget_ms = deadline_ms - call.received_at_ms
        bound_ms = call.received_at_ms + max_wait_share * budget_ms
        if latest_ms >= min(deadline_ms, bound_ms):
            late.append(call_id)
    return late


def _length_limit(
    state: world.World,
    load: services.ServiceLoad,
    max_wait_ms: clock.Millis,
) -> int:
    mean_ms = load.mean_latency_ms or _INITIAL_LATENCY_MS
    served = max_wait_ms * max(load.in_flight, 1) / mean_ms
    return min(state.policy.queue_limit, max(int(served), _MIN_LENGTH_LIMIT))


def _evict_oldest(state: world.World, queue: calls.ServiceQueue) -> int | None:
    for call_class in reversed(catalogue.CallClass):
        waiting = queue.queued_ids_by_class[call_class]
        while waiting:
            call_id = waiting.popleft()
            queue.length -= 1
            if call_id in state.calls.call_by_id:
                return call_id
    return None


def _pop_call(
    state: world.World,
    queue: calls.ServiceQueue,
    newest_first: bool,
) -> calls.Call | None:
    for waiting in queue.queued_ids_by_class.values():
        if waiting:
            call_id = waiting.pop() if newest_first else waiting.popleft()
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
