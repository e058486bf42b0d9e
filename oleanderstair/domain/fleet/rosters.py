"""What a roster tells of the members, and what is taken from one."""

import itertools
import typing

from oleanderstair import clock
from oleanderstair.domain import messages, world
from oleanderstair.domain.fleet import beats, marks, members

_LONGEST_AGE_MS: typing.Final = 1_000_000_000
"""The age that is told of what never was, or was longer ago."""

_NEWS_MS: typing.Final = 1000
"""How long its own data centre may take to hear of an instance."""


def compose(
    state: world.World,
    now_ms: clock.Millis,
    turn: messages.Turn = messages.Turn.ASKS,
) -> messages.Roster:
    """Return a roster of the own row alone; it raises the beat."""
    in_force = state.routes.in_force
    state.members.beat += 1
    view = members.view(state)
    return messages.Roster(
        rows=(members.own_row(state),),
        checksum=view.checksum,
        near_checksum=view.checksum_by_data_centre[state.identity.data_centre],
        number=in_force.number if in_force else 0,
        revision=state.registry.revision,
        age_ms=age_of(now_ms, state.store.fresh_at_ms),
        turn=turn,
    )


def with_beats(
    state: world.World,
    roster: messages.Roster,
    now_ms: clock.Millis,
    near: bool = True,
) -> messages.Roster:
    """Add what one who holds the same members needs."""
    return roster._replace(
        beats=beats.pack(state) if near else b'',
        word_ages=beats.pack_ages(state, now_ms),
    )


def with_checksums(
    state: world.World,
    roster: messages.Roster,
    now_ms: clock.Millis,
) -> messages.Roster:
    """Add what one who may hold other members needs."""
    word_at_ms = state.members.word_at_ms_by_data_centre
    return roster._replace(
        checksum_by_data_centre=members.view(state).checksum_by_data_centre,
        word_age_ms_by_data_centre={
            place: int(now_ms - at_ms) for place, at_ms in word_at_ms.items()
        },
    )


def take(
    state: world.World,
    heard: messages.Roster,
    now_ms: clock.Millis,
) -> None:
    """Take the rows of a roster, and its word on who is heard of."""
    sender = heard.rows[0]
    for row in heard.rows:
        members.adopt(state, row, now_ms)
    of_places = itertools.chain(*heard.marks_by_data_centre.values())
    marks.take(state, (*of_places, *heard.newer), now_ms)
    members.hear_word(state, sender.data_centre, now_ms)
    for place, age_ms in heard.word_age_ms_by_data_centre.items():
        if age_ms < members.AWAY_SILENCE_MS:
            members.hear_word(state, place, now_ms - age_ms)
    beats.take(state, heard, now_ms)
    # Of its own data centre the sender knows best who lives.
    if sender.data_centre != state.identity.data_centre:
        _bury_unnamed(state, heard, sender.data_centre, now_ms)


def age_of(now_ms: clock.Millis, at_ms: clock.Millis) -> int:
    """Return how long ago something was, in whole ms, as it is told."""
    return int(min(now_ms - at_ms, _LONGEST_AGE_MS))


def _bury_unnamed(
    state: world.World,
    heard: messages.Roster,
    place: str,
    now_ms: clock.Millis,
) -> None:
    told = heard.marks_by_data_centre.get(place)
    if told is None and place not in heard.whole:
        return
    named = {mark.key for mark in told or ()}
    named.update(marks.key_of(row.incarnation) for row in heard.rows)
    for row in members.known_rows(state, place):
        risen_ms = now_ms - state.members.risen_at_ms[row.incarnation]
        if risen_ms < _NEWS_MS:
            continue
        if marks.key_of(row.incarnation) not in named:
            members.bury(state, row.incarnation)
