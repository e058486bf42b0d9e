"""Reports how far the fleet has adopted the note in force, for status."""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.fleet import peer_liveness
from oleanderstair.domain.tables import catalogue

ACCEPTED: typing.Final = 'accepted'
SEEN: typing.Final = 'seen'
NO_NOTE: typing.Final = 'none'
"""With ACCEPTED and SEEN, the values of ``NoteAcceptance.standing``."""

_MIN_DATA_CENTRES: typing.Final = 2
"""In how many data centres an accepted note is held, if as many are listed."""


class RefusedNote(typing.TypedDict):
    """A refused note or value, with its source and the reason."""

    number: int
    digest: str
    source: str
    why: str


class NoteAcceptance(typing.TypedDict):
    """The adoption of notes across the fleet, as shown by status.

    ``standing`` is the result of ``acceptance_of``. ``lowest`` is the lowest
    note number in force on a live instance, and ``highest`` the highest known
    number. ``behind`` lists the ids of live instances below the highest
    number, and ``silent`` the listed instances that are not live or have no
    note. ``waits_for`` is the condition for the start of service that this
    instance does not meet yet; it is empty once the instance serves.
    ``forks`` are the refused notes of another chain: their number is known
    with another digest, or their parent is not the note before.
    """

    standing: str
    lowest: int
    highest: int
    behind: list[str]
    silent: list[str]
    waits_for: str
    refused: list[RefusedNote]
    forks: list[RefusedNote]


def report_acceptance(
    state: world.World, now_ms: clock.Millis
) -> NoteAcceptance:
    """Return the fleet's adoption of the note that is in force here."""
    in_force = state.catalogue.in_force
    number_by_id = {
        peer.instance_id: peer.note_number
        for peer in peer_liveness.live_peers(state, now_ms)
        if peer.note_number
    }
    number_by_id[state.identity.instance_id] = in_force.number
    highest = max(*number_by_id.values(), state.catalogue.highest_known)
    listed = state.instances.listed_by_id
    refusals = state.catalogue.refusal_by_digest.values()
    return NoteAcceptance(
        standing=acceptance_of(state, now_ms),
        lowest=min(number_by_id.values()),
        highest=highest,
        behind=sorted(
            instance_id
            for instance_id, number in number_by_id.items()
            if number < highest
        ),
        silent=sorted(listed.keys() - number_by_id.keys()),
        waits_for=state.instances.waits_for,
        refused=[
            _refused_note_of(refusal)
            for refusal in refusals
            if not refusal.is_fork
        ],
        forks=[
            _refused_note_of(refusal) for refusal in refusals if refusal.is_fork
        ],
    )


def acceptance_of(state: world.World, now_ms: clock.Millis) -> str:
    """Return ACCEPTED, SEEN, or NO_NOTE if no note is in force.

    A note is accepted if a majority of the listed instances that are not
    leaving hold it or a newer one, in at least two data centres if the list
    has two. Otherwise it is only seen. Unreachable instances count as not
    holding it, so that a partitioned minority never reports a note as accepted.
    """
    in_force = state.catalogue.in_force
    if not in_force.number:
        return NO_NOTE
    holder_ids = _note_holder_ids(state, now_ms)
    expected = [
        entry
        for entry in state.instances.listed_by_id.values()
        if not entry.leaving
    ]
    listed_holders = [
        entry for entry in expected if entry.instance_id in holder_ids
    ]
    data_centres = {(entry.region, entry.data_centre) for entry in expected}
    holder_data_centres = {
        (entry.region, entry.data_centre) for entry in listed_holders
    }
    is_spread = len(holder_data_centres) >= min(
        _MIN_DATA_CENTRES, len(data_centres)
    )
    if expected and 2 * len(listed_holders) > len(expected) and is_spread:
        return ACCEPTED
    return SEEN


def _note_holder_ids(state: world.World, now_ms: clock.Millis) -> set[str]:
    in_force = state.catalogue.in_force
    digest = catalogue.short_digest(in_force.digest)
    holder_ids = {
        peer.instance_id
        for peer in peer_liveness.live_peers(state, now_ms)
        if peer.note_number > in_force.number
        or (peer.note_number, peer.note_digest) == (in_force.number, digest)
    }
    return holder_ids | {state.identity.instance_id}


def _refused_note_of(refusal: catalogue.Refusal) -> RefusedNote:
    return RefusedNote(
        number=refusal.number,
        digest=refusal.digest,
        source=refusal.source,
        why=refusal.why,
    )
