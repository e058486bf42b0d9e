"""How an exchange of rosters goes on, until both know the same.

Those who hold the same members exchange beats. Where checksums differ, marks
of all members of a data centre go one way, and only what differs comes back.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import messages, world
from oleanderstair.domain.fleet import marks, members, rosters
from oleanderstair.domain.tables import members as rows


class _Told(typing.NamedTuple):
    """What a roster tells besides the row of its sender."""

    lacking: tuple[rows.Member, ...] = ()
    whole: tuple[str, ...] = ()
    marks_by_data_centre: dict[str, tuple[messages.Mark, ...]] = {}
    newer: tuple[messages.Mark, ...] = ()
    wanted: tuple[int, ...] = ()


def reply(
    state: world.World,
    heard: messages.Roster,
    now_ms: clock.Millis,
) -> messages.Roster | None:
    """Return what the sender of a roster that was taken has to know."""
    if heard.turn is messages.Turn.ASKS:
        return _answer(state, heard, now_ms)
    told = _differences(state, heard)
    if heard.turn is messages.Turn.ANSWERS and heard.checksum_by_data_centre:
        told = _add_unequal(state, heard, told)
    if not any(told):
        return None
    composed = rosters.compose(state, now_ms, messages.Turn.ENDS)
    if told.marks_by_data_centre or told.whole:
        composed = rosters.with_checksums(state, composed, now_ms)
    return _with(composed, told)


def _answer(
    state: world.World,
    heard: messages.Roster,
    now_ms: clock.Millis,
) -> messages.Roster:
    view = members.view(state)
    own = state.identity.data_centre
    near = heard.rows[0].data_centre == own
    composed = rosters.with_beats(
        state,
        rosters.compose(state, now_ms, messages.Turn.ANSWERS),
        now_ms,
        near,
    )
    if heard.checksum == view.checksum:
        return composed
    told = _Told()
    if _knows_nobody(heard):
        told = _everything(state)
    elif _own_differs(state, heard, near):
        told = _Told(marks_by_data_centre={own: marks.of_place(state, own)})
    composed = rosters.with_checksums(state, composed, now_ms)
    return _with(composed, told)


def _knows_nobody(heard: messages.Roster) -> bool:
    sender = heard.rows[0]
    alone = {sender.data_centre: members.checksum([sender])}
    return heard.checksum_by_data_centre == alone


def _everything(state: world.World) -> _Told:
    known = members.view(state).living_by_data_centre
    return _Told(lacking=_living_rows(state, known), whole=tuple(known))


def _living_rows(
    state: world.World,
    places: typing.Iterable[str],
) -> tuple[rows.Member, ...]:
    """Return the rows of the other living instances of data centres."""
    return tuple(
        row
        for place in places
        for row in members.known_rows(state, place)
        if row.lives
    )


def _own_differs(
    state: world.World,
    heard: messages.Roster,
    near: bool,
) -> bool:
    own = state.identity.data_centre
    told = heard.checksum_by_data_centre.get(own)
    if near:
        told = heard.near_checksum
    return told != members.view(state).checksum_by_data_centre[own]


def _with(composed: messages.Roster, told: _Told) -> messages.Roster:
    """Add to a roster; its own row stays the first."""
    return composed._replace(
        rows=(*composed.rows, *told.lacking),
        whole=told.whole,
        marks_by_data_centre=told.marks_by_data_centre,
        newer=told.newer,
        wanted=told.wanted,
    )


def _differences(state: world.World, heard: messages.Roster) -> _Told:
    """Return what answers the marks of a roster, and its wishes."""
    near = heard.rows[0].data_centre == state.identity.data_centre
    found = [
        marks.compare(state, place, told)
        for place, told in heard.marks_by_data_centre.items()
    ]
    spoken = [
        known
        for known, told in zip(
            found,
            heard.marks_by_data_centre.values(),
            strict=True,
        )
        if near or not told
    ]
    return _Told(
        lacking=(
            *marks.rows_for(state, heard.wanted),
            *(row for told in spoken for row in told.lacking),
        ),
        newer=tuple(mark for told in spoken for mark in told.newer),
        wanted=tuple(key for told in found for key in told.wanted),
    )


def _add_unequal(
    state: world.World,
    heard: messages.Roster,
    told: _Told,
) -> _Told:
    """Add marks of what the sender knows otherwise, rows of the unknown.

    Between data centres each speaks for its own alone.
    """
    own = state.identity.data_centre
    speaks_for_all = heard.rows[0].data_centre == own
    theirs = heard.checksum_by_data_centre
    ours = members.view(state).checksum_by_data_centre
    settled = {*heard.marks_by_data_centre, *heard.whole}
    whole = ours.keys() - theirs.keys() - settled
    differing = [
        place
        for place in ours.keys() & theirs.keys() - settled
        if theirs[place] != ours[place] and (speaks_for_all or place == own)
    ]
    # Without marks the whole data centre comes back.
    unknown = dict.fromkeys(theirs.keys() - ours.keys() - settled, ())
    return told._replace(
        lacking=told.lacking + _living_rows(state, whole),
        whole=tuple(whole),
        marks_by_data_centre={
            **unknown,
            **{place: marks.of_place(state, place) for place in differing},
        },
    )
