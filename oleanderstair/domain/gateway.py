"""The systems of an instance that carries calls on routes.

What is in force comes from the platform's store, whole and linearizable,
so nothing here asks a majority, forwards to a home or chains notes.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, stepping, world
from oleanderstair.domain.calls import routed, sending, waiting
from oleanderstair.domain.configuration import routing, watching
from oleanderstair.domain.fleet import (
    finishing,
    reloading,
    serving,
    stopping,
)
from oleanderstair.domain.targets import registering, sampling

SYSTEMS_BY_EVENT: typing.Final[stepping.SystemsByEvent] = {
    events.CallReceived: (routed.on_call,),
    events.LoadRead: (
        sampling.on_load_read,
        sending.on_load_read,
        waiting.on_load_read,
    ),
    events.SampleDue: (sending.on_sample_due,),
    events.RoomMissing: (waiting.on_room_missing,),
    events.RoomSought: (waiting.on_room_sought,),
    events.PatienceOver: (waiting.on_patience_over,),
    events.HedgeDue: (sending.on_hedge_due,),
    events.CallDue: (routed.on_call_due,),
    events.CallerLeft: (routed.on_caller_left,),
    events.AttemptEnded: (routed.on_attempt_ended,),
    events.RoutingRead: (routing.on_routing,),
    events.RegistryRead: (registering.on_read,),
    events.RegistryChanged: (registering.on_changed,),
    events.StoreRead: (watching.on_read,),
    events.StoreChanged: (watching.on_changed,),
    events.HistoryLost: (watching.on_history_lost,),
    events.StoreFailed: (watching.on_failed,),
    events.PeerHeard: (),
    events.Tick: (watching.on_tick, serving.on_tick, finishing.on_tick),
    events.StopRequested: (stopping.on_stop,),
    events.LimitsChanged: (reloading.on_limits,),
}


def step(
    state: world.World,
    event: events.Event,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Run the systems of ``event`` and return their actions in order."""
    return stepping.run(SYSTEMS_BY_EVENT, state, event, now_ms)
