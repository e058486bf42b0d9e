"""The members of the fleet and their liveness.

A member of this data centre counts as live while its beat rises. For another
data centre, the reports of its own instances decide which members are live,
for as long as there is contact with that data centre.
"""

import functools
import typing
import zlib

from oleanderstair import clock
from oleanderstair.domain import rendezvous, world
from oleanderstair.domain.tables import instances, members

MAX_BEAT_SILENCE_MS: typing.Final = 2000
"""The time without a higher beat after which a local member is marked dead."""

MAX_REMOTE_SILENCE_MS: typing.Final = 6000
"""The time without contact after which another data centre counts as lost."""

DEAD_MEMBER_KEPT_MS: typing.Final = 120_000
"""How long a dead member is kept after its beat last rose.

Its address is queried until then, as the instance may be back."""

MAX_MEMBER_COUNT: typing.Final = 4096
"""The most incarnations that are kept, dead ones included."""

_READER_HASH_KEY: typing.Final = 'store'
"""The key of the rendezvous hashing that orders the readers of the store."""

_STANDING_BY_PHASE: typing.Final = {
    instances.Phase.UNCONFIRMED: members.Standing.STARTING,
    instances.Phase.SERVING: members.Standing.READY,
    instances.Phase.STOPPING: members.Standing.LEAVING,
}


def own_standing(state: world.World) -> members.Standing:
    """Return the standing of this instance."""
    if state.instances.stopping_since_ms != clock.NEVER_MS:
        return members.Standing.LEAVING
    return _STANDING_BY_PHASE[state.instances.phase]


def own_row(state: world.World) -> members.Member:
    """Return the member row of this instance."""
    own = state.identity
    table = state.members
    return members.Member(
        own.incarnation,
        own.data_centre,
        own.caller_address,
        own.peer_address,
        table.started_ms,
        table.beat,
        own_standing(state),
        table.failing,
        own.capacity,
    )


def adopt_row(
    state: world.World,
    row: members.Member,
    now_ms: clock.Millis,
) -> None:
    """Store a member row if it is newer than the known one."""
    table = state.members
    if row.incarnation == state.identity.incarnation:
        # A higher beat overrules a report that this instance is dead.
        table.beat = max(table.beat, row.beat)
        return
    known = table.member_by_incarnation.get(row.incarnation)
    if known is None:
        if _may_add(state, row):
            _add_member(state, row, now_ms)
        return
    if (row.beat, row.standing) <= (known.beat, known.standing):
        return
    if row.beat > known.beat:
        table.beat_rose_at_ms[row.incarnation] = now_ms
    table.member_by_incarnation[row.incarnation] = row
    if known._replace(beat=row.beat) != row:
        table.version += 1


def mark_dead(state: world.World, incarnation: str) -> None:
    """Mark a known member dead."""
    table = state.members
    known = table.member_by_incarnation[incarnation]
    if known.is_live:
        table.member_by_incarnation[incarnation] = known._replace(
            standing=members.Standing.DEAD,
        )
        table.version += 1


def review_members(state: world.World, now_ms: clock.Millis) -> None:
    """Mark silent local members dead and remove old dead ones.

    Data centres without contact are removed as well.
    """
    table = state.members
    for incarnation, row in tuple(table.member_by_incarnation.items()):
        silence_ms = now_ms - table.beat_rose_at_ms[incarnation]
        if silence_ms > MAX_BEAT_SILENCE_MS:
            _review_silent_member(state, row, silence_ms)
    for other, contact_at_ms in tuple(
        table.contact_at_ms_by_data_centre.items()
    ):
        if now_ms - contact_at_ms > MAX_REMOTE_SILENCE_MS:
            table.contact_at_ms_by_data_centre.pop(other)
            table.version += 1


def _review_silent_member(
    state: world.World,
    row: members.Member,
    silence_ms: clock.Millis,
) -> None:
    """Mark a silent local member dead, or remove one that is dead already.

    A dead member is removed ``DEAD_MEMBER_KEPT_MS`` after its beat last rose.
    A live member of another data centre is left as it is.
    """
    table = state.members
    if row.is_live:
        if row.data_centre == state.identity.data_centre:
            mark_dead(state, row.incarnation)
    elif silence_ms > DEAD_MEMBER_KEPT_MS:
        table.member_by_incarnation.pop(row.incarnation)
        table.beat_rose_at_ms.pop(row.incarnation)


def reset_silence_timers(state: world.World, now_ms: clock.Millis) -> None:
    """Restart the silence timers of live members and of data centres.

    Used after a pause of this process, in which it received no messages.
    """
    table = state.members
    for incarnation, row in table.member_by_incarnation.items():
        if row.is_live:
            table.beat_rose_at_ms[incarnation] = now_ms
    for other in table.contact_at_ms_by_data_centre:
        table.contact_at_ms_by_data_centre[other] = now_ms


def record_data_centre_contact(
    state: world.World,
    data_centre: str,
    at_ms: clock.Millis,
) -> None:
    """Record a contact with another data centre if no later one is known."""
    contact_at_ms = state.members.contact_at_ms_by_data_centre
    if data_centre == state.identity.data_centre:
        return
    previous_ms = contact_at_ms.get(data_centre)
    if previous_ms is None:
        state.members.version += 1
    contact_at_ms[data_centre] = max(at_ms, previous_ms or at_ms)


def current_view(state: world.World) -> members.MembersView:
    """Return the derived view of the members, this instance included.

    It is derived again only after the version of the members has changed.
    """
    table = state.members
    if table.view.version != table.version:
        table.view = _derive_view(state)
    return table.view


def choose_by_key(
    rows: typing.Iterable[members.Member],
    key: str,
    count: int,
) -> tuple[members.Member, ...]:
    """Return up to ``count`` members, by rendezvous hashing for a key."""
    row_by_incarnation = {row.incarnation: row for row in rows}
    chosen = rendezvous.top_members(row_by_incarnation, key, count)
    return tuple(row_by_incarnation[incarnation] for incarnation in chosen)


def rows_checksum(rows: typing.Iterable[members.Member]) -> int:
    """Return a checksum over incarnations, standings and failing flags."""
    lines = sorted(
        f'{row.incarnation} {row.standing.value} {row.failing}' for row in rows
    )
    return zlib.crc32('\n'.join(lines).encode())


def other_local_members(state: world.World) -> tuple[members.Member, ...]:
    """Return the other live members of this data centre."""
    own = state.identity
    local = current_view(state).live_by_data_centre.get(own.data_centre, ())
    return tuple(row for row in local if row.incarnation != own.incarnation)


def rows_of_other_members(
    state: world.World, data_centre: str
) -> list[members.Member]:
    """Return the rows of other members of a data centre, dead or live."""
    own = state.identity.incarnation
    return [
        row
        for incarnation, row in state.members.member_by_incarnation.items()
        if row.data_centre == data_centre and incarnation != own
    ]


def lost_addresses(state: world.World, include_remote: bool) -> list[str]:
    """Return the sorted peer addresses at which no live member is known.

    These are the addresses of dead local members, and with ``include_remote``
    also those of dead remote members and the seeds.
    """
    table = state.members
    own = state.identity
    live_addresses = {
        row.peer_address
        for row in table.member_by_incarnation.values()
        if row.is_live
    }
    live_addresses.add(own.peer_address)
    addresses = {
        row.peer_address
        for row in table.member_by_incarnation.values()
        if include_remote or row.data_centre == own.data_centre
    }
    if include_remote:
        addresses.update(table.seeds)
    return sorted(addresses - live_addresses)


def _may_add(state: world.World, row: members.Member) -> bool:
    """Return whether a row of an unknown incarnation may be added.

    It may not if it is dead, if the table is full, if it is another
    incarnation of this instance, or if a live incarnation of the same
    instance started later.
    """
    table = state.members
    if not row.is_live or len(table.member_by_incarnation) >= MAX_MEMBER_COUNT:
        return False
    if row.instance_id == state.identity.instance_id:
        return False
    return not any(
        other.is_live and other.started_ms > row.started_ms
        for other in _rows_of_instance(table, row)
    )


def _add_member(
    state: world.World,
    row: members.Member,
    now_ms: clock.Millis,
) -> None:
    """Add a member; it replaces other incarnations of its instance."""
    table = state.members
    for other in _rows_of_instance(table, row):
        table.member_by_incarnation.pop(other.incarnation)
        table.beat_rose_at_ms.pop(other.incarnation)
    table.member_by_incarnation[row.incarnation] = row
    table.beat_rose_at_ms[row.incarnation] = now_ms
    table.version += 1


def _rows_of_instance(
    table: members.MembersTable,
    row: members.Member,
) -> list[members.Member]:
    # A prefix of the incarnation is cheaper to compare than ``instance_id``,
    # and this scans all members for each one that is added.
    prefix = f'{row.instance_id}~'
    return [
        other
        for incarnation, other in table.member_by_incarnation.items()
        if incarnation.startswith(prefix)
    ]


def _derive_view(state: world.World) -> members.MembersView:
    table = state.members
    own = own_row(state)
    reachable = table.contact_at_ms_by_data_centre.keys() | {own.data_centre}
    live_by_data_centre: dict[str, list[members.Member]] = {
        own.data_centre: [own]
    }
    for row in table.member_by_incarnation.values():
        if row.is_live and row.data_centre in reachable:
            live_by_data_centre.setdefault(row.data_centre, []).append(row)
    reader_order = _reader_order(live_by_data_centre)
    checksum_by_data_centre = {
        data_centre: rows_checksum(rows)
        for data_centre, rows in live_by_data_centre.items()
    }
    checksums = sorted(checksum_by_data_centre.items())
    return members.MembersView(
        version=table.version,
        live_by_data_centre={
            data_centre: tuple(sorted(rows))
            for data_centre, rows in live_by_data_centre.items()
        },
        checksum_by_data_centre=checksum_by_data_centre,
        checksum=zlib.crc32(repr(checksums).encode()),
        reader_order=reader_order,
        reader_rank=reader_order.index(own.incarnation),
    )


def _reader_order(
    live_by_data_centre: dict[str, list[members.Member]],
) -> tuple[str, ...]:
    """Return the live incarnations in the order in which they read the store.

    Failing members come last, and leaving ones after ready ones. The first
    two are of different data centres if possible.
    """
    ranked = sorted(
        (row for rows in live_by_data_centre.values() for row in rows),
        key=_reader_sort_key,
    )
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


def _reader_sort_key(row: members.Member) -> tuple[bool, bool, bytes]:
    """Return a key that sorts members into the order of store readers."""
    is_leaving = row.standing is members.Standing.LEAVING
    return row.failing, is_leaving, _reader_hash(row.incarnation)


@functools.lru_cache(maxsize=MAX_MEMBER_COUNT)
def _reader_hash(incarnation: str) -> bytes:
    return rendezvous.member_hash(incarnation, _READER_HASH_KEY)
