"""A bound no real policy can pass: one queue that sees every slot."""

import heapq

from bench import traces

_US_PER_MS = 1000
_HOPS_MS = 1.0


def latencies_ms(trace: traces.Trace) -> list[float]:
    """Return the latency of each call behind one central queue, by arrival.

    It knows nothing of classes and faults, drops a call whose deadline it
    can't meet at no cost, and costs no hop besides that to the target.
    """
    free_at_ms = [float() for _ in range(trace.targets * trace.slots)]
    found = []
    for call in trace.calls:
        at_ms = call.at_us / _US_PER_MS
        start_ms = max(at_ms, free_at_ms[0])
        end_ms = start_ms + call.work_us / _US_PER_MS
        latency_ms = end_ms - at_ms + _HOPS_MS
        if latency_ms > trace.deadline_ms:
            found.append(float('inf'))
            continue
        heapq.heapreplace(free_at_ms, end_ms)
        found.append(latency_ms)
    return found
