"""When an instance that starts with nothing may take its first call.

Its note must be confirmed: by one peer that is itself confirmed, or, where
the whole fleet starts cold, by a majority of the listed instances, all of
them fresh, at the highest head that any of them has read. An instance that
is listed alone is its own majority, once the list has stood still and it
has read the head.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.fleet import live
from oleanderstair.domain.tables import catalogue, instances

SETTLED_READS: typing.Final = 2
"""For how many list periods the list must stand still at a cold start."""


class Verdict(typing.NamedTuple):
    """By whom the note is confirmed, or what is still waited for."""

    confirmed_by: str = ''
    waits_for: str = ''


def judge(state: world.World, now_ms: clock.Millis) -> Verdict:
    """Return whether the note in force may be trusted for calls."""
    in_force = state.catalogue.in_force
    if in_force.number and state.policy.confirm_without_peers:
        return Verdict('settings, confirm_without_peers')
    answered = [
        peer for peer in live.heard_peers(state, now_ms) if peer.answered
    ]
    confirmed = [peer for peer in answered if _vouches(peer)]
    if confirmed:
        return _judge_by_confirmed(in_force, confirmed)
    return _judge_cold_start(state, answered, now_ms)


def _vouches(peer: instances.Peer) -> bool:
    # A place that was heard of from others comes without a note number.
    return peer.confirmed and peer.note_number > 0


def _judge_by_confirmed(
    in_force: catalogue.Catalogue,
    confirmed: list[instances.Peer],
) -> Verdict:
    highest = max(peer.note_number for peer in confirmed)
    if in_force.number > highest:
        return Verdict(confirmed[0].incarnation)
    own_digest = catalogue.short_digest(in_force.digest)
    for peer in confirmed:
        if peer.note_number == in_force.number == highest:
            if peer.note_digest == own_digest:
                return Verdict(peer.incarnation)
    return Verdict(waits_for=f'note {highest} from a confirmed peer')


def _judge_cold_start(
    state: world.World,
    answered: list[instances.Peer],
    now_ms: clock.Millis,
) -> Verdict:
    table = state.instances
    listed = {
        entry.instance_id
        for entry in table.listed_by_id.values()
        if not entry.leaving
    }
    if not listed:
        return Verdict(waits_for='a confirmed peer, or the instance list')
    settle_ms = SETTLED_READS * state.policy.list_read_ms
    if now_ms - table.listed_since_ms < settle_ms:
        return Verdict(waits_for='a confirmed peer, or a list that is stable')
    fresh = {
        peer.instance_id: max(peer.highest_read, peer.note_number)
        for peer in answered
        if peer.highest_read and not peer.confirmed
    }
    own_id = state.identity.instance_id
    if state.catalogue.highest_read:
        fresh[own_id] = state.catalogue.highest_read
    present = len(fresh.keys() & listed)
    needed = len(listed) // 2 + 1
    if present < needed:
        return Verdict(
            waits_for=(
                'a confirmed peer, or a majority of fresh instances that '
                f'have read the head: {present} of {needed}'
            ),
        )
    highest = max(fresh.values())
    if state.catalogue.in_force.number < highest:
        return Verdict(waits_for=f'note {highest}, the highest head read')
    return Verdict(f'cold start with {present} of {len(listed)} listed')
