"""Which instances a caller is told to connect to.

Callers choose among the named at random, so that instances get callers by how
often they are named: by what they can carry, where a data centre has many.
"""

import math
import typing

from oleanderstair.domain import world
from oleanderstair.domain.fleet import members
from oleanderstair.domain.tables import members as rows

ADDRESS_LIMIT: typing.Final = 64
"""How many addresses an answer names at most."""

FEWEST: typing.Final = 2
"""How many instances of a data centre are enough on their own."""

NAMED: typing.Final = 8
"""Up to how many instances of a data centre are all named: fewer are soon
lost together."""

NAMED_SHARE: typing.Final = 0.5
"""What part of more than those an answer names."""

_FEW_SHARE: typing.Final = 0.5


def addresses(state: world.World, data_centre: str) -> list[str]:
    """Return caller addresses for a data centre, spread; may be empty.

    Others are named where the data centre asked about has too few.
    """
    ready = _ready(state)
    near = [row for row in ready if row.data_centre == data_centre]
    far = [row for row in ready if row.data_centre != data_centre]
    wanted = _enough(state, ready)
    near = _draw(state, near)
    state.address_rng.shuffle(far)
    if len(near) < wanted:
        near.extend(far[: wanted - len(near)])
    return [row.caller_address for row in near[:ADDRESS_LIMIT]]


def _draw(
    state: world.World,
    near: list[rows.Member],
) -> list[rows.Member]:
    """Return some instances, each the likelier the more it can carry."""
    named = max(NAMED, math.ceil(len(near) * NAMED_SHARE))
    rng = state.address_rng
    drawn = sorted(
        near,
        key=lambda row: rng.random() ** (1 / max(row.capacity, 1)),
        reverse=True,
    )[:named]
    rng.shuffle(drawn)
    return drawn


def _ready(state: world.World) -> list[rows.Member]:
    """Return the instances that take callers; one that leaves as the last."""
    living = members.view(state).living_by_data_centre
    found = [row for place in living.values() for row in place]
    ready = [row for row in found if row.standing is rows.Standing.READY]
    if ready:
        return ready
    own = members.own_row(state)
    return [] if own.standing is rows.Standing.STARTING else [own]


def _enough(state: world.World, ready: list[rows.Member]) -> int:
    """Return how many instances the callers of a data centre need."""
    places = {row.data_centre for row in ready}
    if not places:
        return 0
    mean = len(ready) / len(places)
    return max(FEWEST, int(mean * _FEW_SHARE))
