"""Spreads notes between peers: offers heads, asks for and gives bodies."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.configuration import adopting
from oleanderstair.domain.fleet import bandwidth, fanout, live
from oleanderstair.domain.tables import catalogue, instances

ASK_MS: typing.Final = 250
BATCH_NOTES: typing.Final = 32
BATCH_BYTES: typing.Final = 256_000


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take heads and bodies of notes, and answer who asks for them."""
    message = event.message
    peer = state.instances.peer_by_incarnation.get(event.sender)
    if isinstance(message, messages.NoteBody):
        return _take(state, message, event.sender, now_ms)
    if peer is None:
        return []
    if isinstance(message, messages.NoteRequest):
        return bandwidth.send_each(
            state,
            peer,
            _bodies_after(state, message),
            now_ms,
        )
    if isinstance(message, messages.NoteHead):
        _learn_head(state, peer, message)
    if isinstance(
        message,
        (messages.NoteHead, messages.Pulse, messages.Heartbeat),
    ):
        return [
            *_report_fork(state, peer.incarnation),
            *_ask(state, peer.incarnation, now_ms),
        ]
    return []


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Offer a new head to a few peers, and ask on where one is behind."""
    sent: list[actions.Action] = []
    if state.facts.head_sends_left > 0:
        state.facts.head_sends_left -= 1
        in_force = state.catalogue.in_force
        head = messages.NoteHead(
            in_force.number,
            in_force.digest,
            state.instances.phase is not instances.Phase.UNCONFIRMED,
        )
        peers = fanout.choose(state, now_ms)
        sent.extend(bandwidth.send_to_all(state, peers, head, now_ms))
    ahead = _peers_ahead(state, now_ms)
    if ahead:
        sent.extend(_ask(state, state.rng.choice(ahead).incarnation, now_ms))
    return sent


def _peers_ahead(
    state: world.World,
    now_ms: clock.Millis,
) -> list[instances.Peer]:
    number = state.catalogue.in_force.number
    if state.catalogue.highest_heard <= number:
        return []
    return [
        peer
        for peer in live.heard_peers(state, now_ms)
        if peer.note_number > number
    ]


def _learn_head(
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


def _ask(
    state: world.World,
    incarnation: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    peer = state.instances.peer_by_incarnation[incarnation]
    table = state.catalogue
    if peer.note_number <= table.in_force.number:
        return []
    is_news = peer.note_number > table.highest_heard
    table.highest_heard = max(table.highest_heard, peer.note_number)
    if not is_news and now_ms - state.reads.asked_peer_at_ms < ASK_MS:
        return []
    state.reads.asked_peer_at_ms = now_ms
    request = messages.NoteRequest(
        table.in_force.number,
        table.in_force.digest,
    )
    return bandwidth.send_each(state, peer, [request], now_ms)


def _report_fork(
    state: world.World,
    incarnation: str,
) -> list[actions.Action]:
    """Report a peer that holds another note of the number in force."""
    peer = state.instances.peer_by_incarnation[incarnation]
    in_force = state.catalogue.in_force
    if not in_force.number or peer.note_number != in_force.number:
        return []
    own_digest = catalogue.short_digest(in_force.digest)
    if peer.note_digest == own_digest:
        return []
    why = f'this peer holds another note {in_force.number}'
    return adopting.refuse(
        state,
        catalogue.Refusal(
            in_force.number,
            peer.note_digest,
            peer.incarnation,
            why,
            is_fork=True,
        ),
    )


def _take(
    state: world.World,
    message: messages.NoteBody,
    sender: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    before = state.catalogue.in_force.number
    adopt = adopting.adopt_note
    if message.whole_catalogue:
        adopt = adopting.adopt_whole
    taken = adopt(state, message.body, now_ms, sender)
    if state.catalogue.in_force.number > before:
        # The next batch need not wait for the time of a lost answer.
        state.reads.asked_peer_at_ms = clock.NEVER_MS
    return taken


def _bodies_after(
    state: world.World,
    request: messages.NoteRequest,
) -> list[messages.Message]:
    """Return the notes that follow the asker's, or the whole catalogue."""
    table = state.catalogue
    if request.after_number >= table.in_force.number:
        return []
    kept = table.publication_by_number
    digest_by_number = {table.base_number: table.base_digest}
    before = kept.get(request.after_number)
    if before is not None:
        digest_by_number[before.number] = before.digest
    if digest_by_number.get(request.after_number) != request.after_digest:
        return [_body(adopting.whole_publication(state))]
    found: list[messages.Message] = []
    size = 0
    for number in range(request.after_number + 1, table.in_force.number + 1):
        size += len(kept[number].body)
        if found and (size > BATCH_BYTES or len(found) >= BATCH_NOTES):
            break
        found.append(_body(kept[number]))
    return found


def _body(publication: catalogue.Publication) -> messages.NoteBody:
    return messages.NoteBody(*publication)
