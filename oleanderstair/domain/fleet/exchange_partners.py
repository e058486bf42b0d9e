"""Choose the members to exchange rosters with: local ones and delegates."""

import typing

from oleanderstair.domain import world
from oleanderstair.domain.fleet import member_list
from oleanderstair.domain.tables import members

DELEGATE_COUNT: typing.Final = 2
"""The number of instances per data centre that query other data centres."""

_DELEGATE_KEY: typing.Final = 'delegate'
"""The key of the rendezvous hashing by which delegates are chosen."""


def choose_local_partners(
    state: world.World,
    local_incarnations: typing.Collection[str],
    count: int,
) -> list[str]:
    """Return up to ``count`` of the local members, in a shuffled rotation.

    The order is shuffled again once every member has had its turn.
    """
    order = state.members.local_partner_order
    chosen: list[str] = []
    while local_incarnations and len(chosen) < min(
        count, len(local_incarnations)
    ):
        if not order:
            order.extend(sorted(local_incarnations))
            state.rng.shuffle(order)
        incarnation = order.pop()
        if incarnation in local_incarnations and incarnation not in chosen:
            chosen.append(incarnation)
    return chosen


def is_delegate(state: world.World) -> bool:
    """Return whether this instance is a delegate of its data centre."""
    own = state.identity
    local = member_list.current_view(state).live_by_data_centre[own.data_centre]
    delegates = member_list.choose_by_key(local, _DELEGATE_KEY, DELEGATE_COUNT)
    return any(row.incarnation == own.incarnation for row in delegates)


def remote_delegates(
    state: world.World,
    count: int = DELEGATE_COUNT,
) -> list[members.Member]:
    """Return up to ``count`` delegates of each other data centre."""
    delegates: list[members.Member] = []
    for data_centre, live in member_list.current_view(
        state
    ).live_by_data_centre.items():
        if data_centre == state.identity.data_centre:
            continue
        chosen = member_list.choose_by_key(live, _DELEGATE_KEY, DELEGATE_COUNT)
        delegates.extend(state.rng.sample(chosen, min(count, len(chosen))))
    return delegates
