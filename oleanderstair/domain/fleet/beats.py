"""The beats of a data centre and the word on others, without any name.

Two instances with the same checksum hold the same members, so that the
place in their order says whose beat it is. Of a beat the low bits are told:
who is further behind has long buried the instance, and is sent its row.
"""

import struct
import typing

from oleanderstair import clock
from oleanderstair.domain import messages, world
from oleanderstair.domain.fleet import members
from oleanderstair.domain.tables import members as rows

_BEAT_BITS: typing.Final = 16
_BEAT_MASK: typing.Final = (1 << _BEAT_BITS) - 1
_BEAT_HALF: typing.Final = 1 << (_BEAT_BITS - 1)
_BEAT_BYTES: typing.Final = _BEAT_BITS // 8

_AGE_UNIT_MS: typing.Final = 50
"""In what steps the age of a word is told; one byte holds 12 s of them."""

_OLDEST: typing.Final = 255


def pack(state: world.World) -> bytes:
    """Return the beats of the own data centre."""
    known = state.members.by_incarnation
    told = [
        known[row.incarnation].beat
        if row.incarnation in known
        else state.members.beat
        for row in _living(state)
    ]
    return struct.pack(
        f'>{len(told)}H',
        *(beat & _BEAT_MASK for beat in told),
    )


def pack_ages(state: world.World, now_ms: clock.Millis) -> bytes:
    """Return how long ago each data centre was heard of."""
    word_at_ms = state.members.word_at_ms_by_data_centre
    # Rounded up: else a word that goes round would never age.
    return bytes(
        min(
            int(-((word_at_ms.get(place, now_ms) - now_ms) // _AGE_UNIT_MS)),
            _OLDEST,
        )
        for place in _places(state)
    )


def take(
    state: world.World,
    heard: messages.Roster,
    now_ms: clock.Millis,
) -> None:
    """Take the beats and the word of one who holds the same members."""
    view = members.view(state)
    own = state.identity.data_centre
    near = heard.rows[0].data_centre == own
    if near and heard.near_checksum == view.checksum_by_data_centre[own]:
        _take_beats(state, heard.beats, now_ms)
    if heard.checksum == view.checksum:
        _take_ages(state, heard.word_ages, now_ms)


def _take_beats(
    state: world.World,
    told: bytes,
    now_ms: clock.Millis,
) -> None:
    table = state.members
    living = _living(state)
    if len(told) != len(living) * _BEAT_BYTES:
        return
    beats = struct.unpack(f'>{len(living)}H', told)
    for row, beat in zip(living, beats, strict=True):
        known = table.by_incarnation.get(row.incarnation)
        if known is None:
            continue
        risen = (beat - known.beat) & _BEAT_MASK
        if 0 < risen < _BEAT_HALF:
            table.by_incarnation[row.incarnation] = known._replace(
                beat=known.beat + risen,
            )
            table.risen_at_ms[row.incarnation] = now_ms


def _take_ages(
    state: world.World,
    told: bytes,
    now_ms: clock.Millis,
) -> None:
    for place, age in zip(_places(state), told, strict=False):
        if age * _AGE_UNIT_MS < members.AWAY_SILENCE_MS:
            members.hear_word(state, place, now_ms - age * _AGE_UNIT_MS)


def _living(state: world.World) -> tuple[rows.Member, ...]:
    """Return the members of the own data centre, in their order."""
    view = members.view(state)
    return view.living_by_data_centre[state.identity.data_centre]


def _places(state: world.World) -> list[str]:
    return sorted(members.view(state).living_by_data_centre)
