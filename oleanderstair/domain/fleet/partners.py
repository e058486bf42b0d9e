"""With whom an instance exchanges rosters: neighbours in turn, delegates."""

import typing

from oleanderstair.domain import world
from oleanderstair.domain.fleet import members
from oleanderstair.domain.tables import members as rows

DELEGATES: typing.Final = 2
"""How many instances of a data centre compare with other data centres."""

_DELEGATE_KEY: typing.Final = 'delegate'


def next_turns(
    state: world.World,
    near: typing.Collection[str],
    count: int,
) -> list[str]:
    """Return those whose turn it is; a turn goes round in a drawn order."""
    turns = state.members.turns
    chosen: list[str] = []
    while near and len(chosen) < min(count, len(near)):
        if not turns:
            turns.extend(sorted(near))
            state.rng.shuffle(turns)
        turn = turns.pop()
        if turn in near and turn not in chosen:
            chosen.append(turn)
    return chosen


def is_delegate(state: world.World) -> bool:
    """Return whether this instance compares with other data centres."""
    own = state.identity
    here = members.view(state).living_by_data_centre[own.data_centre]
    chosen = members.delegates(here, _DELEGATE_KEY, DELEGATES)
    return any(row.incarnation == own.incarnation for row in chosen)


def away_delegates(
    state: world.World,
    count: int = DELEGATES,
) -> list[rows.Member]:
    """Return up to ``count`` delegates of each other data centre."""
    found: list[rows.Member] = []
    for place, living in members.view(state).living_by_data_centre.items():
        if place == state.identity.data_centre:
            continue
        chosen = members.delegates(living, _DELEGATE_KEY, DELEGATES)
        found.extend(state.rng.sample(chosen, min(count, len(chosen))))
    return found
