"""Known peers, when each was last heard from, and the addresses to contact."""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain import messages, world
from oleanderstair.domain.tables import instances

LOCAL_PULSE_COUNT: typing.Final = 2
"""The number of addresses per heartbeat round in this data centre."""

REMOTE_PULSE_COUNT: typing.Final = 4
"""The number of addresses outside this data centre per heartbeat round."""

SILENT_PEER_KEPT_MS: typing.Final = 60_000
"""How long a silent peer, or a replaced incarnation, is kept at least."""

MAX_PEER_COUNT: typing.Final = 4096
"""The most peers that are kept."""

_INCARNATION_SEPARATOR: typing.Final = '~'


def record_peer(
    state: world.World,
    peer: instances.Peer,
    now_ms: clock.Millis,
) -> None:
    """Record a peer; a new incarnation replaces others of its instance.

    An unknown incarnation is ignored if the table is full, or if it was
    replaced by one that is still live.
    """
    table = state.instances
    own = state.identity
    if peer.incarnation == own.incarnation:
        return
    known = table.peer_by_incarnation.get(peer.incarnation)
    if known is None and not _may_add(state, peer, now_ms):
        return
    for other in _peers_of_instance(table, peer.instance_id):
        if other.incarnation != peer.incarnation:
            table.peer_by_incarnation.pop(other.incarnation)
            table.replaced_at_ms_by_incarnation[other.incarnation] = now_ms
    table.replaced_at_ms_by_incarnation.pop(peer.incarnation, None)
    if known is not None:
        peer = peer._replace(
            has_answered=known.has_answered or peer.has_answered
        )
    table.peer_by_incarnation[peer.incarnation] = peer


def mark_answered(state: world.World, sender: str) -> None:
    """Record that a peer has replied to this incarnation."""
    known = state.instances.peer_by_incarnation.get(sender)
    if known is not None:
        state.instances.peer_by_incarnation[sender] = known._replace(
            has_answered=True,
        )


def record_pulse(
    state: world.World,
    sender: str,
    peer_state: messages.InstanceState,
    now_ms: clock.Millis,
) -> None:
    """Record the state of a known peer, and that it was heard from now."""
    known = state.instances.peer_by_incarnation.get(sender)
    if known is None:
        return
    state.instances.peer_by_incarnation[sender] = known._replace(
        heard_at_ms=now_ms,
        leaving=known.leaving or peer_state.leaving,
        confirmed=known.confirmed or peer_state.confirmed,
        note_number=max(peer_state.note_number, known.note_number),
        note_digest=(
            peer_state.note_digest
            if peer_state.note_number >= known.note_number
            else known.note_digest
        ),
        epoch=max(peer_state.epoch, known.epoch),
        highest_read=max(peer_state.highest_read, known.highest_read),
        largest_count=peer_state.largest_count,
    )


def record_message(
    state: world.World,
    sender: str,
    now_ms: clock.Millis,
) -> None:
    """Record that a known peer was heard from now."""
    known = state.instances.peer_by_incarnation.get(sender)
    if known is not None:
        state.instances.peer_by_incarnation[sender] = known._replace(
            heard_at_ms=now_ms,
        )


def remove_silent_peers(state: world.World, now_ms: clock.Millis) -> None:
    """Remove peers that have been silent for too long.

    Incarnations that were replaced long ago are removed as well.
    """
    table = state.instances
    min_heard_at_ms = now_ms - max(SILENT_PEER_KEPT_MS, max_silence_ms(state))
    silent = [
        peer.incarnation
        for peer in table.peer_by_incarnation.values()
        if peer.heard_at_ms < min_heard_at_ms
    ]
    for incarnation in silent:
        table.peer_by_incarnation.pop(incarnation)
    replaced = table.replaced_at_ms_by_incarnation
    for old, replaced_at_ms in list(replaced.items()):
        if now_ms - replaced_at_ms > SILENT_PEER_KEPT_MS:
            replaced.pop(old)


def is_live(
    state: world.World,
    peer: instances.Peer,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a peer was heard from within ``max_silence_ms``."""
    return now_ms - peer.heard_at_ms <= max_silence_ms(state)


def max_silence_ms(state: world.World) -> clock.Millis:
    """Return how long a live peer may be silent.

    At least one and a half times the time in which the heartbeats of an
    instance reach all others.
    """
    count = max(state.instances.largest_count, 1)
    rounds = math.ceil(count / REMOTE_PULSE_COUNT)
    rotation_ms = rounds * state.policy.heartbeat_ms
    return max(state.policy.peer_silence_ms, rotation_ms * 3 / 2)


def live_peers(
    state: world.World,
    now_ms: clock.Millis,
) -> list[instances.Peer]:
    """Return the live peers, sorted by incarnation."""
    by_incarnation = state.instances.peer_by_incarnation
    min_heard_at_ms = now_ms - max_silence_ms(state)
    return [
        by_incarnation[incarnation]
        for incarnation in sorted(by_incarnation)
        if by_incarnation[incarnation].heard_at_ms >= min_heard_at_ms
    ]


def peer_addresses(state: world.World) -> tuple[list[str], list[str]]:
    """Return the sorted peer addresses in this data centre and elsewhere."""
    own = state.identity
    location_by_address = {
        entry.peer_address: (entry.region, entry.data_centre)
        for entry in state.instances.listed_by_id.values()
    }
    for peer in state.instances.peer_by_incarnation.values():
        location_by_address[peer.peer_address] = (peer.region, peer.data_centre)
    location_by_address.pop(own.peer_address, None)
    own_location = (own.region, own.data_centre)
    addresses = sorted(location_by_address)
    return (
        [
            address
            for address in addresses
            if location_by_address[address] == own_location
        ],
        [
            address
            for address in addresses
            if location_by_address[address] != own_location
        ],
    )


def addresses_in_turn(addresses: list[str], turn: int, count: int) -> list[str]:
    """Return up to ``count`` addresses in round ``turn``, round robin."""
    limit = min(count, len(addresses))
    first = turn * count
    return [addresses[(first + step) % len(addresses)] for step in range(limit)]


def incarnation_at(state: world.World, address: str) -> str:
    """Return the incarnation known at a peer address, or an empty string."""
    for peer in state.instances.peer_by_incarnation.values():
        if peer.peer_address == address:
            return peer.incarnation
    return ''


def instance_id_of(incarnation: str) -> str:
    """Return the instance id that is the first part of an incarnation."""
    return incarnation.rpartition(_INCARNATION_SEPARATOR)[0]


def _peers_of_instance(
    table: instances.InstancesTable,
    instance_id: str,
) -> list[instances.Peer]:
    return [
        peer
        for peer in table.peer_by_incarnation.values()
        if peer.instance_id == instance_id
    ]


def _may_add(
    state: world.World,
    peer: instances.Peer,
    now_ms: clock.Millis,
) -> bool:
    """Return whether an unknown incarnation may be added to the table.

    It may not if the table is full, or if the incarnation was replaced and a
    live peer of the same instance is known.
    """
    table = state.instances
    if len(table.peer_by_incarnation) >= MAX_PEER_COUNT:
        return False
    if peer.incarnation not in table.replaced_at_ms_by_incarnation:
        return True
    successors = _peers_of_instance(table, peer.instance_id)
    return not any(
        is_live(state, successor, now_ms) for successor in successors
    )
