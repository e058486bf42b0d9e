"""Broadcast a message to all instances with a bounded fan-out.

The origin sends it to all members of its data centre and to one relay in each
other data centre. A relay forwards it to the members of its data centre.
"""

import typing

from oleanderstair.domain import actions, messages, world
from oleanderstair.domain.fleet import members
from oleanderstair.domain.tables import members as rows


def spread(
    state: world.World,
    message: messages.Message,
) -> list[actions.Action]:
    """Send a message to this data centre and to a relay in each other one."""
    return send_all(
        (*members.neighbours(state), *_choose_relays(state)), message
    )


def pass_on(
    state: world.World,
    sender: str,
    message: messages.Message,
) -> list[actions.Action]:
    """Forward a message to this data centre if it came from another one."""
    if not is_relay(state, sender):
        return []
    return send_all(members.neighbours(state), message)


def is_relay(state: world.World, sender: str) -> bool:
    """Return whether a sender is a member of another data centre.

    This instance is then the relay, and forwards the sender's broadcasts.
    """
    row = state.members.by_incarnation.get(sender)
    return row is not None and row.data_centre != state.identity.data_centre


def send_all(
    receivers: typing.Iterable[rows.Member],
    message: messages.Message,
) -> list[actions.Action]:
    """Send a message to each of the members."""
    return [
        actions.SendPeer(row.incarnation, row.peer_address, message)
        for row in receivers
    ]


def _choose_relays(state: world.World) -> list[rows.Member]:
    own = state.identity
    return [
        relay
        for data_centre, live in members.view(
            state
        ).living_by_data_centre.items()
        if data_centre != own.data_centre
        for relay in members.choose_by_key(live, own.incarnation, 1)
    ]
