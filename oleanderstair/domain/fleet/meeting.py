"""Instances meet by seeds, and tell each other who lives.

Inside a data centre each exchanges beats with one or two others in every
round, and checksums. Between data centres two delegates of each compare
checksums. What is more than beats crosses only where these differ.
"""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import members, partners, replies, rosters

ROUND_MS: typing.Final = 1000
"""How often an instance asks one other of a small data centre."""

LARGE_ROUND_MS: typing.Final = 500
"""How often it asks two others of a large one, where news travel longer."""

SUSPECT_MS: typing.Final = 1300
"""How long a beat may stand still before the instance itself is asked."""

REVIEW_MS: typing.Final = 250
"""How often the beats of the data centre are looked at."""

AWAY_ROUND_MS: typing.Final = 2000
"""How often a delegate of few data centres compares with another."""

GREET_MS: typing.Final = 1000
"""How often one of the lost is greeted."""

JOIN_MS: typing.Final = 50
"""How often seeds are asked while nobody else is known to live."""

SLEPT_MS: typing.Final = 1000
"""How long between two ticks means that this instance slept."""

_FEW_DATA_CENTRES: typing.Final = 4
"""Up to how many data centres there are few."""

_SMALL_DATA_CENTRE: typing.Final = 8
"""From how many neighbours on a data centre is large."""

_SUSPECTS_AT_ONCE: typing.Final = 3
"""How many silent neighbours are asked in one review."""

_QUICK_JOINS: typing.Final = 60
"""After how many rosters sent the seeds are asked less often."""


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Exchange rows with those whose turn it is; greet the lost."""
    table = state.members
    if now_ms - table.last_tick_ms > SLEPT_MS:
        members.excuse_silence(state, now_ms)
    table.last_tick_ms = now_ms
    told = announce(state, now_ms)
    if now_ms >= table.review_due_ms:
        table.review_due_ms = now_ms + REVIEW_MS
        members.review(state, now_ms)
        told.extend(_ask_suspects(state, now_ms))
    if not _knows_others(state):
        return [*told, *_join(state, now_ms)]
    return [*told, *_take_rounds(state, now_ms)]


def _take_rounds(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    table = state.members
    if now_ms < table.round_due_ms:
        return []
    large = len(members.neighbours(state)) >= _SMALL_DATA_CENTRE
    round_ms = LARGE_ROUND_MS if large else ROUND_MS
    table.round_due_ms = now_ms + round_ms
    return [
        *_ask_neighbours(state, now_ms, 1 + large),
        *_ask_away(state, now_ms),
        *_greet_lost(state, now_ms),
    ]


def _ask_suspects(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Ask those of whom nothing was heard, before they are buried."""
    risen_at_ms = state.members.risen_at_ms
    suspects = [
        row
        for row in members.neighbours(state)
        if now_ms - risen_at_ms[row.incarnation] > SUSPECT_MS
    ]
    if not suspects:
        return []
    suspects.sort(key=lambda row: risen_at_ms[row.incarnation])
    asked = _near_question(state, now_ms)
    return [
        actions.SendPeer(row.incarnation, row.peer_address, asked)
        for row in suspects[:_SUSPECTS_AT_ONCE]
    ]


def announce(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Tell all who have to know at once that this instance has changed."""
    table = state.members
    standing = members.standing(state)
    if standing is table.told_standing:
        return []
    table.told_standing = standing
    return tell_own(state, now_ms)


def tell_own(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send the own row to the data centre and to the others' delegates."""
    state.members.version += 1
    told = rosters.compose(state, now_ms, messages.Turn.ENDS)
    return [
        actions.SendPeer(row.incarnation, row.peer_address, told)
        for row in (*members.neighbours(state), *partners.away_delegates(state))
    ]


def on_stop(
    state: world.World,
    event: events.StopRequested,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Tell at once that this instance leaves."""
    return announce(state, now_ms)


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a roster, and give back what its sender lacks."""
    heard = event.message
    if not isinstance(heard, messages.Roster) or not heard.rows:
        return []
    sender = heard.rows[0]
    if sender.incarnation != event.sender:
        return [actions.Count('peer-dropped', 'unsigned')]
    rosters.take(state, heard, now_ms)
    reply = replies.reply(state, heard, now_ms)
    if reply is None:
        return []
    return [
        actions.SendPeer(sender.incarnation, sender.peer_address, reply),
    ]


def _near_question(
    state: world.World,
    now_ms: clock.Millis,
) -> messages.Roster:
    """Return what a neighbour is asked, which mostly knows the same."""
    asked = rosters.compose(state, now_ms)
    return rosters.with_beats(state, asked, now_ms)


def _question(state: world.World, now_ms: clock.Millis) -> messages.Roster:
    """Return what others are asked, of whom that isn't known."""
    asked = rosters.compose(state, now_ms)
    return rosters.with_checksums(state, asked, now_ms)


def _ask_neighbours(
    state: world.World,
    now_ms: clock.Millis,
    count: int,
) -> list[actions.Action]:
    near = {row.incarnation: row for row in members.neighbours(state)}
    asked = _near_question(state, now_ms)
    return [
        actions.SendPeer(incarnation, near[incarnation].peer_address, asked)
        for incarnation in partners.next_turns(state, near, count)
    ]


def _ask_away(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Compare with other data centres, as one of two delegates.

    With all of them where the own has changed, else with one.
    """
    table = state.members
    if now_ms < table.away_due_ms:
        return []
    table.away_due_ms = now_ms + _away_round_ms(state)
    if not partners.is_delegate(state):
        return []
    away = partners.away_delegates(state, 1)
    own = state.identity.data_centre
    checksum = members.view(state).checksum_by_data_centre[own]
    if away and checksum == table.compared_checksum:
        away = [state.rng.choice(away)]
    table.compared_checksum = checksum
    return [
        actions.SendPeer(
            row.incarnation,
            row.peer_address,
            _away_question(state, row.data_centre, now_ms),
        )
        for row in away
    ]


def _away_question(
    state: world.World,
    place: str,
    now_ms: clock.Millis,
) -> messages.Roster:
    """Return what a delegate asks another data centre's."""
    composed = rosters.compose(state, now_ms)
    asked = rosters.with_beats(state, composed, now_ms, near=False)
    ours = members.view(state).checksum_by_data_centre
    own = state.identity.data_centre
    return asked._replace(
        checksum_by_data_centre={own: ours[own], place: ours[place]},
    )


def _away_round_ms(state: world.World) -> clock.Millis:
    """Return the time between two comparisons; news travel log-many."""
    count = len(members.view(state).living_by_data_centre)
    steps = math.log2(max(count, _FEW_DATA_CENTRES))
    return AWAY_ROUND_MS * math.log2(_FEW_DATA_CENTRES) / steps


def _join(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Ask the seeds while nobody else is known to live."""
    table = state.members
    if now_ms < table.greet_due_ms:
        return []
    table.greet_due_ms = now_ms + JOIN_MS
    if table.beat > _QUICK_JOINS:
        table.greet_due_ms = now_ms + GREET_MS
    asked = _question(state, now_ms)
    return [
        actions.SendPeer('', address, asked)
        for address in members.lost_addresses(state, also_away=True)
    ]


def _knows_others(state: world.World) -> bool:
    living = members.view(state).living_by_data_centre
    return len(living) > 1 or bool(members.neighbours(state))


def _greet_lost(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Greet one of the lost now and then: it may have come back."""
    table = state.members
    if now_ms < table.greet_due_ms:
        return []
    table.greet_due_ms = now_ms + GREET_MS
    lost = members.lost_addresses(state, also_away=partners.is_delegate(state))
    if not lost:
        return []
    asked = _question(state, now_ms)
    return [actions.SendPeer('', state.rng.choice(lost), asked)]
