"""Proof of life between instances, in a bounded number of messages.

A round reaches a few peers of the data centre and a few outside; the turn
goes round all that are listed or heard. Where an instance starts or changes
its standing it also states its place as a fact, which reaches all quickly.
"""

import itertools
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import bandwidth, live, sharing
from oleanderstair.domain.tables import catalogue, instances

HELLO_MS: typing.Final = 30_000

_NONCE_LIMIT: typing.Final = 2_000_000_000


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a peer's proof of life and answer it."""
    message = event.message
    if isinstance(message, messages.Heartbeat):
        live.hear(state, _row(event.sender, message, now_ms), now_ms)
    elif isinstance(message, messages.Pulse):
        live.pulse(state, event.sender, message.state, now_ms)
    else:
        live.touch(state, event.sender, now_ms)
        return []
    if message.reply:
        if message.nonce == state.traffic.nonce:
            live.mark_answered(state, event.sender)
        return []
    peer = state.instances.peer_by_incarnation.get(event.sender)
    if peer is None:
        return _introduce(state, event.sender, now_ms)
    if isinstance(message, messages.Heartbeat):
        # Who greets may not know this incarnation, so tell all about it.
        state.traffic.hello_at_ms_by_address.pop(peer.peer_address, None)
    return _send(state, peer.peer_address, now_ms, message.nonce)


def on_fact(
    state: world.World,
    event: events.FactAdopted,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Learn of an instance that some peer has heard."""
    body = event.fact.body
    if not isinstance(body, messages.InstancePlace):
        return []
    heard_at_ms = now_ms - event.fact.age_ms
    known = state.instances.peer_by_incarnation.get(event.fact.origin)
    row = instances.Peer(event.fact.origin, *body[:5], heard_at_ms)
    if known is not None:
        row = known._replace(heard_at_ms=max(heard_at_ms, known.heard_at_ms))
    live.hear(
        state,
        row._replace(
            leaving=body.leaving,
            confirmed=body.confirmed,
            epoch=max(body.epoch, row.epoch),
        ),
        now_ms,
    )
    return []


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send proof of life to the next few instances when it is due."""
    if not state.traffic.nonce:
        renew_nonce(state)
    _state_place(state, now_ms)
    if now_ms - state.facts.heartbeat_at_ms < state.policy.heartbeat_ms:
        return []
    turn = state.traffic.heartbeat_turn
    state.traffic.heartbeat_turn += 1
    local, outside = live.contacts(state)
    chosen = itertools.chain(
        live.take_turn(local, turn, live.LOCAL_PULSES),
        live.take_turn(outside, turn, live.OUTSIDE_PULSES),
    )
    sent: list[actions.Action] = []
    for address in chosen:
        state.facts.heartbeat_at_ms = now_ms
        sent.extend(_send(state, address, now_ms))
    return sent


def renew_nonce(state: world.World) -> int:
    """Draw the nonce that answers to this instance carry from now on."""
    state.traffic.nonce = state.rng.randrange(1, _NONCE_LIMIT)
    return state.traffic.nonce


def heartbeat(state: world.World) -> messages.Heartbeat:
    """Return what this instance says of itself."""
    own = state.identity
    return messages.Heartbeat(
        instance_id=own.instance_id,
        region=own.region,
        data_centre=own.data_centre,
        caller_address=own.caller_address,
        peer_address=own.peer_address,
        state=standing(state),
    )


def standing(state: world.World) -> messages.InstanceState:
    """Return the phase, note and epoch of this instance."""
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


def _state_place(state: world.World, now_ms: clock.Millis) -> None:
    own = state.identity
    place = messages.InstancePlace(
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
    stated = state.facts.fact_by_key.get((subject, own.incarnation))
    if stated is None or stated.body != place:
        sharing.publish(state, subject, place, now_ms)


def _send(
    state: world.World,
    address: str,
    now_ms: clock.Millis,
    answered_nonce: int = 0,
) -> list[actions.Action]:
    """Send a pulse, or all about this instance where that is news."""
    table = state.traffic.hello_at_ms_by_address
    incarnation = live.incarnation_at(state, address)
    nonce = answered_nonce or state.traffic.nonce
    reply = bool(answered_nonce)
    message: messages.Message = messages.Pulse(standing(state), reply, nonce)
    said_at_ms = table.get(address, clock.NEVER_MS)
    if not incarnation or now_ms - said_at_ms > HELLO_MS:
        message = heartbeat(state)._replace(reply=reply, nonce=nonce)
    sent = bandwidth.send(state, incarnation, address, message, now_ms)
    if incarnation and isinstance(message, messages.Heartbeat):
        table[address] = now_ms
    return sent


def _introduce(
    state: world.World,
    sender: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Greet a listed sender that is not known yet, so that it answers."""
    entry = state.instances.listed_by_id.get(live.instance_id_of(sender))
    if entry is None:
        return []
    greeting = heartbeat(state)._replace(nonce=state.traffic.nonce)
    return bandwidth.send(state, sender, entry.peer_address, greeting, now_ms)


def _row(
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
