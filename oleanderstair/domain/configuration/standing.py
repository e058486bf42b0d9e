"""How far the note in force here has come across the fleet, for status."""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.fleet import live
from oleanderstair.domain.tables import catalogue

ACCEPTED: typing.Final = 'accepted'
SEEN: typing.Final = 'seen'
NONE: typing.Final = 'none'

_DATA_CENTRES_NEEDED: typing.Final = 2


class Fork(typing.TypedDict):
    """A note or value that was refused, from whom, and why."""

    number: int
    digest: str
    source: str
    why: str


class Standing(typing.TypedDict):
    """What status says of notes and of this instance's confirmation."""

    standing: str
    lowest: int
    highest: int
    behind: list[str]
    silent: list[str]
    waits_for: str
    refused: list[Fork]
    forks: list[Fork]


def report(state: world.World, now_ms: clock.Millis) -> Standing:
    """Return how the fleet stands to the note in force here."""
    in_force = state.catalogue.in_force
    number_by_id = {
        peer.instance_id: peer.note_number
        for peer in live.heard_peers(state, now_ms)
        if peer.note_number
    }
    number_by_id[state.identity.instance_id] = in_force.number
    highest = max(*number_by_id.values(), state.catalogue.highest_heard)
    listed = state.instances.listed_by_id
    refusals = state.catalogue.refusal_by_digest.values()
    return Standing(
        standing=accepted(state, now_ms),
        lowest=min(number_by_id.values()),
        highest=highest,
        behind=sorted(
            instance_id
            for instance_id, number in number_by_id.items()
            if number < highest
        ),
        silent=sorted(listed.keys() - number_by_id.keys()),
        waits_for=state.instances.waits_for,
        refused=[_fork(found) for found in refusals if not found.is_fork],
        forks=[_fork(found) for found in refusals if found.is_fork],
    )


def accepted(state: world.World, now_ms: clock.Millis) -> str:
    """Return whether the note is accepted, or only seen here.

    It is accepted once a majority of the listed instances that are not
    leaving hold it, in two or more data centres where there are two. Those
    that are silent count as listed, so a minority accepts nothing.
    """
    in_force = state.catalogue.in_force
    if not in_force.number:
        return NONE
    holders = _holders(state, now_ms)
    wanted = [
        entry
        for entry in state.instances.listed_by_id.values()
        if not entry.leaving
    ]
    holding = [entry for entry in wanted if entry.instance_id in holders]
    places = {(entry.region, entry.data_centre) for entry in wanted}
    held_in = {(entry.region, entry.data_centre) for entry in holding}
    enough_places = len(held_in) >= min(_DATA_CENTRES_NEEDED, len(places))
    if wanted and 2 * len(holding) > len(wanted) and enough_places:
        return ACCEPTED
    return SEEN


def _holders(state: world.World, now_ms: clock.Millis) -> set[str]:
    in_force = state.catalogue.in_force
    digest = catalogue.short_digest(in_force.digest)
    holders = {
        peer.instance_id
        for peer in live.heard_peers(state, now_ms)
        if peer.note_number > in_force.number
        or (peer.note_number, peer.note_digest) == (in_force.number, digest)
    }
    return holders | {state.identity.instance_id}


def _fork(refusal: catalogue.Refusal) -> Fork:
    return Fork(
        number=refusal.number,
        digest=refusal.digest,
        source=refusal.source,
        why=refusal.why,
    )
