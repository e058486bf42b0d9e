"""Decide when a starting instance may accept its first call.

Its release note must be confirmed. One peer that is itself confirmed is
enough. If the whole fleet starts cold, no peer is confirmed. Then a majority
of the listed instances must be unconfirmed and have read the head, and this
instance must have in force the highest head that any of them has read. An
instance that is listed alone is a majority, once the list is stable and the
instance has read the head.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.fleet import peer_liveness
from oleanderstair.domain.tables import catalogue, instances

STABLE_LIST_READS: typing.Final = 2
"""The number of list periods without a change before a cold start."""


class Confirmation(typing.NamedTuple):
    """The source that confirms the note in force, or what is missing.

    One of the two fields is empty.
    """

    confirmed_by: str = ''
    waits_for: str = ''


def check_confirmation(
    state: world.World, now_ms: clock.Millis
) -> Confirmation:
    """Return what confirms the note in force, or what is still missing."""
    in_force = state.catalogue.in_force
    if in_force.number and state.policy.confirm_without_peers:
        return Confirmation('settings, confirm_without_peers')
    answered = [
        peer
        for peer in peer_liveness.live_peers(state, now_ms)
        if peer.has_answered
    ]
    confirmed = [peer for peer in answered if _can_confirm(peer)]
    if confirmed:
        return _check_against_confirmed(in_force, confirmed)
    return _check_cold_start(state, answered, now_ms)


def _can_confirm(peer: instances.Peer) -> bool:
    """Return whether a peer is confirmed and its note is known.

    A peer that is known only from an ``InstancePlace`` fact has no note.
    """
    return peer.confirmed and peer.note_number > 0


def _check_against_confirmed(
    in_force: catalogue.Catalogue,
    confirmed: list[instances.Peer],
) -> Confirmation:
    """Check the note in force against those of confirmed peers.

    It is confirmed by a peer with the same note, if no confirmed peer has a
    later one, or if it is later than the notes of all of them.
    """
    highest = max(peer.note_number for peer in confirmed)
    if in_force.number > highest:
        return Confirmation(confirmed[0].incarnation)
    own_digest = catalogue.short_digest(in_force.digest)
    for peer in confirmed:
        if peer.note_number == in_force.number == highest:
            if peer.note_digest == own_digest:
                return Confirmation(peer.incarnation)
    return Confirmation(waits_for=f'note {highest} from a confirmed peer')


def _check_cold_start(
    state: world.World,
    answered: list[instances.Peer],
    now_ms: clock.Millis,
) -> Confirmation:
    """Check whether a majority of the listed instances starts cold.

    The list must be stable, and this instance must have in force the highest
    head that any of them has read.
    """
    table = state.instances
    listed_ids = {
        entry.instance_id
        for entry in table.listed_by_id.values()
        if not entry.leaving
    }
    if not listed_ids:
        return Confirmation(waits_for='a confirmed peer, or the instance list')
    min_stable_ms = STABLE_LIST_READS * state.policy.list_read_ms
    if now_ms - table.list_stable_since_ms < min_stable_ms:
        return Confirmation(
            waits_for='a confirmed peer, or a list that is stable'
        )
    head_by_instance_id = {
        peer.instance_id: max(peer.highest_read, peer.note_number)
        for peer in answered
        if peer.highest_read and not peer.confirmed
    }
    own_id = state.identity.instance_id
    if state.catalogue.highest_read:
        head_by_instance_id[own_id] = state.catalogue.highest_read
    present_count = len(head_by_instance_id.keys() & listed_ids)
    majority = len(listed_ids) // 2 + 1
    if present_count < majority:
        return Confirmation(
            waits_for=(
                'a confirmed peer, or a majority of fresh instances that '
                f'have read the head: {present_count} of {majority}'
            ),
        )
    highest = max(head_by_instance_id.values())
    if state.catalogue.in_force.number < highest:
        return Confirmation(waits_for=f'note {highest}, the highest head read')
    return Confirmation(
        f'cold start with {present_count} of {len(listed_ids)} listed'
    )
