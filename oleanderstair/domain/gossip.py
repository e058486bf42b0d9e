"""Spreads facts and proof of life between instances."""

from oleanderstair import clock
from oleanderstair.domain import actions, epochs, events, messages, world
from oleanderstair.domain.tables import instances


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a peer's proof of life and answer it."""
    message = event.message
    if not isinstance(message, messages.Heartbeat):
        return []
    state.instances.peer_by_incarnation[event.sender] = instances.Peer(
        incarnation=event.sender,
        instance_id=message.instance_id,
        region=message.region,
        data_centre=message.data_centre,
        caller_address=message.caller_address,
        peer_address=message.peer_address,
        heard_at_ms=now_ms,
        leaving=message.state.leaving,
        confirmed=message.state.confirmed,
        note_number=message.state.note_number,
        note_digest=message.state.note_digest,
        key_epoch=message.state.key_epoch,
    )
    if message.reply:
        return []
    reply = heartbeat(state)._replace(reply=True)
    return [actions.SendPeer(event.sender, message.peer_address, reply)]


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send proof of life to the listed instances when it is due."""
    if now_ms - state.facts.heartbeat_at_ms < state.policy.heartbeat_ms:
        return []
    state.facts.heartbeat_at_ms = now_ms
    message = heartbeat(state)
    return [
        actions.SendPeer('', entry.peer_address, message)
        for entry in state.instances.listed_by_id.values()
        if entry.instance_id != state.identity.instance_id
    ]


def heartbeat(state: world.World) -> messages.Heartbeat:
    """Return what this instance says of itself."""
    own = state.identity
    phase = state.instances.phase
    in_force = state.catalogue.in_force
    return messages.Heartbeat(
        instance_id=own.instance_id,
        region=own.region,
        data_centre=own.data_centre,
        caller_address=own.caller_address,
        peer_address=own.peer_address,
        state=messages.InstanceState(
            leaving=phase is instances.Phase.STOPPING,
            confirmed=phase is not instances.Phase.UNCONFIRMED,
            note_number=in_force.number,
            note_digest=in_force.digest,
            largest_count=state.instances.largest_count,
            key_epoch=epochs.prefix_epoch(state.keys),
        ),
    )
