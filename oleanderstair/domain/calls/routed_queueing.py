"""Queues routed calls at this instance while no target has a free slot.

A call that is queued at a full target can't move to another one any more, and
a target that is too full may never answer. So calls are queued here and sent to
the first target that reports a free slot, unless its machine is so slow that
they would be answered late. Calls that can still meet their latency target go
first, then those of the lower ``rank``. Of equal calls the newest goes first:
it has most of its latency target left, while the oldest calls would all be
answered late. A call that gets no slot soon is refused, early enough that its
caller can retry in time.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.admission import pressure
from oleanderstair.domain.calls import (
    queue_urgency,
    routed_answering,
    routed_dispatching,
    slot_use,
)
from oleanderstair.domain.tables import load_reports, routed
from oleanderstair.domain.targets import (
    availability,
    evacuations,
    expected_latencies,
    locality,
    outlier_detection,
    sampling,
    slot_estimates,
    slow_start_limits,
)

MAX_QUEUED_CALLS: typing.Final = 64
"""How many calls may be queued for one service at an instance."""

MAX_WAIT_SHARE: typing.Final = 0.25
"""How long a call may be queued, as a share of its latency target; see
docs/decisions/crest."""

LATE_MAX_WAIT_SHARE: typing.Final = 0.5
"""How long a call that can't meet its latency target may be queued, as a share
of its time budget: its answer is late anyway, and others need the slots."""

RETRY_AFTER_SHARE: typing.Final = 0.15
"""The retry-after of a refused call, as a share of the median latency: early
enough to meet the latency target, which counts from the first attempt."""

MIN_WAIT_MS: typing.Final[clock.Millis] = 15
"""The minimum time in the queue before a refusal, also on a retry."""

LOAD_READ_INTERVAL_MS: typing.Final[clock.Millis] = 40
"""The mean interval at which loads are read while calls are queued."""

LOAD_READ_TARGETS: typing.Final = 2
"""How many loads are read at a time in this data centre, and how many in all
others together."""

_JITTER_SHARE: typing.Final = 0.5
"""Jitter factors are within 1 minus this and 1 plus this."""


def dispatch_or_queue(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Start to choose a target for a call, or queue it behind others.

    A call that can still meet its latency target is not queued behind calls
    that will miss theirs.
    """
    ahead = _queued_calls(state, call.service)
    if not slot_use.is_expected_late(state, call, now_ms):
        ahead = [
            queued
            for queued in ahead
            if not slot_use.is_expected_late(state, queued, now_ms)
        ]
    if ahead:
        return _queue_call(state, call, now_ms)
    return routed_dispatching.select_and_dispatch(state, call, now_ms)


def on_no_free_slot(
    state: world.World,
    event: events.RoomMissing,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Queue a call for which no target has a free slot.

    If there is no target, or none accepts calls while it may be queued, relay
    an earlier error response or refuse it.
    """
    call = state.routed.call_by_id.get(event.call_id)
    if call is None:
        return []
    held_back = slow_start_limits.count_held_back(state, call.service, now_ms)
    if call.sampled_target_ids:
        return [*held_back, *_queue_call(state, call, now_ms)]
    wait_ms = availability.service_wait_ms(
        state, call.service, now_ms, call.tried_target_ids
    )
    left_ms = _max_queued_until_ms(state, call, now_ms) - now_ms
    if 0 < wait_ms < left_ms:
        return [*held_back, *_queue_call(state, call, now_ms)]
    refusal = routed_answering.relay_failure_or_refuse(
        state,
        call,
        outcomes.Reason.NO_TARGET,
        availability.retry_after_ms(state, call.service, now_ms)
        or _retry_after_evacuation_ms(state, call, now_ms),
    )
    return [*held_back, *refusal]


def _retry_after_evacuation_ms(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> clock.Millis:
    """Return a retry time, in ms, if targets of the service are evacuated.

    Return 0 if none is: the end of an evacuation is all that may be expected.
    """
    entries = state.registry.entry_by_id
    if not any(
        evacuations.is_evacuated(state, entries[target_id].data_centre)
        for target_id in state.registry.ids_by_service.get(call.service, ())
    ):
        return 0
    left_ms = call.received.deadline_ms - now_ms
    return evacuations.retry_after_ms(state, left_ms)


def on_load_reads_due(
    state: world.World,
    event: events.RoomSought,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Read the load of some targets for the queued calls of a service.

    If all its targets have been evacuated meanwhile, refuse these calls.
    """
    state.routed.services_seeking_slots.discard(event.service)
    queued_calls = _queued_calls(state, event.service)
    if not queued_calls:
        return []
    if locality.is_service_closed(state, event.service):
        return [
            action
            for call in queued_calls
            for action in _refuse_evacuated(state, call, now_ms)
        ]
    service = event.service
    sample = sampling.draw_wider(state, service, (), now_ms, LOAD_READ_TARGETS)
    return [*sample.reads, *_schedule_load_reads(state, service)]


def on_load_read(
    state: world.World,
    event: events.LoadRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Dispatch queued calls to a target that reports free slots."""
    if event.report is None:
        return []
    return dispatch_queued(state, event.target_id, now_ms)


def dispatch_queued(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Dispatch queued calls to a target while it has free slots."""
    done: list[actions.Action] = []
    while _can_take_call(state, target_id, now_ms):
        call = _next_call(state, target_id, now_ms)
        if call is None:
            break
        _remove_queued(state, call)
        done.extend(
            routed_dispatching.dispatch_to_target(
                state, call, target_id, now_ms
            )
        )
    return done


def on_queue_timeout(
    state: world.World,
    event: events.PatienceOver,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Refuse a call that got no slot in its maximum time in the queue.

    If a target has a free slot whose effect on its latency is not known yet,
    send the call there instead.
    """
    call = state.routed.call_by_id.get(event.call_id)
    if call is None or call.stage is not routed.Stage.QUEUED:
        return []
    if call.round != event.round:
        return []
    target_id = _untested_target(state, call, now_ms)
    if target_id is None:
        return _refuse_queued(state, call, now_ms)
    _remove_queued(state, call)
    return routed_dispatching.dispatch_to_target(state, call, target_id, now_ms)


def _untested_target(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> str | None:
    """Return a target with a free slot whose effect is not known, or None.

    How much a target slows down when its last slots are used is learned from
    calls that would be refused otherwise. Slow machines are left out.
    """
    local_ids = locality.local_target_ids(state, call.service)
    return next(
        (
            target_id
            for target_id in local_ids
            if target_id not in call.tried_target_ids
            and slot_estimates.is_next_level_untested(state, target_id, now_ms)
            and not slot_use.is_slot_wasted(state, call, target_id, now_ms)
        ),
        None,
    )


def _queue_call(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Queue a call and schedule its queue timeout and load reads.

    If the queue is too long then, its last call is refused.
    """
    call = call._replace(
        stage=routed.Stage.QUEUED,
        round=call.round + 1,
        awaited_target_ids=frozenset(),
    )
    state.routed.call_by_id[call.call_id] = call
    state.routed.slots_short_at_ms_by_service[call.service] = now_ms
    if not call.send_count:
        pressure.record_short(state, call.service, now_ms)
    queued_ids = state.routed.queued_ids_by_service.setdefault(
        call.service,
        [],
    )
    queued_ids.append(call.call_id)
    timeout = events.PatienceOver(call.call_id, call.round)
    until_ms = _max_queued_until_ms(state, call, now_ms)
    return [
        *_refuse_excess(state, call.service, now_ms),
        actions.Schedule(timeout, until_ms - now_ms),
        *_schedule_load_reads(state, call.service),
    ]


def _max_queued_until_ms(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> clock.Millis:
    """Return until when a call may be queued."""
    max_wait_ms = MAX_WAIT_SHARE * call.route.aim_ms
    max_wait_ms += queue_urgency.extra_wait_ms(state, call, max_wait_ms, now_ms)
    if slot_use.is_expected_late(state, call, now_ms):
        max_wait_ms = LATE_MAX_WAIT_SHARE * (
            call.due_at_ms - call.received_at_ms
        )
    return max(call.received_at_ms + max_wait_ms, now_ms + MIN_WAIT_MS)


def _refuse_excess(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Refuse the last call of the queue if the queue is too long."""
    queued_calls = _queued_calls(state, service)
    if len(queued_calls) <= MAX_QUEUED_CALLS:
        return []
    last = max(queued_calls, key=lambda call: _queue_rank(state, call, now_ms))
    return _refuse_queued(state, last, now_ms)


def _refuse_queued(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """End a queued call: relay an earlier error response, or refuse it."""
    _remove_queued(state, call)
    if call.may_have_run:
        return routed_answering.relay_failure_or_refuse(
            state, call, outcomes.Reason.TARGET_LOST
        )
    return routed_answering.refuse_call(
        state,
        call,
        outcomes.Reason.OVERLOADED,
        max(
            _retry_after_ms(state, call),
            availability.retry_after_ms(state, call.service, now_ms),
        ),
    )


def _refuse_evacuated(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """End a queued call of a service whose targets are all evacuated."""
    _remove_queued(state, call)
    return routed_answering.relay_failure_or_refuse(
        state,
        call,
        outcomes.Reason.NO_TARGET,
        _retry_after_evacuation_ms(state, call, now_ms),
    )


def _schedule_load_reads(
    state: world.World, service: str
) -> list[actions.Action]:
    """Schedule the next load reads of a service, unless they are scheduled.

    The interval is random, so that instances don't read at the same time.
    """
    if service in state.routed.services_seeking_slots:
        return []
    state.routed.services_seeking_slots.add(service)
    delay_ms = LOAD_READ_INTERVAL_MS * _jitter_factor(state)
    return [actions.Schedule(events.RoomSought(service), delay_ms)]


def _queued_calls(state: world.World, service: str) -> list[routed.RoutedCall]:
    """Return the queued calls of a service; drop the ids of ended ones."""
    queued_ids = state.routed.queued_ids_by_service.get(service, [])
    rows = [state.routed.call_by_id.get(call_id) for call_id in queued_ids]
    queued_calls = [
        call
        for call in rows
        if call is not None and call.stage is routed.Stage.QUEUED
    ]
    state.routed.queued_ids_by_service.pop(service, None)
    if queued_calls:
        state.routed.queued_ids_by_service[service] = [
            call.call_id for call in queued_calls
        ]
    return queued_calls


def _remove_queued(state: world.World, call: routed.RoutedCall) -> None:
    queued_ids = state.routed.queued_ids_by_service.get(call.service, [])
    if call.call_id in queued_ids:
        queued_ids.remove(call.call_id)
    if not queued_ids:
        state.routed.queued_ids_by_service.pop(call.service, None)


def _can_take_call(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a target has a free slot and its service queued calls.

    False also if the target is ejected or accepts no calls from here.
    """
    entry = state.registry.entry_by_id.get(target_id)
    if entry is None:
        return False
    if entry.service not in state.routed.queued_ids_by_service:
        return False
    load = load_reports.load_of(state.loads, target_id)
    if outlier_detection.is_ejected(load, now_ms):
        return False
    return slot_estimates.free_slots(state, target_id, now_ms) > 0


def _next_call(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> routed.RoutedCall | None:
    """Return the queued call that is first for a free slot of a target.

    Calls that tried the target before, or should not use the slot, are left
    out. Return None if no call remains.
    """
    service = state.registry.entry_by_id[target_id].service
    return min(
        (
            call
            for call in _queued_calls(state, service)
            if target_id not in call.tried_target_ids
            and slot_use.may_use_slot(state, call, target_id, now_ms)
        ),
        key=lambda call: _queue_rank(state, call, now_ms),
        default=None,
    )


def _queue_rank(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> tuple[bool, int, int, clock.Millis]:
    """Return a sort key by which queued calls are dispatched.

    Calls that can meet their latency target are first, then those of a lower
    ``rank``, then those that ``queue_urgency`` puts first, then the newest.
    """
    late = slot_use.is_expected_late(state, call, now_ms)
    returned = queue_urgency.returned_order(state, call)
    return late, call.route.rank, returned, -call.received_at_ms


def _median_latency_ms(
    state: world.World, call: routed.RoutedCall
) -> clock.Millis:
    return expected_latencies.route_latency(state, call.route).median_ms


def _retry_after_ms(
    state: world.World,
    call: routed.RoutedCall,
) -> clock.Millis:
    """Return a retry-after in ms, random so that retries are spread out."""
    return (
        RETRY_AFTER_SHARE
        * _median_latency_ms(state, call)
        * _jitter_factor(state)
    )


def _jitter_factor(state: world.World) -> float:
    return 1 + _JITTER_SHARE * (2 * state.rng.random() - 1)
