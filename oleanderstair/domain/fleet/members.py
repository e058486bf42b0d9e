"""Which instances live, as told by themselves and by each other.

Inside a data centre an instance lives while its beat rises. Of another data
centre its own instances decide, for as long as any of them is heard of.
"""

import functools
import typing
import zlib

from oleanderstair import clock
from oleanderstair.domain import rendezvous, world
from oleanderstair.domain.tables import instances, members

SILENCE_MS: typing.Final = 2000
"""How long the beat of a living instance may stand still."""

AWAY_SILENCE_MS: typing.Final = 6000
"""How long another data centre may be silent before it counts as lost."""

FORGET_MS: typing.Final = 120_000
"""How long a dead instance is remembered, and greeted now and then."""

MEMBER_LIMIT: typing.Final = 4096
"""How many incarnations are remembered, the dead included."""

LARGE_SHARE: typing.Final = 0.5
"""What part of the largest capacity a large instance has at least."""

_READER_KEY: typing.Final = 'store'
_STANDING_BY_PHASE: typing.Final = {
    instances.Phase.UNCONFIRMED: members.Standing.STARTING,
    instances.Phase.SERVING: members.Standing.READY,
    instances.Phase.STOPPING: members.Standing.LEAVING,
}


def standing(state: world.World) -> members.Standing:
    """Return how far this instance has come."""
    if state.instances.stopping_since_ms != clock.NEVER_MS:
        return members.Standing.LEAVING
    return _STANDING_BY_PHASE[state.instances.phase]


def own_row(state: world.World) -> members.Member:
    """Return what this instance says of itself."""
    own = state.identity
    table = state.members
    return members.Member(
        own.incarnation,
        own.data_centre,
        own.caller_address,
        own.peer_address,
        table.started_ms,
        table.beat,
        standing(state),
        table.failing,
        own.capacity,
    )


def adopt(
    state: world.World,
    row: members.Member,
    now_ms: clock.Millis,
) -> None:
    """Take a row about an instance where it is newer than what is known."""
    table = state.members
    if row.incarnation == state.identity.incarnation:
        # One that was told dead proves the contrary by a higher beat.
        table.beat = max(table.beat, row.beat)
        return
    known = table.by_incarnation.get(row.incarnation)
    if known is None:
        if _may_enter(state, row):
            _enter(state, row, now_ms)
        return
    if (row.beat, row.standing) <= (known.beat, known.standing):
        return
    if row.beat > known.beat:
        table.risen_at_ms[row.incarnation] = now_ms
    table.by_incarnation[row.incarnation] = row
    if known._replace(beat=row.beat) != row:
        table.version += 1


def bury(state: world.World, incarnation: str) -> None:
    """Note that an instance has died."""
    table = state.members
    known = table.by_incarnation[incarnation]
    if known.lives:
        table.by_incarnation[incarnation] = known._replace(
            standing=members.Standing.DEAD,
        )
        table.version += 1


def review(state: world.World, now_ms: clock.Millis) -> None:
    """Bury those whose beat stands still; forget the long dead."""
    table = state.members
    for incarnation, row in tuple(table.by_incarnation.items()):
        still_ms = now_ms - table.risen_at_ms[incarnation]
        if still_ms > SILENCE_MS:
            _review_silent(state, row, still_ms)
    for away, word_at_ms in tuple(table.word_at_ms_by_data_centre.items()):
        if now_ms - word_at_ms > AWAY_SILENCE_MS:
            table.word_at_ms_by_data_centre.pop(away)
            table.version += 1


def _review_silent(
    state: world.World,
    row: members.Member,
    still_ms: clock.Millis,
) -> None:
    table = state.members
    if row.lives:
        if row.data_centre == state.identity.data_centre:
            bury(state, row.incarnation)
    elif still_ms > FORGET_MS:
        table.by_incarnation.pop(row.incarnation)
        table.risen_at_ms.pop(row.incarnation)


def excuse_silence(state: world.World, now_ms: clock.Millis) -> None:
    """Begin all spans of silence anew: it was this instance that slept."""
    table = state.members
    for incarnation, row in table.by_incarnation.items():
        if row.lives:
            table.risen_at_ms[incarnation] = now_ms
    for away in table.word_at_ms_by_data_centre:
        table.word_at_ms_by_data_centre[away] = now_ms


def hear_word(
    state: world.World,
    data_centre: str,
    at_ms: clock.Millis,
) -> None:
    """Note when another data centre was heard of."""
    table = state.members.word_at_ms_by_data_centre
    if data_centre == state.identity.data_centre:
        return
    known_ms = table.get(data_centre)
    if known_ms is None:
        state.members.version += 1
    table[data_centre] = max(at_ms, known_ms or at_ms)


def view(state: world.World) -> members.View:
    """Return what follows from the members, this instance among them."""
    table = state.members
    if table.view.version != table.version:
        table.view = _look(state)
    return table.view


def delegates(
    found: typing.Iterable[members.Member],
    key: str,
    count: int,
) -> tuple[members.Member, ...]:
    """Return the ``count`` members that come first for a key."""
    by_incarnation = {row.incarnation: row for row in found}
    ranked = rendezvous.first(by_incarnation, key, count)
    return tuple(by_incarnation[incarnation] for incarnation in ranked)


def large(
    found: typing.Iterable[members.Member],
) -> list[members.Member]:
    """Return the members that can carry about as much as the largest."""
    listed = list(found)
    most = max((row.capacity for row in listed), default=0)
    return [row for row in listed if row.capacity >= LARGE_SHARE * most]


def checksum(found: typing.Iterable[members.Member]) -> int:
    """Return a number that is the same where the same members live."""
    told = sorted(
        f'{row.incarnation} {row.standing.value} {row.failing}' for row in found
    )
    return zlib.crc32('\n'.join(told).encode())


def neighbours(state: world.World) -> tuple[members.Member, ...]:
    """Return the other living instances of this data centre."""
    own = state.identity
    here = view(state).living_by_data_centre.get(own.data_centre, ())
    return tuple(row for row in here if row.incarnation != own.incarnation)


def known_rows(state: world.World, place: str) -> list[members.Member]:
    """Return the rows of other instances of a data centre, dead or alive."""
    own = state.identity.incarnation
    return [
        row
        for incarnation, row in state.members.by_incarnation.items()
        if row.data_centre == place and incarnation != own
    ]


def lost_addresses(state: world.World, also_away: bool) -> list[str]:
    """Return peer addresses at which nobody is known to live any more."""
    table = state.members
    own = state.identity
    living = {
        row.peer_address for row in table.by_incarnation.values() if row.lives
    }
    living.add(own.peer_address)
    dead = {
        row.peer_address
        for row in table.by_incarnation.values()
        if also_away or row.data_centre == own.data_centre
    }
    if also_away:
        dead.update(table.seeds)
    return sorted(dead - living)


def _may_enter(state: world.World, row: members.Member) -> bool:
    """Refuse the dead, and late words of a replaced incarnation."""
    table = state.members
    if not row.lives or len(table.by_incarnation) >= MEMBER_LIMIT:
        return False
    if row.instance_id == state.identity.instance_id:
        return False
    return not any(
        other.lives and other.started_ms > row.started_ms
        for other in _same_instance(table, row)
    )


def _enter(
    state: world.World,
    row: members.Member,
    now_ms: clock.Millis,
) -> None:
    table = state.members
    for other in _same_instance(table, row):
        table.by_incarnation.pop(other.incarnation)
        table.risen_at_ms.pop(other.incarnation)
    table.by_incarnation[row.incarnation] = row
    table.risen_at_ms[row.incarnation] = now_ms
    table.version += 1


def _same_instance(
    table: members.MembersTable,
    row: members.Member,
) -> list[members.Member]:
    # Incarnations begin with the id; this runs over all for each that enters.
    prefix = f'{row.instance_id}~'
    return [
        other
        for incarnation, other in table.by_incarnation.items()
        if incarnation.startswith(prefix)
    ]


def _look(state: world.World) -> members.View:
    table = state.members
    own = own_row(state)
    heard = table.word_at_ms_by_data_centre.keys() | {own.data_centre}
    living: dict[str, list[members.Member]] = {own.data_centre: [own]}
    for row in table.by_incarnation.values():
        if row.lives and row.data_centre in heard:
            living.setdefault(row.data_centre, []).append(row)
    order = _reader_order(living)
    checksum_by_data_centre = {
        place: checksum(rows) for place, rows in living.items()
    }
    places = sorted(checksum_by_data_centre.items())
    return members.View(
        version=table.version,
        living_by_data_centre={
            place: tuple(sorted(rows)) for place, rows in living.items()
        },
        checksum_by_data_centre=checksum_by_data_centre,
        checksum=zlib.crc32(repr(places).encode()),
        reader_order=order,
        rank=order.index(own.incarnation),
    )


def _reader_order(living: dict[str, list[members.Member]]) -> tuple[str, ...]:
    """Return all that may read the store, the first two apart.

    Large ones go first: what they read goes to all, over their own link.
    """
    every = [row for rows in living.values() for row in rows]
    most = LARGE_SHARE * max(row.capacity for row in every)
    ranked = sorted(every, key=lambda row: _reader_key(row, most))
    second = next(
        (
            row
            for row in ranked
            if row.data_centre != ranked[0].data_centre and not row.failing
        ),
        None,
    )
    if second is not None:
        ranked.remove(second)
        ranked.insert(1, second)
    return tuple(row.incarnation for row in ranked)


def _reader_key(
    row: members.Member,
    least: float,
) -> tuple[bool, bool, bool, bytes]:
    leaving = row.standing is members.Standing.LEAVING
    small = row.capacity < least
    return row.failing, leaving, small, _reader_rank(row.incarnation)


@functools.lru_cache(maxsize=MEMBER_LIMIT)
def _reader_rank(incarnation: str) -> bytes:
    return rendezvous.rank(incarnation, _READER_KEY)
