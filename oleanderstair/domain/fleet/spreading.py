"""Spreads what all instances have to hear, along a bounded fan-out.

Who has news tells its data centre and one relay in each other, a large
instance, and a relay passes on into its own what came from away.
"""

import typing

from oleanderstair.domain import actions, messages, world
from oleanderstair.domain.fleet import members
from oleanderstair.domain.tables import members as rows


def spread(
    state: world.World,
    message: messages.Message,
) -> list[actions.Action]:
    """Tell the own data centre, and a relay in each other."""
    return send_all((*members.neighbours(state), *_relays(state)), message)


def pass_on(
    state: world.World,
    sender: str,
    message: messages.Message,
) -> list[actions.Action]:
    """Tell the own data centre what came from another."""
    if not is_relay(state, sender):
        return []
    return send_all(members.neighbours(state), message)


def is_relay(state: world.World, sender: str) -> bool:
    """Return whether what a peer spreads is to be passed on from here."""
    row = state.members.by_incarnation.get(sender)
    return row is not None and row.data_centre != state.identity.data_centre


def send_all(
    to: typing.Iterable[rows.Member],
    message: messages.Message,
) -> list[actions.Action]:
    """Send a message to each of the members."""
    return [
        actions.SendPeer(row.incarnation, row.peer_address, message)
        for row in to
    ]


def _relays(state: world.World) -> list[rows.Member]:
    own = state.identity
    return [
        relay
        for place, living in members.view(state).living_by_data_centre.items()
        if place != own.data_centre
        for relay in members.delegates(
            members.large(living),
            own.incarnation,
            1,
        )
    ]
