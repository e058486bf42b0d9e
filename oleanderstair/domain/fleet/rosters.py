"""Compose rosters and apply received ones to the members."""

import itertools
import typing

from oleanderstair import clock
from oleanderstair.domain import messages, world
from oleanderstair.domain.fleet import (
    heartbeat_counters,
    member_list,
    member_marks,
)

_MAX_AGE_MS: typing.Final = 1_000_000_000
"""The largest age that is sent; it also stands for never."""

_LOCAL_PROPAGATION_MS: typing.Final = 1000
"""The time in which a new member becomes known in its data centre."""


def compose_roster(
    state: world.World,
    now_ms: clock.Millis,
    turn: messages.Turn = messages.Turn.ASKS,
) -> messages.Roster:
    """Raise the beat of this instance; return a roster with only its row."""
    in_force = state.routes.in_force
    state.members.beat += 1
    view = member_list.current_view(state)
    return messages.Roster(
        rows=(member_list.own_row(state),),
        checksum=view.checksum,
        near_checksum=view.checksum_by_data_centre[state.identity.data_centre],
        number=in_force.number if in_force else 0,
        revision=state.registry.revision,
        age_ms=reported_age_ms(now_ms, state.store.current_at_ms),
        turn=turn,
    )


def add_beats(
    state: world.World,
    roster: messages.Roster,
    now_ms: clock.Millis,
    is_local: bool = True,
) -> messages.Roster:
    """Add contact ages, and heartbeat counters if ``is_local``.

    Only a receiver with the same members can decode them.
    """
    return roster._replace(
        beats=heartbeat_counters.pack_beats(state) if is_local else b'',
        word_ages=heartbeat_counters.pack_contact_ages(state, now_ms),
    )


def add_checksums(
    state: world.World,
    roster: messages.Roster,
    now_ms: clock.Millis,
) -> messages.Roster:
    """Add checksums and contact ages for a receiver with other members."""
    contact_at_ms = state.members.contact_at_ms_by_data_centre
    return roster._replace(
        checksum_by_data_centre=member_list.current_view(
            state
        ).checksum_by_data_centre,
        word_age_ms_by_data_centre={
            data_centre: int(now_ms - at_ms)
            for data_centre, at_ms in contact_at_ms.items()
        },
    )


def apply_roster(
    state: world.World,
    roster: messages.Roster,
    now_ms: clock.Millis,
) -> None:
    """Apply the rows, marks, contact ages and counters of a roster."""
    sender = roster.rows[0]
    for row in roster.rows:
        member_list.adopt_row(state, row, now_ms)
    marks = itertools.chain(*roster.marks_by_data_centre.values())
    member_marks.apply_marks(state, (*marks, *roster.newer), now_ms)
    member_list.record_data_centre_contact(state, sender.data_centre, now_ms)
    for data_centre, age_ms in roster.word_age_ms_by_data_centre.items():
        if age_ms < member_list.MAX_REMOTE_SILENCE_MS:
            member_list.record_data_centre_contact(
                state, data_centre, now_ms - age_ms
            )
    heartbeat_counters.apply_beats(state, roster, now_ms)
    # A sender is authoritative for the members of its own data centre.
    if sender.data_centre != state.identity.data_centre:
        _mark_unlisted_dead(state, roster, sender.data_centre, now_ms)


def reported_age_ms(now_ms: clock.Millis, at_ms: clock.Millis) -> int:
    """Return the age of ``at_ms`` in whole ms, limited for sending."""
    return int(min(now_ms - at_ms, _MAX_AGE_MS))


def _mark_unlisted_dead(
    state: world.World,
    roster: messages.Roster,
    data_centre: str,
    now_ms: clock.Millis,
) -> None:
    """Mark members dead that a complete list of a data centre omits.

    A list is complete if it comes as marks or as the rows of a whole data
    centre. Members whose beat rose recently stay live, as the sender may not
    have their rows yet.
    """
    marks = roster.marks_by_data_centre.get(data_centre)
    if marks is None and data_centre not in roster.whole:
        return
    listed_keys = {mark.key for mark in marks or ()}
    listed_keys.update(
        member_marks.incarnation_key(row.incarnation) for row in roster.rows
    )
    for row in member_list.rows_of_other_members(state, data_centre):
        since_rise_ms = now_ms - state.members.beat_rose_at_ms[row.incarnation]
        if since_rise_ms < _LOCAL_PROPAGATION_MS:
            continue
        if member_marks.incarnation_key(row.incarnation) not in listed_keys:
            member_list.mark_dead(state, row.incarnation)
