"""Learns how many calls a target of a service runs at once without loss.

Some targets slow down when nearly full: what runs there takes longer, so that
the last slots lose more answers than they add. How much longer is learned by
how many calls a target ran when one more began. Until enough was seen, targets
are taken to slow down from four fifths of their slots on; calls that find no
other room try the last slots.
"""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import crowding

NEARLY_FULL: typing.Final = 0.8
"""The part of the slots above which targets are taken to slow down."""

_PRIOR_MEAN: typing.Final = 0.35
PRIOR: typing.Final = crowding.Seen(_PRIOR_MEAN, 2)
"""What is believed of nearly full targets before any was seen: they take 1.4
times as long; as firmly as after two answers."""

QUIET_SHARE: typing.Final = 0.5
"""The part of the slots up to which a target counts as quiet."""

SLOWED: typing.Final = 1.5
"""The slowness of a machine above which its answers tell nothing of slots."""

_EVIDENCE: typing.Final = 8
_TRIED: typing.Final = 4
_LEAST_WEIGHT: typing.Final = 0.03
_LEAST_MS: typing.Final[clock.Millis] = 1


def learn(
    state: world.World,
    route: str,
    level: crowding.Level,
    slots: int,
    span_ms: clock.Millis,
) -> None:
    """Note how long an answer took that began at a ``level``.

    ``span_ms`` is without what neighbours of the machine did to it.
    """
    table = state.crowding
    newest = math.log(max(span_ms, _LEAST_MS))
    quiet = table.quiet_by_route.get(route, crowding.Seen())
    if level[1] <= math.ceil(slots * QUIET_SHARE):
        table.quiet_by_route[route] = _follow(quiet, newest)
    elif quiet.answers >= _EVIDENCE:
        table.seen_by_level[level] = _follow(
            _seen(state, level, slots),
            newest - quiet.mean,
        )
        table.usable_by_service.pop((level[0], slots), None)


def usable_slots(state: world.World, service: str, slots: int) -> int:
    """Return how many slots of a target of a service are worth filling."""
    known = state.crowding.usable_by_service
    found = known.get((service, slots))
    if found is None:
        found = _work_out_usable(state, service, slots)
        known[service, slots] = found
    return found


def _work_out_usable(state: world.World, service: str, slots: int) -> int:
    """Return the most calls at once up to which one more adds answers."""
    usable = min(math.ceil(slots * QUIET_SHARE), slots)
    for running in range(usable + 1, slots + 1):
        times = multiple(state, service, running, slots)
        before = multiple(state, service, running - 1, slots)
        if running / times <= (running - 1) / before:
            break
        usable = running
    return max(usable, 1)


def is_known(state: world.World, service: str, running: int) -> bool:
    """Return whether enough answers tell what so many calls at once do."""
    seen = state.crowding.seen_by_level.get((service, running))
    return seen is not None and seen.answers >= PRIOR.answers + _TRIED


def multiple(
    state: world.World,
    service: str,
    running: int,
    slots: int,
) -> float:
    """Return how many times as long work takes beside so many calls."""
    if running <= math.ceil(slots * QUIET_SHARE):
        return 1
    seen = _seen(state, (service, min(running, slots)), slots)
    return max(math.exp(seen.mean), 1)


def _seen(
    state: world.World,
    level: crowding.Level,
    slots: int,
) -> crowding.Seen:
    if level[1] > slots * NEARLY_FULL:
        return state.crowding.seen_by_level.get(level, PRIOR)
    return state.crowding.seen_by_level.get(level, crowding.Seen())


def _follow(seen: crowding.Seen, newest: float) -> crowding.Seen:
    weight = max(1 / (seen.answers + 1), _LEAST_WEIGHT)
    mean = seen.mean + weight * (newest - seen.mean)
    return crowding.Seen(mean, seen.answers + 1)
