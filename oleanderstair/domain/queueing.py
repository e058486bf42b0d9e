"""The entry queue: calls that wait for a slot, by service."""

from oleanderstair import clock
from oleanderstair.domain import world


def push(state: world.World, service: str, call_id: int) -> bool:
    """Queue a call; return False where the queue is full."""
    queue = state.calls.queue_by_service.setdefault(service, [])
    if len(queue) >= state.policy.queue_limit:
        return False
    queue.append(call_id)
    return True


def expired(state: world.World, now_ms: clock.Millis) -> list[int]:
    """Remove and return the queued calls whose deadline has passed."""
    gone = []
    for service, queue in state.calls.queue_by_service.items():
        late = [
            call_id
            for call_id in queue
            if state.calls.call_by_id[call_id].received.deadline_ms <= now_ms
        ]
        if late:
            gone.extend(late)
            state.calls.queue_by_service[service] = [
                call_id for call_id in queue if call_id not in late
            ]
    return gone
