"""Lists the systems of each event, for calls on routes.

The systems of an event run in the order listed here. The configuration is read
as a whole from the platform's linearizable store. So there is no majority
vote among instances, no key that is bound to one and no chain of release notes
here. Calls are forwarded only by an instance that reaches no target.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, stepping, world
from oleanderstair.domain.admission import pressure, threshold
from oleanderstair.domain.calls import (
    crashing_requests,
    retry_budget,
    routed_calls,
    routed_dispatching,
    routed_forwarding,
    routed_queueing,
)
from oleanderstair.domain.configuration import (
    operator_sync,
    routing,
    store_sync,
    store_watch,
)
from oleanderstair.domain.fleet import (
    grace_period_stop,
    instance_count,
    limits_reload,
    readiness,
    roster_exchange,
)
from oleanderstair.domain.targets import (
    backoffs,
    leaving_announcements,
    rate_limits,
    reachability,
    registry_updates,
    sampling,
    slow_start_limits,
)

SYSTEMS_BY_EVENT: typing.Final[stepping.SystemsByEvent] = {
    events.CallReceived: (routed_calls.on_call,),
    events.LoadRead: (
        reachability.on_load_read,
        slow_start_limits.on_load_read,
        sampling.on_load_read,
        routed_dispatching.on_load_read,
        routed_queueing.on_load_read,
        pressure.on_load_read,
    ),
    events.SampleDue: (routed_dispatching.on_sample_due,),
    events.TargetTold: (
        leaving_announcements.on_target_told,
        backoffs.on_target_told,
        rate_limits.on_target_told,
    ),
    events.RoomMissing: (routed_queueing.on_no_free_slot,),
    events.RoomSought: (routed_queueing.on_load_reads_due,),
    events.PatienceOver: (routed_queueing.on_queue_timeout,),
    events.HedgeDue: (routed_dispatching.on_hedge_due,),
    events.CallDue: (routed_calls.on_call_due,),
    events.CallerLeft: (routed_calls.on_caller_left,),
    events.CallerHalfClosed: (routed_calls.on_caller_half_closed,),
    events.AttemptEnded: (routed_calls.on_attempt_ended,),
    events.TargetsUnreachable: (routed_forwarding.on_targets_unreachable,),
    events.HomeReplied: (routed_forwarding.on_peer_replied,),
    events.RoutingRead: (routing.on_configuration_read,),
    events.RegistryRead: (registry_updates.on_registry_read,),
    events.RegistryChanged: (registry_updates.on_registry_changed,),
    events.StoreRead: (
        operator_sync.on_store_read,
        store_watch.on_store_read,
        store_watch.on_store_applied,
        operator_sync.on_store_applied,
        readiness.on_store_state,
    ),
    events.StoreChanged: (
        operator_sync.on_store_changed,
        store_watch.on_store_changed,
        store_watch.on_store_applied,
        operator_sync.on_store_applied,
    ),
    events.HistoryLost: (store_watch.on_history_lost,),
    events.StoreFailed: (store_watch.on_store_failed,),
    events.StoreTold: (store_sync.on_state_applied, readiness.on_store_state),
    events.OperatorStateTold: (readiness.on_store_state,),
    events.PeerHeard: (
        roster_exchange.on_peer,
        store_sync.on_peer,
        operator_sync.on_peer,
        crashing_requests.on_peer,
        leaving_announcements.on_peer,
        rate_limits.on_peer,
        slow_start_limits.on_peer,
        reachability.on_peer,
    ),
    events.Tick: (
        roster_exchange.on_tick,
        instance_count.on_tick,
        retry_budget.on_tick,
        threshold.on_tick,
        operator_sync.on_tick,
        store_watch.on_tick,
        registry_updates.on_tick,
        reachability.on_tick,
        slow_start_limits.on_tick,
        readiness.on_tick,
        grace_period_stop.on_tick,
    ),
    events.StopRequested: (grace_period_stop.on_stop, roster_exchange.on_stop),
    events.LimitsChanged: (limits_reload.on_limits_changed,),
}


def step(
    state: world.World,
    event: events.Event,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Run the systems of ``event`` and return their actions in order."""
    return stepping.run_systems(SYSTEMS_BY_EVENT, state, event, now_ms)
