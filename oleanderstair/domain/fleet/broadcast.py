"""Broadcast a message to all instances with a bounded fan-out.

The origin sends it to all members of its data centre and to one relay in each
other data centre. A relay forwards it to the members of its data centre.
"""

import typing

from oleanderstair.domain import actions, messages, world
from oleanderstair.domain.fleet import member_list
from oleanderstair.domain.tables import members


def broadcast_message(
    state: world.World,
    message: messages.Message,
) -> list[actions.Action]:
    """Send a message to this data centre and to a relay in each other one."""
    return send_to_members(
        (*member_list.other_local_members(state), *_choose_relays(state)),
        message,
    )


def forward_message(
    state: world.World,
    sender: str,
    message: messages.Message,
) -> list[actions.Action]:
    """Forward a message to this data centre if it came from another one."""
    if not is_from_other_data_centre(state, sender):
        return []
    return send_to_members(member_list.other_local_members(state), message)


def is_from_other_data_centre(state: world.World, sender: str) -> bool:
    """Return whether a sender is a member of another data centre.

    This instance is then the relay, and forwards the sender's broadcasts.
    """
    row = state.members.member_by_incarnation.get(sender)
    return row is not None and row.data_centre != state.identity.data_centre


def send_to_members(
    receivers: typing.Iterable[members.Member],
    message: messages.Message,
) -> list[actions.Action]:
    """Send a message to each of the members."""
    return [
        actions.SendPeer(row.incarnation, row.peer_address, message)
        for row in receivers
    ]


def _choose_relays(state: world.World) -> list[members.Member]:
    own = state.identity
    return [
        relay
        for data_centre, live in member_list.current_view(
            state
        ).live_by_data_centre.items()
        if data_centre != own.data_centre
        for relay in member_list.choose_by_key(live, own.incarnation, 1)
    ]
