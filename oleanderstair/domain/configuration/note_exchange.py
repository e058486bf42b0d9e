"""Exchanges release notes between peers.

An instance announces its head, the number and digest of its note in force. A
peer that has an older note requests the bodies of the notes that it lacks.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.configuration import note_adoption
from oleanderstair.domain.fleet import bandwidth, fanout, peer_liveness
from oleanderstair.domain.tables import catalogue, instances

REQUEST_INTERVAL_MS: typing.Final = 250
"""The shortest time between two requests. A request is sent earlier if the
last one led to a newer note or if a new highest number is announced."""

MAX_BATCH_NOTES: typing.Final = 32
"""How many notes a response to one request may contain."""

MAX_BATCH_BYTES: typing.Final = 256_000
"""The total size of the notes in one response; a single one may exceed it."""


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Handle heads, note bodies and note requests from a peer."""
    message = event.message
    peer = state.instances.peer_by_incarnation.get(event.sender)
    if isinstance(message, messages.NoteBody):
        return _adopt_body(state, message, event.sender, now_ms)
    if peer is None:
        return []
    if isinstance(message, messages.NoteRequest):
        return bandwidth.send_messages(
            state,
            peer,
            _bodies_after(state, message),
            now_ms,
        )
    if isinstance(message, messages.NoteHead):
        _record_head(state, peer, message)
    if isinstance(
        message,
        (messages.NoteHead, messages.Pulse, messages.Heartbeat),
    ):
        return [
            *_report_fork(state, peer.incarnation),
            *_request_notes(state, peer.incarnation, now_ms),
        ]
    return []


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Announce a new head to some peers; request missing notes from one.

    Each of the first ``SEND_ROUNDS`` ticks after an adoption announces the
    head. The request goes to a random live peer that has a newer note.
    """
    sent: list[actions.Action] = []
    if state.facts.note_head_sends_left > 0:
        state.facts.note_head_sends_left -= 1
        in_force = state.catalogue.in_force
        head = messages.NoteHead(
            in_force.number,
            in_force.digest,
            state.instances.phase is not instances.Phase.UNCONFIRMED,
        )
        peers = fanout.choose_peers(state, now_ms)
        sent.extend(bandwidth.send_to_peers(state, peers, head, now_ms))
    ahead = _peers_ahead(state, now_ms)
    if ahead:
        sent.extend(
            _request_notes(state, state.rng.choice(ahead).incarnation, now_ms)
        )
    return sent


def _peers_ahead(
    state: world.World,
    now_ms: clock.Millis,
) -> list[instances.Peer]:
    number = state.catalogue.in_force.number
    if state.catalogue.highest_known <= number:
        return []
    return [
        peer
        for peer in peer_liveness.live_peers(state, now_ms)
        if peer.note_number > number
    ]


def _record_head(
    state: world.World,
    peer: instances.Peer,
    head: messages.NoteHead,
) -> None:
    if head.number < peer.note_number:
        return
    state.instances.peer_by_incarnation[peer.incarnation] = peer._replace(
        note_number=head.number,
        note_digest=catalogue.short_digest(head.digest),
    )


def _request_notes(
    state: world.World,
    incarnation: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    peer = state.instances.peer_by_incarnation[incarnation]
    table = state.catalogue
    if peer.note_number <= table.in_force.number:
        return []
    is_new_highest = peer.note_number > table.highest_known
    table.highest_known = max(table.highest_known, peer.note_number)
    if (
        not is_new_highest
        and now_ms - state.reads.peer_asked_at_ms < REQUEST_INTERVAL_MS
    ):
        return []
    state.reads.peer_asked_at_ms = now_ms
    request = messages.NoteRequest(
        table.in_force.number,
        table.in_force.digest,
    )
    return bandwidth.send_messages(state, peer, [request], now_ms)


def _report_fork(
    state: world.World,
    incarnation: str,
) -> list[actions.Action]:
    """Audit a peer whose note has the number in force but another digest."""
    peer = state.instances.peer_by_incarnation[incarnation]
    in_force = state.catalogue.in_force
    if not in_force.number or peer.note_number != in_force.number:
        return []
    own_digest = catalogue.short_digest(in_force.digest)
    if peer.note_digest == own_digest:
        return []
    why = f'this peer holds another note {in_force.number}'
    return note_adoption.record_refusal(
        state,
        catalogue.Refusal(
            in_force.number,
            peer.note_digest,
            peer.incarnation,
            why,
            is_fork=True,
        ),
    )


def _adopt_body(
    state: world.World,
    message: messages.NoteBody,
    sender: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    before = state.catalogue.in_force.number
    adopt = note_adoption.adopt_note
    if message.whole_catalogue:
        adopt = note_adoption.adopt_catalogue
    done = adopt(state, message.body, now_ms, sender)
    if state.catalogue.in_force.number > before:
        # The response has arrived, so the next request is due at once.
        state.reads.peer_asked_at_ms = clock.NEVER_MS
    return done


def _bodies_after(
    state: world.World,
    request: messages.NoteRequest,
) -> list[messages.Message]:
    """Return the response to a request for the notes after a peer's last one.

    The response is a batch of notes, or the whole catalogue if the peer's last
    note isn't known here. It is empty if that note is not older than the one
    in force.
    """
    table = state.catalogue
    if request.after_number >= table.in_force.number:
        return []
    kept = table.publication_by_number
    digest_by_number = {table.base_number: table.base_digest}
    before = kept.get(request.after_number)
    if before is not None:
        digest_by_number[before.number] = before.digest
    if digest_by_number.get(request.after_number) != request.after_digest:
        return [_message_of(note_adoption.catalogue_publication(state))]
    bodies: list[messages.Message] = []
    size_bytes = 0
    for number in range(request.after_number + 1, table.in_force.number + 1):
        size_bytes += len(kept[number].body)
        if bodies and (
            size_bytes > MAX_BATCH_BYTES or len(bodies) >= MAX_BATCH_NOTES
        ):
            break
        bodies.append(_message_of(kept[number]))
    return bodies


def _message_of(publication: catalogue.Publication) -> messages.NoteBody:
    return messages.NoteBody(*publication)
