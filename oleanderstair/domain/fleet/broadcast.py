"""Broadcast a message to all instances with a bounded fan-out.

The origin sends it to all members of its data centre and to one relay in each
other data centre. A relay forwards it to the members of its data centre.

A large message would occupy the link of the origin for too long. It goes along
a tree: each sender sends it to a few members, and names to each of them the
members to which it must be forwarded.
"""

import typing

from oleanderstair.domain import actions, messages, world
from oleanderstair.domain.fleet import member_list, member_marks
from oleanderstair.domain.tables import members

TREE_FANOUT: typing.Final = 4
"""To how many members of its data centre an instance sends a large message."""


class Branch(typing.NamedTuple):
    """A receiver of a large message, and the keys of those behind it."""

    receiver: members.Member
    forward_to: tuple[int, ...]


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


def local_branches(state: world.World) -> list[Branch]:
    """Divide the other members of this data centre for a large message."""
    return _divide(state, list(member_list.other_local_members(state)))


def branches_of(state: world.World, keys: tuple[int, ...]) -> list[Branch]:
    """Divide the members with these keys; those that are dead are left out."""
    wanted_keys = frozenset(keys)
    return _divide(
        state,
        [
            row
            for row in member_list.other_local_members(state)
            if member_marks.incarnation_key(row.incarnation) in wanted_keys
        ],
    )


def send_to_relays(
    state: world.World,
    message: messages.Message,
) -> list[actions.Action]:
    """Send a message to one relay in each other data centre."""
    return send_to_members(_choose_relays(state), message)


def _divide(state: world.World, rows: list[members.Member]) -> list[Branch]:
    """Divide members into branches, those of a high capacity first.

    Members of equal capacity are in random order, so that the branches of two
    origins differ, and a member that fails doesn't cut off the same others
    twice.
    """
    state.rng.shuffle(rows)
    rows.sort(key=_negated_capacity)
    return [
        Branch(
            row,
            tuple(
                member_marks.incarnation_key(other.incarnation)
                for other in rows[position + TREE_FANOUT :: TREE_FANOUT]
            ),
        )
        for position, row in enumerate(rows[:TREE_FANOUT])
    ]


def _negated_capacity(row: members.Member) -> int:
    return -row.capacity


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
