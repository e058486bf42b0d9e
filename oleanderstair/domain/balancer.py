"""Lists the systems of each event, for calls to release note services.

The systems of an event run in the order listed here.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, stepping, world
from oleanderstair.domain.calls import (
    admission,
    attempts,
    catalogue_changes,
    hedging,
    homes,
    keys,
    quarantine,
    suspects,
)
from oleanderstair.domain.configuration import (
    note_exchange,
    note_values,
    pause_recovery,
    read_schedule,
)
from oleanderstair.domain.fleet import (
    answer_expiry_stop,
    antientropy,
    fact_deltas,
    heartbeats,
    listed_instances,
    shared_facts,
)
from oleanderstair.domain.targets import draining, occupancy, probing, ramps


SYSTEMS_BY_EVENT: typing.Final[stepping.SystemsByEvent] = {
    events.CallReceived: (admission.on_call,),
    events.CallerLeft: (admission.on_caller_left,),
    events.AttemptEnded: (attempts.on_attempt_ended,),
    events.HomeReplied: (homes.on_home_reply,),
    events.ValueRead: (
        read_schedule.on_value,
        note_values.on_value,
        pause_recovery.on_value,
        catalogue_changes.on_event,
    ),
    events.ReadFailed: (read_schedule.on_read_failed,),
    events.InstancesRead: (listed_instances.on_instances,),
    events.ProbeEnded: (
        occupancy.on_probe_ended,
        draining.on_probe_ended,
        pause_recovery.on_probe_ended,
    ),
    events.PeerHeard: (
        heartbeats.on_peer,
        pause_recovery.on_peer,
        note_exchange.on_peer,
        catalogue_changes.on_event,
        shared_facts.on_peer,
        antientropy.on_peer,
    ),
    events.FactAdopted: (
        heartbeats.on_fact,
        draining.on_fact,
        ramps.on_fact,
        occupancy.on_fact,
        suspects.on_fact,
    ),
    events.Tick: (
        pause_recovery.on_tick,
        catalogue_changes.on_event,
        listed_instances.on_tick,
        read_schedule.on_tick,
        probing.on_tick,
        occupancy.on_tick,
        ramps.on_tick,
        suspects.on_tick,
        keys.on_tick,
        homes.on_tick,
        quarantine.on_tick,
        admission.on_tick,
        hedging.on_tick,
        heartbeats.on_tick,
        note_exchange.on_tick,
        fact_deltas.on_tick,
        shared_facts.on_tick,
        antientropy.on_tick,
        answer_expiry_stop.on_tick,
    ),
    events.StopRequested: (answer_expiry_stop.on_stop,),
}


def step(
    state: world.World,
    event: events.Event,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Run the systems of ``event`` and return their actions in order."""
    return stepping.run_systems(SYSTEMS_BY_EVENT, state, event, now_ms)
