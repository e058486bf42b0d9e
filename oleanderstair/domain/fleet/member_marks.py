"""Compare member rows by marks, which hold only the fields that change."""

import functools
import hashlib
import typing

from oleanderstair import clock
from oleanderstair.domain import messages, world
from oleanderstair.domain.fleet import member_list
from oleanderstair.domain.tables import members

_KEY_BYTES: typing.Final = 8


class RowDifference(typing.NamedTuple):
    """How the rows of a data centre differ between two instances.

    ``missing_rows`` are rows that the other instance lacks, ``newer_marks``
    the marks of rows that are newer here, and ``wanted_keys`` the keys of
    live rows that are unknown here.
    """

    missing_rows: tuple[members.Member, ...] = ()
    newer_marks: tuple[messages.Mark, ...] = ()
    wanted_keys: tuple[int, ...] = ()


@functools.lru_cache(maxsize=member_list.MAX_MEMBER_COUNT)
def incarnation_key(incarnation: str) -> int:
    """Return the hash of an incarnation that identifies its row in a mark."""
    hashed = hashlib.blake2b(incarnation.encode(), digest_size=_KEY_BYTES)
    return int.from_bytes(hashed.digest())


def marks_of_data_centre(
    state: world.World, data_centre: str
) -> tuple[messages.Mark, ...]:
    """Return the marks of all known members of a data centre.

    Dead members are included, and this instance in its own data centre.
    """
    known = member_list.rows_of_other_members(state, data_centre)
    if data_centre == state.identity.data_centre:
        known.append(member_list.own_row(state))
    return tuple(map(_mark_of, known))


def apply_marks(
    state: world.World,
    received: typing.Sequence[messages.Mark],
    now_ms: clock.Millis,
) -> None:
    """Update known rows from marks that are newer."""
    if not received:
        return
    own = member_list.own_row(state)
    row_by_key = {incarnation_key(own.incarnation): own}
    for incarnation, row in state.members.member_by_incarnation.items():
        row_by_key[incarnation_key(incarnation)] = row
    for mark in received:
        known = row_by_key.get(mark.key)
        if known is not None:
            updated = known._replace(
                beat=mark.beat,
                standing=mark.standing,
                failing=mark.failing,
            )
            member_list.adopt_row(state, updated, now_ms)


def compare_marks(
    state: world.World,
    data_centre: str,
    received: typing.Iterable[messages.Mark],
) -> RowDifference:
    """Compare the rows of a data centre with another instance's marks.

    In this instance's data centre a higher beat is enough for a newer mark;
    elsewhere the standing or the failing flag must differ as well.
    """
    mark_by_key = {mark.key: mark for mark in received}
    mark_by_key.pop(incarnation_key(state.identity.incarnation), None)
    compare_beats = data_centre == state.identity.data_centre
    missing = []
    newer = []
    for row in member_list.rows_of_other_members(state, data_centre):
        mark = mark_by_key.pop(incarnation_key(row.incarnation), None)
        if mark is None and row.is_live:
            missing.append(row)
        elif mark is not None and _is_newer(row, mark, compare_beats):
            newer.append(_mark_of(row))
    return RowDifference(
        missing_rows=tuple(missing),
        newer_marks=tuple(newer),
        wanted_keys=tuple(
            mark.key
            for mark in mark_by_key.values()
            if mark.standing is not members.Standing.DEAD
        ),
    )


def rows_by_key(
    state: world.World,
    keys: typing.Collection[int],
) -> tuple[members.Member, ...]:
    """Return the rows of other instances that have one of the keys."""
    if not keys:
        return ()
    return tuple(
        row
        for incarnation, row in state.members.member_by_incarnation.items()
        if incarnation_key(incarnation) in keys
    )


def _mark_of(row: members.Member) -> messages.Mark:
    key = incarnation_key(row.incarnation)
    return messages.Mark(key, row.beat, row.standing, row.failing)


def _is_newer(
    row: members.Member,
    mark: messages.Mark,
    compare_beats: bool,
) -> bool:
    """Return whether a row is newer than a mark.

    That is if its beat is higher, or its standing at the same beat. Without
    ``compare_beats`` the standing or the failing flag must differ as well.
    """
    if (row.beat, row.standing) <= (mark.beat, mark.standing):
        return False
    changed = (row.standing, row.failing) != (mark.standing, mark.failing)
    return changed or compare_beats
