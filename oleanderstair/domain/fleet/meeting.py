"""Instances meet by seeds, and tell each other who lives.

Inside a data centre each exchanges all rows with one or two others in every
round. Between data centres two delegates of each compare checksums, and
rows cross only where these differ.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import members
from oleanderstair.domain.tables import members as rows

ROUND_MS: typing.Final = 1000
"""How often an instance asks one other of a small data centre."""

LARGE_ROUND_MS: typing.Final = 500
"""How often it asks two others of a large one, where news travel longer."""

SUSPECT_MS: typing.Final = 1300
"""How long a beat may stand still before the instance itself is asked."""

REVIEW_MS: typing.Final = 250
AWAY_ROUND_MS: typing.Final = 2000
GREET_MS: typing.Final = 1000
JOIN_MS: typing.Final = 50
"""How often seeds are asked while nobody else is known to live."""

SLEPT_MS: typing.Final = 1000
"""How long between two ticks means that this instance slept."""

DELEGATES: typing.Final = 2

_SMALL_DATA_CENTRE: typing.Final = 8
_SUSPECTS_AT_ONCE: typing.Final = 3
_QUICK_JOINS: typing.Final = 60
_LONGEST_AGE_MS: typing.Final = 1_000_000_000
_DELEGATE_KEY: typing.Final = 'delegate'


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
    asked = _roster(state, now_ms, (), ())
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
    told = _roster(state, now_ms, (), (), messages.Turn.ENDS)
    return [
        actions.SendPeer(row.incarnation, row.peer_address, told)
        for row in (*members.neighbours(state), *_away(state))
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
    _take(state, heard, now_ms)
    if heard.turn is messages.Turn.ENDS:
        return []
    lacking = _lacking(state, sender, heard)
    if heard.turn is messages.Turn.ANSWERS and not lacking:
        return []
    return [
        actions.SendPeer(
            sender.incarnation,
            sender.peer_address,
            _answer(state, now_ms, sender, lacking, heard.turn),
        ),
    ]


def _take(
    state: world.World,
    heard: messages.Roster,
    now_ms: clock.Millis,
) -> None:
    sender = heard.rows[0]
    for row in heard.rows:
        members.adopt(state, row, now_ms)
    members.hear_word(state, sender.data_centre, now_ms)
    for place, age_ms in heard.word_age_ms_by_data_centre.items():
        if age_ms < members.AWAY_SILENCE_MS:
            members.hear_word(state, place, now_ms - age_ms)
    # Of its own data centre the sender knows best who lives.
    if sender.data_centre == state.identity.data_centre:
        return
    if sender.data_centre in heard.whole:
        _bury_unnamed(state, heard, sender.data_centre)


def _bury_unnamed(
    state: world.World,
    heard: messages.Roster,
    place: str,
) -> None:
    named = {row.incarnation for row in heard.rows}
    for incarnation, row in tuple(state.members.by_incarnation.items()):
        if row.data_centre == place and incarnation not in named:
            members.bury(state, incarnation)


def _lacking(
    state: world.World,
    sender: rows.Member,
    heard: messages.Roster,
) -> list[str]:
    """Return the data centres of which the sender knows something else.

    Between data centres each speaks for its own alone, but for one who asks
    without knowing others yet.
    """
    theirs = heard.checksum_by_data_centre
    own = state.identity.data_centre
    all_told = sender.data_centre == own or len(theirs) == 1
    return [
        place
        for place, checksum in members.view(
            state,
        ).checksum_by_data_centre.items()
        if theirs.get(place) != checksum
        and (all_told or place == own or place not in theirs)
    ]


def _answer(
    state: world.World,
    now_ms: clock.Millis,
    sender: rows.Member,
    lacking: list[str],
    turn: messages.Turn,
) -> messages.Roster:
    own = state.identity.data_centre
    asked = turn is messages.Turn.ASKS
    if asked and sender.data_centre == own and own not in lacking:
        # Beats are exchanged whatever the checksums say.
        lacking = [own, *lacking]
    answer = messages.Turn.ANSWERS if asked else messages.Turn.ENDS
    return _roster(state, now_ms, _rows_of(state, lacking), lacking, answer)


def _ask_neighbours(
    state: world.World,
    now_ms: clock.Millis,
    count: int,
) -> list[actions.Action]:
    near = {row.incarnation: row for row in members.neighbours(state)}
    own = state.identity.data_centre
    asked = _roster(state, now_ms, _rows_of(state, [own]), [own])
    return [
        actions.SendPeer(incarnation, near[incarnation].peer_address, asked)
        for incarnation in _next_turns(state, near, count)
    ]


def _next_turns(
    state: world.World,
    near: typing.Collection[str],
    count: int,
) -> list[str]:
    """Return those whose turn it is; a turn goes round in a drawn order."""
    turns = state.members.turns
    chosen: list[str] = []
    while near and len(chosen) < min(count, len(near)):
        if not turns:
            turns.extend(sorted(near))
            state.rng.shuffle(turns)
        turn = turns.pop()
        if turn in near and turn not in chosen:
            chosen.append(turn)
    return chosen


def _ask_away(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Compare with another data centre, as one of two delegates."""
    table = state.members
    if now_ms < table.away_due_ms:
        return []
    table.away_due_ms = now_ms + AWAY_ROUND_MS
    if not is_delegate(state):
        return []
    away = _away(state, 1)
    if not away:
        return []
    chosen = state.rng.choice(away)
    asked = _roster(state, now_ms, (), ())
    return [actions.SendPeer(chosen.incarnation, chosen.peer_address, asked)]


def is_delegate(state: world.World) -> bool:
    """Return whether this instance compares with other data centres."""
    own = state.identity
    here = members.view(state).living_by_data_centre[own.data_centre]
    chosen = members.delegates(here, _DELEGATE_KEY, DELEGATES)
    return any(row.incarnation == own.incarnation for row in chosen)


def _away(
    state: world.World,
    count: int = DELEGATES,
) -> list[rows.Member]:
    """Return up to ``count`` delegates of each other data centre."""
    found: list[rows.Member] = []
    for place, living in members.view(state).living_by_data_centre.items():
        if place == state.identity.data_centre:
            continue
        chosen = members.delegates(living, _DELEGATE_KEY, DELEGATES)
        found.extend(state.rng.sample(chosen, min(count, len(chosen))))
    return found


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
    asked = _roster(state, now_ms, (), ())
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
    lost = members.lost_addresses(state, also_away=is_delegate(state))
    if not lost:
        return []
    asked = _roster(state, now_ms, (), ())
    return [actions.SendPeer('', state.rng.choice(lost), asked)]


def age_of(now_ms: clock.Millis, at_ms: clock.Millis) -> int:
    """Return how long ago something was, in whole ms, as it is told."""
    return int(min(now_ms - at_ms, _LONGEST_AGE_MS))


def _rows_of(
    state: world.World,
    places: typing.Collection[str],
) -> tuple[rows.Member, ...]:
    own = state.identity.incarnation
    return tuple(
        row
        for incarnation, row in state.members.by_incarnation.items()
        if row.data_centre in places and incarnation != own
    )


def _roster(
    state: world.World,
    now_ms: clock.Millis,
    told: tuple[rows.Member, ...],
    whole: typing.Iterable[str],
    turn: messages.Turn = messages.Turn.ASKS,
) -> messages.Roster:
    in_force = state.routes.in_force
    state.members.beat += 1
    return messages.Roster(
        rows=(members.own_row(state), *told),
        checksum_by_data_centre=members.view(state).checksum_by_data_centre,
        word_age_ms_by_data_centre={
            place: int(now_ms - word_at_ms)
            for place, word_at_ms in (
                state.members.word_at_ms_by_data_centre.items()
            )
        },
        number=in_force.number if in_force else 0,
        revision=state.registry.revision,
        age_ms=age_of(now_ms, state.store.fresh_at_ms),
        turn=turn,
        whole=tuple(whole),
    )
