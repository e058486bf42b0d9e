"""Periodic exchange of rosters, which keeps the members of the fleet in sync.

Instances join through seed addresses. Within a data centre each instance
exchanges heartbeat counters and checksums with one or two others per round.
Between data centres, two delegates of each compare checksums. Marks and rows
are sent only where the checksums differ.
"""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import (
    exchange_partners,
    member_list,
    roster_replies,
    rosters,
)

ROUND_PERIOD_MS: typing.Final = 1000
"""The round interval in a small data centre; each round queries one member."""

LARGE_ROUND_PERIOD_MS: typing.Final = 500
"""The round interval in a large data centre, where updates need more hops;
each round queries two members."""

SUSPECT_AFTER_MS: typing.Final = 1300
"""The time without a higher beat after which a member is queried directly."""

REVIEW_PERIOD_MS: typing.Final = 250
"""How often the members are checked for beats that don't rise."""

REMOTE_ROUND_PERIOD_MS: typing.Final = 2000
"""The interval at which a delegate queries other data centres, while there
are no more than ``_BASE_DATA_CENTRE_COUNT`` of them."""

LOST_CONTACT_PERIOD_MS: typing.Final = 1000
"""How often one lost address is queried."""

JOIN_PERIOD_MS: typing.Final = 50
"""The interval at which the seeds are queried while no other member is known.

After ``_QUICK_JOIN_COUNT`` rosters it is ``LOST_CONTACT_PERIOD_MS``."""

MIN_PAUSE_MS: typing.Final = 1000
"""The time between two ticks above which this process was paused."""

_BASE_DATA_CENTRE_COUNT: typing.Final = 4
"""The number of data centres up to which the remote interval stays the same."""

_LARGE_LOCAL_COUNT: typing.Final = 8
"""The number of other local members from which a data centre is large."""

_MAX_SUSPECTS_QUERIED: typing.Final = 3
"""The most silent members that are queried in one review."""

_QUICK_JOIN_COUNT: typing.Final = 60
"""The number of rosters sent after which seeds are queried less often."""


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Review the members and send the queries that are due."""
    table = state.members
    if now_ms - table.last_tick_at_ms > MIN_PAUSE_MS:
        member_list.reset_silence_timers(state, now_ms)
    table.last_tick_at_ms = now_ms
    sent = announce_standing(state, now_ms)
    if now_ms >= table.review_due_ms:
        table.review_due_ms = now_ms + REVIEW_PERIOD_MS
        member_list.review_members(state, now_ms)
        sent.extend(_query_suspects(state, now_ms))
    if not _has_other_members(state):
        return [*sent, *_query_seeds(state, now_ms)]
    return [*sent, *_run_round(state, now_ms)]


def _run_round(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Query local members, remote delegates and a lost address when due."""
    table = state.members
    if now_ms < table.round_due_ms:
        return []
    is_large = len(member_list.other_local_members(state)) >= _LARGE_LOCAL_COUNT
    round_ms = LARGE_ROUND_PERIOD_MS if is_large else ROUND_PERIOD_MS
    table.round_due_ms = now_ms + round_ms
    return [
        *_query_local_partners(state, now_ms, 1 + is_large),
        *_query_remote_delegates(state, now_ms),
        *_query_lost_address(state, now_ms),
    ]


def _query_suspects(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Query silent local members, before they are marked dead."""
    rose_at_ms = state.members.beat_rose_at_ms
    suspects = [
        row
        for row in member_list.other_local_members(state)
        if now_ms - rose_at_ms[row.incarnation] > SUSPECT_AFTER_MS
    ]
    if not suspects:
        return []
    suspects.sort(key=lambda row: rose_at_ms[row.incarnation])
    query = _local_query(state, now_ms)
    return [
        actions.SendPeer(row.incarnation, row.peer_address, query)
        for row in suspects[:_MAX_SUSPECTS_QUERIED]
    ]


def announce_standing(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send this instance's row at once if its standing has changed."""
    table = state.members
    standing = member_list.own_standing(state)
    if standing is table.announced_standing:
        return []
    table.announced_standing = standing
    return announce_own_row(state, now_ms)


def announce_own_row(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send this instance's row to all local members and remote delegates."""
    state.members.version += 1
    roster = rosters.compose_roster(state, now_ms, messages.Turn.ENDS)
    return [
        actions.SendPeer(row.incarnation, row.peer_address, roster)
        for row in (
            *member_list.other_local_members(state),
            *exchange_partners.remote_delegates(state),
        )
    ]


def on_stop(
    state: world.World,
    event: events.StopRequested,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Announce at once that this instance is leaving."""
    return announce_standing(state, now_ms)


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Apply a roster and reply with what its sender lacks.

    A roster is dropped and counted if its first row is not the sender's.
    """
    roster = event.message
    if not isinstance(roster, messages.Roster) or not roster.rows:
        return []
    sender = roster.rows[0]
    if sender.incarnation != event.sender:
        return [actions.Count('peer-dropped', 'unsigned')]
    rosters.apply_roster(state, roster, now_ms)
    reply = roster_replies.compose_reply(state, roster, now_ms)
    if reply is None:
        return []
    return [
        actions.SendPeer(sender.incarnation, sender.peer_address, reply),
    ]


def _local_query(
    state: world.World,
    now_ms: clock.Millis,
) -> messages.Roster:
    """Return a query for a local member, which usually has the same members."""
    query = rosters.compose_roster(state, now_ms)
    return rosters.add_beats(state, query, now_ms)


def _full_query(state: world.World, now_ms: clock.Millis) -> messages.Roster:
    """Return a query for a receiver that may have other members."""
    query = rosters.compose_roster(state, now_ms)
    return rosters.add_checksums(state, query, now_ms)


def _query_local_partners(
    state: world.World,
    now_ms: clock.Millis,
    count: int,
) -> list[actions.Action]:
    member_by_incarnation = {
        row.incarnation: row for row in member_list.other_local_members(state)
    }
    query = _local_query(state, now_ms)
    return [
        actions.SendPeer(
            incarnation,
            member_by_incarnation[incarnation].peer_address,
            query,
        )
        for incarnation in exchange_partners.choose_local_partners(
            state, member_by_incarnation, count
        )
    ]


def _query_remote_delegates(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Query other data centres if this instance is a delegate.

    If the local checksum has changed since the last query, one delegate of
    each data centre is queried, otherwise that of one random data centre.
    """
    table = state.members
    if now_ms < table.remote_round_due_ms:
        return []
    table.remote_round_due_ms = now_ms + _remote_round_ms(state)
    if not exchange_partners.is_delegate(state):
        return []
    remote = exchange_partners.remote_delegates(state, 1)
    own_data_centre = state.identity.data_centre
    checksum = member_list.current_view(state).checksum_by_data_centre[
        own_data_centre
    ]
    if remote and checksum == table.compared_checksum:
        remote = [state.rng.choice(remote)]
    table.compared_checksum = checksum
    return [
        actions.SendPeer(
            row.incarnation,
            row.peer_address,
            _remote_query(state, row.data_centre, now_ms),
        )
        for row in remote
    ]


def _remote_query(
    state: world.World,
    data_centre: str,
    now_ms: clock.Millis,
) -> messages.Roster:
    """Return a query for a delegate of another data centre."""
    composed = rosters.compose_roster(state, now_ms)
    query = rosters.add_beats(state, composed, now_ms, is_local=False)
    checksum_by_data_centre = member_list.current_view(
        state
    ).checksum_by_data_centre
    own_data_centre = state.identity.data_centre
    return query._replace(
        checksum_by_data_centre={
            own_data_centre: checksum_by_data_centre[own_data_centre],
            data_centre: checksum_by_data_centre[data_centre],
        },
    )


def _remote_round_ms(state: world.World) -> clock.Millis:
    """Return the interval between two queries to other data centres.

    It shrinks with the logarithm of the number of data centres, as an update
    needs that many hops to reach all of them.
    """
    count = len(member_list.current_view(state).live_by_data_centre)
    steps = math.log2(max(count, _BASE_DATA_CENTRE_COUNT))
    return REMOTE_ROUND_PERIOD_MS * math.log2(_BASE_DATA_CENTRE_COUNT) / steps


def _query_seeds(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Query all lost addresses, the seeds included, when due.

    Used while no other member is known.
    """
    table = state.members
    if now_ms < table.lost_contact_due_ms:
        return []
    table.lost_contact_due_ms = now_ms + JOIN_PERIOD_MS
    if table.beat > _QUICK_JOIN_COUNT:
        table.lost_contact_due_ms = now_ms + LOST_CONTACT_PERIOD_MS
    query = _full_query(state, now_ms)
    return [
        actions.SendPeer('', address, query)
        for address in member_list.lost_addresses(state, include_remote=True)
    ]


def _has_other_members(state: world.World) -> bool:
    live_by_data_centre = member_list.current_view(state).live_by_data_centre
    return len(live_by_data_centre) > 1 or bool(
        member_list.other_local_members(state)
    )


def _query_lost_address(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Query a random lost address when due, as its instance may be back."""
    table = state.members
    if now_ms < table.lost_contact_due_ms:
        return []
    table.lost_contact_due_ms = now_ms + LOST_CONTACT_PERIOD_MS
    lost = member_list.lost_addresses(
        state, include_remote=exchange_partners.is_delegate(state)
    )
    if not lost:
        return []
    query = _full_query(state, now_ms)
    return [actions.SendPeer('', state.rng.choice(lost), query)]
