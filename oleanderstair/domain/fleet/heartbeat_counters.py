"""Compact encoding of heartbeat counters and data centre contact ages.

Two instances with the same checksum hold the same members in the same order,
so values are sent by position, without names. Only the low 16 bits of a
counter are sent. A receiver that is further behind than they can express has
already marked the member dead and receives its whole row instead.
"""

import struct
import typing

from oleanderstair import clock
from oleanderstair.domain import messages, world
from oleanderstair.domain.fleet import member_list
from oleanderstair.domain.tables import members

_BEAT_BITS: typing.Final = 16
"""The low bits of a counter that are sent."""

_BEAT_MASK: typing.Final = (1 << _BEAT_BITS) - 1
_BEAT_HALF_RANGE: typing.Final = 1 << (_BEAT_BITS - 1)
"""Increases of at least this size, modulo the range, count as older values."""

_BEAT_BYTES: typing.Final = _BEAT_BITS // 8

_AGE_STEP_MS: typing.Final = 50
"""The resolution of contact ages; one byte covers 12 s."""

_MAX_AGE_STEPS: typing.Final = 255
"""The largest age that is sent; it also stands for any larger one."""


def pack_beats(state: world.World) -> bytes:
    """Return the heartbeat counters of the local members, in their order."""
    known = state.members.member_by_incarnation
    beats = [
        known[row.incarnation].beat
        if row.incarnation in known
        else state.members.beat
        for row in _local_members(state)
    ]
    return struct.pack(
        f'>{len(beats)}H',
        *(beat & _BEAT_MASK for beat in beats),
    )


def pack_contact_ages(state: world.World, now_ms: clock.Millis) -> bytes:
    """Return the time since the last contact with each data centre.

    One byte for each, in the order of their names; the largest value stands
    for any longer time.
    """
    contact_at_ms = state.members.contact_at_ms_by_data_centre
    # Rounded up, as otherwise an age that is passed on would never grow.
    return bytes(
        min(
            int(
                -(
                    (contact_at_ms.get(data_centre, now_ms) - now_ms)
                    // _AGE_STEP_MS
                )
            ),
            _MAX_AGE_STEPS,
        )
        for data_centre in _sorted_data_centres(state)
    )


def apply_beats(
    state: world.World,
    roster: messages.Roster,
    now_ms: clock.Millis,
) -> None:
    """Apply counters and contact ages from a sender with the same members.

    Counters need the same local checksum, contact ages the same checksum
    over all data centres; otherwise they are ignored.
    """
    view = member_list.current_view(state)
    own_data_centre = state.identity.data_centre
    is_local_sender = roster.rows[0].data_centre == own_data_centre
    if (
        is_local_sender
        and roster.near_checksum
        == view.checksum_by_data_centre[own_data_centre]
    ):
        _apply_packed_beats(state, roster.beats, now_ms)
    if roster.checksum == view.checksum:
        _apply_contact_ages(state, roster.word_ages, now_ms)


def _apply_packed_beats(
    state: world.World,
    packed: bytes,
    now_ms: clock.Millis,
) -> None:
    table = state.members
    local = _local_members(state)
    if len(packed) != len(local) * _BEAT_BYTES:
        return
    beats = struct.unpack(f'>{len(local)}H', packed)
    for row, beat in zip(local, beats, strict=True):
        known = table.member_by_incarnation.get(row.incarnation)
        if known is None:
            continue
        increase = (beat - known.beat) & _BEAT_MASK
        if 0 < increase < _BEAT_HALF_RANGE:
            table.member_by_incarnation[row.incarnation] = known._replace(
                beat=known.beat + increase,
            )
            table.beat_rose_at_ms[row.incarnation] = now_ms


def _apply_contact_ages(
    state: world.World,
    packed: bytes,
    now_ms: clock.Millis,
) -> None:
    for data_centre, steps in zip(
        _sorted_data_centres(state), packed, strict=False
    ):
        if steps * _AGE_STEP_MS < member_list.MAX_REMOTE_SILENCE_MS:
            member_list.record_data_centre_contact(
                state, data_centre, now_ms - steps * _AGE_STEP_MS
            )


def _local_members(state: world.World) -> tuple[members.Member, ...]:
    """Return the live members of this data centre in their fixed order."""
    view = member_list.current_view(state)
    return view.live_by_data_centre[state.identity.data_centre]


def _sorted_data_centres(state: world.World) -> list[str]:
    return sorted(member_list.current_view(state).live_by_data_centre)
