"""Rows in short, which tell two instances how the rows they hold differ."""

import functools
import hashlib
import typing

from oleanderstair import clock
from oleanderstair.domain import messages, world
from oleanderstair.domain.fleet import members
from oleanderstair.domain.tables import members as rows

_KEY_BYTES: typing.Final = 8


class Difference(typing.NamedTuple):
    """What another lacks of a data centre, and what is lacking here.

    Whole rows and marks of theirs, then keys of ours.
    """

    lacking: tuple[rows.Member, ...] = ()
    newer: tuple[messages.Mark, ...] = ()
    wanted: tuple[int, ...] = ()


@functools.lru_cache(maxsize=members.MEMBER_LIMIT)
def key_of(incarnation: str) -> int:
    """Return the number that stands for an incarnation."""
    hashed = hashlib.blake2b(incarnation.encode(), digest_size=_KEY_BYTES)
    return int.from_bytes(hashed.digest())


def of_place(state: world.World, place: str) -> tuple[messages.Mark, ...]:
    """Return the marks of a data centre, the dead and oneself among them."""
    known = members.known_rows(state, place)
    if place == state.identity.data_centre:
        known.append(members.own_row(state))
    return tuple(map(_mark, known))


def take(
    state: world.World,
    told: typing.Sequence[messages.Mark],
    now_ms: clock.Millis,
) -> None:
    """Renew the known rows for which there are newer marks."""
    if not told:
        return
    own = members.own_row(state)
    row_by_key = {key_of(own.incarnation): own}
    for incarnation, row in state.members.by_incarnation.items():
        row_by_key[key_of(incarnation)] = row
    for mark in told:
        known = row_by_key.get(mark.key)
        if known is not None:
            renewed = known._replace(
                beat=mark.beat,
                standing=mark.standing,
                failing=mark.failing,
            )
            members.adopt(state, renewed, now_ms)


def compare(
    state: world.World,
    place: str,
    told: typing.Iterable[messages.Mark],
) -> Difference:
    """Return how the rows of a data centre differ from another's marks.

    Beats alone count for the own data centre only.
    """
    theirs = {mark.key: mark for mark in told}
    theirs.pop(key_of(state.identity.incarnation), None)
    beats_count = place == state.identity.data_centre
    lacking = []
    newer = []
    for row in members.known_rows(state, place):
        mark = theirs.pop(key_of(row.incarnation), None)
        if mark is None and row.lives:
            lacking.append(row)
        elif mark is not None and _is_newer(row, mark, beats_count):
            newer.append(_mark(row))
    return Difference(
        lacking=tuple(lacking),
        newer=tuple(newer),
        wanted=tuple(
            mark.key
            for mark in theirs.values()
            if mark.standing is not rows.Standing.DEAD
        ),
    )


def rows_for(
    state: world.World,
    keys: typing.Collection[int],
) -> tuple[rows.Member, ...]:
    """Return the rows of other instances for which keys stand."""
    if not keys:
        return ()
    return tuple(
        row
        for incarnation, row in state.members.by_incarnation.items()
        if key_of(incarnation) in keys
    )


def _mark(row: rows.Member) -> messages.Mark:
    key = key_of(row.incarnation)
    return messages.Mark(key, row.beat, row.standing, row.failing)


def _is_newer(
    row: rows.Member,
    mark: messages.Mark,
    beats_count: bool,
) -> bool:
    if (row.beat, row.standing) <= (mark.beat, mark.standing):
        return False
    changed = (row.standing, row.failing) != (mark.standing, mark.failing)
    return changed or beats_count
