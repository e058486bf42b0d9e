"""Learns the region of each data centre, by which callers get addresses.

Rosters don't carry regions, and earlier builds reject longer ones. So an
instance asks a member of a data centre whose region it doesn't know. Members
of an earlier build don't answer; their region stays unknown.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import broadcast, member_list

REQUEST_INTERVAL_MS: typing.Final[clock.Millis] = 1000
"""How often one data centre of an unknown region is asked for it."""

MAX_DATA_CENTRES: typing.Final = 256
"""The maximum number of data centres whose region is kept."""


def is_other_region(state: world.World, data_centre: str, other: str) -> bool:
    """Return whether two data centres are known to be in different regions."""
    regions = {_region_of(state, data_centre), _region_of(state, other)}
    return len(regions - {None}) > 1


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Ask for the region of a data centre that is not known."""
    table = state.members
    if now_ms - table.region_asked_at_ms < REQUEST_INTERVAL_MS:
        return []
    live_by_data_centre = member_list.current_view(state).live_by_data_centre
    unknown = sorted(
        data_centre
        for data_centre in live_by_data_centre
        if _region_of(state, data_centre) is None
    )
    if not unknown:
        return []
    table.region_asked_at_ms = now_ms
    # Not by ``state.rng``: its draws decide where calls go.
    data_centre = unknown[table.region_request_count % len(unknown)]
    table.region_request_count += 1
    key = f'{state.identity.incarnation} {table.region_request_count}'
    asked = member_list.choose_by_key(live_by_data_centre[data_centre], key, 1)
    return broadcast.send_to_members(asked, messages.RegionsRequest())


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Answer a request for regions, or record those of a peer."""
    table = state.members
    own = state.identity
    if isinstance(event.message, messages.RegionsRequest):
        row = table.member_by_incarnation.get(event.sender)
        known = {**table.region_by_data_centre, own.data_centre: own.region}
        answer = messages.Regions(known)
        return [] if row is None else broadcast.send_to_members([row], answer)
    if isinstance(event.message, messages.Regions):
        for data_centre, region in event.message.region_by_data_centre.items():
            if len(table.region_by_data_centre) < MAX_DATA_CENTRES:
                table.region_by_data_centre.setdefault(data_centre, region)
    return []


def _region_of(state: world.World, data_centre: str) -> str | None:
    own = state.identity
    if data_centre == own.data_centre:
        return own.region
    return state.members.region_by_data_centre.get(data_centre)
