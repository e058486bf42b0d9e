"""Which other instances live: the listed ones joined with those heard."""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain import messages, world
from oleanderstair.domain.tables import instances

LOCAL_PULSES: typing.Final = 2
OUTSIDE_PULSES: typing.Final = 4
FORGET_MS: typing.Final = 60_000
PEER_LIMIT: typing.Final = 4096

_INCARNATION_MARK: typing.Final = '~'


def hear(
    state: world.World,
    row: instances.Peer,
    now_ms: clock.Millis,
) -> None:
    """Take a row about a peer; a newer incarnation replaces the older."""
    table = state.instances
    own = state.identity
    if row.incarnation == own.incarnation:
        return
    known = table.peer_by_incarnation.get(row.incarnation)
    if known is None and not _may_enter(state, row, now_ms):
        return
    for other in _rows_of_instance(table, row.instance_id):
        if other.incarnation != row.incarnation:
            table.peer_by_incarnation.pop(other.incarnation)
            table.replaced_at_ms_by_incarnation[other.incarnation] = now_ms
    table.replaced_at_ms_by_incarnation.pop(row.incarnation, None)
    if known is not None:
        row = row._replace(answered=known.answered or row.answered)
    table.peer_by_incarnation[row.incarnation] = row


def mark_answered(state: world.World, sender: str) -> None:
    """Note that a peer has answered this incarnation."""
    known = state.instances.peer_by_incarnation.get(sender)
    if known is not None:
        state.instances.peer_by_incarnation[sender] = known._replace(
            answered=True,
        )


def pulse(
    state: world.World,
    sender: str,
    standing: messages.InstanceState,
    now_ms: clock.Millis,
) -> None:
    """Take the proof of life of a peer whose place is known."""
    known = state.instances.peer_by_incarnation.get(sender)
    if known is None:
        return
    state.instances.peer_by_incarnation[sender] = known._replace(
        heard_at_ms=now_ms,
        leaving=known.leaving or standing.leaving,
        confirmed=known.confirmed or standing.confirmed,
        note_number=max(standing.note_number, known.note_number),
        note_digest=(
            standing.note_digest
            if standing.note_number >= known.note_number
            else known.note_digest
        ),
        epoch=max(standing.epoch, known.epoch),
        highest_read=max(standing.highest_read, known.highest_read),
        largest_count=standing.largest_count,
    )


def touch(
    state: world.World,
    sender: str,
    now_ms: clock.Millis,
) -> None:
    """Take any message of a known peer as proof of life."""
    known = state.instances.peer_by_incarnation.get(sender)
    if known is not None:
        state.instances.peer_by_incarnation[sender] = known._replace(
            heard_at_ms=now_ms,
        )


def forget_silent(state: world.World, now_ms: clock.Millis) -> None:
    """Drop the rows of incarnations that have been silent for long."""
    table = state.instances
    oldest_ms = now_ms - max(FORGET_MS, silence_ms(state))
    gone = [
        peer.incarnation
        for peer in table.peer_by_incarnation.values()
        if peer.heard_at_ms < oldest_ms
    ]
    for incarnation in gone:
        table.peer_by_incarnation.pop(incarnation)
    replaced = table.replaced_at_ms_by_incarnation
    for old, replaced_at_ms in list(replaced.items()):
        if now_ms - replaced_at_ms > FORGET_MS:
            replaced.pop(old)


def is_heard(
    state: world.World,
    peer: instances.Peer,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a peer gave proof of life recently."""
    return now_ms - peer.heard_at_ms <= silence_ms(state)


def silence_ms(state: world.World) -> clock.Millis:
    """Return how long a live peer may be silent, as its turn comes round."""
    count = max(state.instances.largest_count, 1)
    rounds = math.ceil(count / OUTSIDE_PULSES)
    turn_ms = rounds * state.policy.heartbeat_ms
    return max(state.policy.peer_silence_ms, turn_ms * 3 / 2)


def heard_peers(
    state: world.World,
    now_ms: clock.Millis,
) -> list[instances.Peer]:
    """Return the recently heard peers in the order of their names."""
    by_incarnation = state.instances.peer_by_incarnation
    oldest_ms = now_ms - silence_ms(state)
    return [
        by_incarnation[incarnation]
        for incarnation in sorted(by_incarnation)
        if by_incarnation[incarnation].heard_at_ms >= oldest_ms
    ]


def contacts(state: world.World) -> tuple[list[str], list[str]]:
    """Return peer addresses in the data centre and outside, in order."""
    own = state.identity
    place_by_address = {
        entry.peer_address: (entry.region, entry.data_centre)
        for entry in state.instances.listed_by_id.values()
    }
    for peer in state.instances.peer_by_incarnation.values():
        place_by_address[peer.peer_address] = (peer.region, peer.data_centre)
    place_by_address.pop(own.peer_address, None)
    here = (own.region, own.data_centre)
    addresses = sorted(place_by_address)
    return (
        [found for found in addresses if place_by_address[found] == here],
        [found for found in addresses if place_by_address[found] != here],
    )


def take_turn(addresses: list[str], turn: int, count: int) -> list[str]:
    """Return the ``count`` addresses whose turn it is."""
    wanted = min(count, len(addresses))
    first = turn * count
    return [
        addresses[(first + step) % len(addresses)] for step in range(wanted)
    ]


def incarnation_at(state: world.World, address: str) -> str:
    """Return the incarnation that was heard at a peer address, or ''."""
    for peer in state.instances.peer_by_incarnation.values():
        if peer.peer_address == address:
            return peer.incarnation
    return ''


def instance_id_of(incarnation: str) -> str:
    """Return the instance id that an incarnation begins with."""
    return incarnation.rpartition(_INCARNATION_MARK)[0]


def _rows_of_instance(
    table: instances.InstancesTable,
    instance_id: str,
) -> list[instances.Peer]:
    return [
        peer
        for peer in table.peer_by_incarnation.values()
        if peer.instance_id == instance_id
    ]


def _may_enter(
    state: world.World,
    row: instances.Peer,
    now_ms: clock.Millis,
) -> bool:
    """Refuse a late word of a replaced incarnation while its heir lives."""
    table = state.instances
    if len(table.peer_by_incarnation) >= PEER_LIMIT:
        return False
    if row.incarnation not in table.replaced_at_ms_by_incarnation:
        return True
    heirs = _rows_of_instance(table, row.instance_id)
    return not any(is_heard(state, heir, now_ms) for heir in heirs)
