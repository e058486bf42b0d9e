"""What a roster tells of the members, and what is taken from one."""

import typing

from oleanderstair import clock
from oleanderstair.domain import messages, world
from oleanderstair.domain.fleet import members
from oleanderstair.domain.tables import members as rows

_LONGEST_AGE_MS: typing.Final = 1_000_000_000
"""The age that is told of what never was, or was longer ago."""


def compose(
    state: world.World,
    now_ms: clock.Millis,
    places: typing.Collection[str] = (),
    turn: messages.Turn = messages.Turn.ASKS,
) -> messages.Roster:
    """Return a roster of the own row and of all rows of data centres.

    It raises the beat.
    """
    in_force = state.routes.in_force
    state.members.beat += 1
    return messages.Roster(
        rows=(members.own_row(state), *_rows_of(state, places)),
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
        whole=tuple(places),
    )


def _rows_of(
    state: world.World,
    places: typing.Collection[str],
) -> tuple[rows.Member, ...]:
    """Return the rows of other instances in these data centres."""
    own = state.identity.incarnation
    return tuple(
        row
        for incarnation, row in state.members.by_incarnation.items()
        if row.data_centre in places and incarnation != own
    )


def answer(
    state: world.World,
    now_ms: clock.Millis,
    sender: rows.Member,
    lacking: list[str],
    turn: messages.Turn,
) -> messages.Roster:
    """Return the roster that goes on with an exchange."""
    own = state.identity.data_centre
    asked = turn is messages.Turn.ASKS
    if asked and sender.data_centre == own and own not in lacking:
        # Beats are exchanged whatever the checksums say.
        lacking = [own, *lacking]
    next_turn = messages.Turn.ANSWERS if asked else messages.Turn.ENDS
    return compose(state, now_ms, lacking, next_turn)


def lacking_places(
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


def take(
    state: world.World,
    heard: messages.Roster,
    now_ms: clock.Millis,
) -> None:
    """Take the rows of a roster, and its word on who is heard of."""
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


def age_of(now_ms: clock.Millis, at_ms: clock.Millis) -> int:
    """Return how long ago something was, in whole ms, as it is told."""
    return int(min(now_ms - at_ms, _LONGEST_AGE_MS))


def _bury_unnamed(
    state: world.World,
    heard: messages.Roster,
    place: str,
) -> None:
    named = {row.incarnation for row in heard.rows}
    for incarnation, row in tuple(state.members.by_incarnation.items()):
        if row.data_centre == place and incarnation not in named:
            members.bury(state, incarnation)
