"""Heartbeats between instances, with a bounded number of messages.

Each round sends to a few peers in this data centre and a few elsewhere, round
robin over all that are listed or known. An instance that starts or changes
its state also publishes an ``InstancePlace`` fact, which spreads faster.
"""

import itertools
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import bandwidth, peer_liveness, shared_facts
from oleanderstair.domain.tables import catalogue, instances

INTRODUCTION_PERIOD_MS: typing.Final = 30_000
"""The interval of full heartbeats to a peer; between them it gets pulses."""

_MAX_NONCE: typing.Final = 2_000_000_000


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Record that a peer sent a message; reply to a heartbeat or pulse."""
    message = event.message
    if isinstance(message, messages.Heartbeat):
        peer_liveness.record_peer(
            state, _peer_from_heartbeat(event.sender, message, now_ms), now_ms
        )
    elif isinstance(message, messages.Pulse):
        peer_liveness.record_pulse(state, event.sender, message.state, now_ms)
    else:
        peer_liveness.record_message(state, event.sender, now_ms)
        return []
    if message.reply:
        if message.nonce == state.traffic.nonce:
            peer_liveness.mark_answered(state, event.sender)
        return []
    peer = state.instances.peer_by_incarnation.get(event.sender)
    if peer is None:
        return _send_introduction(state, event.sender, now_ms)
    if isinstance(message, messages.Heartbeat):
        # The sender may not know this incarnation: reply with a heartbeat.
        state.traffic.introduced_at_ms_by_address.pop(peer.peer_address, None)
    return _send_heartbeat(state, peer.peer_address, now_ms, message.nonce)


def on_fact(
    state: world.World,
    event: events.FactAdopted,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Record the instance that an ``InstancePlace`` fact describes."""
    body = event.fact.body
    if not isinstance(body, messages.InstancePlace):
        return []
    heard_at_ms = now_ms - event.fact.age_ms
    known = state.instances.peer_by_incarnation.get(event.fact.origin)
    peer = instances.Peer(event.fact.origin, *body[:5], heard_at_ms)
    if known is not None:
        peer = known._replace(heard_at_ms=max(heard_at_ms, known.heard_at_ms))
    peer_liveness.record_peer(
        state,
        peer._replace(
            leaving=body.leaving,
            confirmed=body.confirmed,
            epoch=max(body.epoch, peer.epoch),
        ),
        now_ms,
    )
    return []


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send heartbeats or pulses to the next addresses in turn when due."""
    if not state.traffic.nonce:
        renew_nonce(state)
    _publish_own_place(state, now_ms)
    if now_ms - state.facts.heartbeat_at_ms < state.policy.heartbeat_ms:
        return []
    turn = state.traffic.heartbeat_turn
    state.traffic.heartbeat_turn += 1
    local, remote = peer_liveness.peer_addresses(state)
    chosen = itertools.chain(
        peer_liveness.addresses_in_turn(
            local, turn, peer_liveness.LOCAL_PULSE_COUNT
        ),
        peer_liveness.addresses_in_turn(
            remote, turn, peer_liveness.REMOTE_PULSE_COUNT
        ),
    )
    sent: list[actions.Action] = []
    for address in chosen:
        state.facts.heartbeat_at_ms = now_ms
        sent.extend(_send_heartbeat(state, address, now_ms))
    return sent


def renew_nonce(state: world.World) -> int:
    """Draw and return a new nonce, which replies to this instance echo."""
    state.traffic.nonce = state.rng.randrange(1, _MAX_NONCE)
    return state.traffic.nonce


def own_heartbeat(state: world.World) -> messages.Heartbeat:
    """Return a heartbeat that describes this instance."""
    own = state.identity
    return messages.Heartbeat(
        instance_id=own.instance_id,
        region=own.region,
        data_centre=own.data_centre,
        caller_address=own.caller_address,
        peer_address=own.peer_address,
        state=own_state(state),
    )


def own_state(state: world.World) -> messages.InstanceState:
    """Return the state of this instance, as heartbeats carry it."""
    phase = state.instances.phase
    in_force = state.catalogue.in_force
    return messages.InstanceState(
        leaving=phase is instances.Phase.STOPPING,
        confirmed=phase is not instances.Phase.UNCONFIRMED,
        note_number=in_force.number,
        note_digest=catalogue.short_digest(in_force.digest),
        largest_count=state.instances.own_largest_count,
        epoch=state.keys.open_epoch,
        highest_read=state.catalogue.highest_read,
    )


def _publish_own_place(state: world.World, now_ms: clock.Millis) -> None:
    """Publish the ``InstancePlace`` of this instance if it has changed."""
    own = state.identity
    own_place = messages.InstancePlace(
        own.instance_id,
        own.region,
        own.data_centre,
        own.caller_address,
        own.peer_address,
        state.instances.phase is instances.Phase.STOPPING,
        state.instances.phase is not instances.Phase.UNCONFIRMED,
        state.keys.open_epoch,
    )
    subject = f'instance/{own.instance_id}'
    published = state.facts.fact_by_key.get((subject, own.incarnation))
    if published is None or published.body != own_place:
        shared_facts.publish_fact(state, subject, own_place, now_ms)


def _send_heartbeat(
    state: world.World,
    address: str,
    now_ms: clock.Millis,
    answered_nonce: int = 0,
) -> list[actions.Action]:
    """Send a pulse, or a full heartbeat if one is due at this address.

    The message is a reply with ``answered_nonce`` if that is not 0.
    """
    introduced_at_ms_by_address = state.traffic.introduced_at_ms_by_address
    incarnation = peer_liveness.incarnation_at(state, address)
    nonce = answered_nonce or state.traffic.nonce
    reply = bool(answered_nonce)
    message: messages.Message = messages.Pulse(own_state(state), reply, nonce)
    introduced_at_ms = introduced_at_ms_by_address.get(address, clock.NEVER_MS)
    if not incarnation or now_ms - introduced_at_ms > INTRODUCTION_PERIOD_MS:
        message = own_heartbeat(state)._replace(reply=reply, nonce=nonce)
    sent = bandwidth.send_message(state, incarnation, address, message, now_ms)
    if incarnation and isinstance(message, messages.Heartbeat):
        introduced_at_ms_by_address[address] = now_ms
    return sent


def _send_introduction(
    state: world.World,
    sender: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send a heartbeat to a listed sender that is not yet a known peer."""
    entry = state.instances.listed_by_id.get(
        peer_liveness.instance_id_of(sender)
    )
    if entry is None:
        return []
    introduction = own_heartbeat(state)._replace(nonce=state.traffic.nonce)
    return bandwidth.send_message(
        state, sender, entry.peer_address, introduction, now_ms
    )


def _peer_from_heartbeat(
    sender: str,
    message: messages.Heartbeat,
    now_ms: clock.Millis,
) -> instances.Peer:
    return instances.Peer(
        incarnation=sender,
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
        epoch=message.state.epoch,
        highest_read=message.state.highest_read,
        largest_count=message.state.largest_count,
    )
