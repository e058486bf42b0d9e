"""Draws the faults of one scenario from a seed, and from nothing else."""

import enum
import math
import random
import typing

from oleanderstair import clock
from soak import bounds, odd_entries

INSTANCES: typing.Final = tuple(f'entry-{number}' for number in range(1, 5))
STORE_PLACE: typing.Final = 'store'
TARGETS_PLACE: typing.Final = 'targets'
TARGETS: typing.Final = tuple(
    f'{service}-{number}'
    for service in ('burza', 'sklad')
    for number in range(1, 4)
)
DATA_CENTRE_BY_TARGET: typing.Final = {
    target: 'nitra' if target.endswith('-3') else 'trnava' for target in TARGETS
}

_MS_PER_S: typing.Final = 1000
_PER_S: typing.Final = 0.8
_CALM_MS: typing.Final = 1500
_DELAYS_MS: typing.Final = (5, 50, 300)
_SPANS_MS: typing.Final = (200, 700, 1500, 3000)
_LEAVE_SPAN_MS: typing.Final = 4000
_LIMIT_SPAN_MS: typing.Final = 9000
_EVACUATION_SPAN_MS: typing.Final = 7500
"""Longer than the bound after which nothing comes."""

_SERIES_MS: typing.Final = 400
_SERIES_SHARE: typing.Final = 0.25
_ADDED_PER_S: typing.Final = 0.1


class Kind(enum.Enum):
    """What happens to an instance, a link, a target or the configuration."""

    STOP = 'stop'
    KILL = 'kill'
    PAUSE = 'pause'
    RELOAD = 'reload'
    DELAY = 'delay'
    RESET = 'reset'
    CUT_UP = 'cut-up'
    CUT_DOWN = 'cut-down'
    SILENT = 'silent'
    PUBLISH = 'publish'
    LEAVE = 'leave'
    LIMIT = 'limit'
    RESTORE = 'restore'
    ODD_ENTRY = 'odd-entry'
    SEVER = 'sever'
    EVACUATE = 'evacuate'
    MISBEHAVE = 'misbehave'
    COLD = 'cold'


OPERATOR: typing.Final = (Kind.PUBLISH, Kind.LEAVE, Kind.LIMIT)
_PLANNED_SCENE: typing.Final = (Kind.STOP, Kind.RELOAD, *OPERATOR)
PLANNED: typing.Final = (*_PLANNED_SCENE, Kind.EVACUATE)
STORE: typing.Final = (Kind.RESTORE,)
SIGNALS: typing.Final = (Kind.STOP, Kind.KILL, Kind.PAUSE, Kind.RELOAD)
LINKS: typing.Final = (
    Kind.DELAY,
    Kind.RESET,
    Kind.CUT_UP,
    Kind.CUT_DOWN,
    Kind.SILENT,
)
_SCENES: typing.Final = (
    _PLANNED_SCENE,
    SIGNALS + STORE + OPERATOR,
    LINKS + STORE + OPERATOR,
    SIGNALS + LINKS + STORE + OPERATOR,
)


_PLACES_BY_ADDED_KIND: typing.Final = {
    Kind.ODD_ENTRY: tuple(odd_entries.BY_NAME),
    Kind.SEVER: INSTANCES,
}


class Fault(typing.NamedTuple):
    """One fault: what, where, from when and for how long."""

    kind: Kind
    where: str
    at_ms: clock.Millis
    span_ms: clock.Millis
    delay_ms: clock.Millis = 0

    @property
    def end_ms(self) -> clock.Millis:
        """Return when it is over, by plan."""
        return self.at_ms + self.span_ms


class Plan(typing.NamedTuple):
    """A scenario: its seed, how long it plays, and its faults by time."""

    seed: int
    seconds: float
    faults: tuple[Fault, ...]


def draw(seed: int, seconds: float) -> Plan:
    """Return the scenario of a seed; every fourth has planned work only."""
    rng = random.Random(seed)
    kinds = _SCENES[seed % len(_SCENES)]
    count = max(int(seconds * _PER_S), 1)
    count_added = math.ceil(seconds * _ADDED_PER_S)
    last_ms = max(seconds * _MS_PER_S - _CALM_MS, _CALM_MS)
    found: list[Fault] = []
    while len(found) < count:
        at_ms = round(rng.uniform(_CALM_MS, last_ms))
        found.append(_draw_fault(rng, rng.choice(kinds), at_ms))
        # A series strikes one place again before it has recovered.
        if rng.random() < _SERIES_SHARE:
            again = _draw_fault(rng, rng.choice(kinds), at_ms + _SERIES_MS)
            if _is_alike(again, found[-1]):
                again = again._replace(where=found[-1].where)
            found.append(again)
    found.extend(_draw_added(seed, count_added, last_ms))
    found.extend(_draw_evacuation(seed, last_ms))
    if _SCENES[seed % len(_SCENES)] is not _PLANNED_SCENE:
        found.append(_draw_cold(seed, last_ms))
        found.append(_draw_crowd(seed, last_ms))
    return Plan(seed, seconds, tuple(sorted(found, key=order)))


def _draw_added(
    seed: int, count: int, last_ms: clock.Millis
) -> typing.Iterator[Fault]:
    """Draw the faults of later kinds, by which no earlier draw changes."""
    if _SCENES[seed % len(_SCENES)] is _PLANNED_SCENE:
        return
    rng = random.Random(f'added {seed}')
    for _ in range(count):
        for kind, places in _PLACES_BY_ADDED_KIND.items():
            at_ms = round(rng.uniform(_CALM_MS, last_ms))
            yield Fault(kind, rng.choice(places), at_ms, rng.choice(_SPANS_MS))


def _draw_evacuation(
    seed: int, last_ms: clock.Millis
) -> typing.Iterator[Fault]:
    """Draw one evacuation for every second seed, as it takes long."""
    if seed % 2:
        return
    rng = random.Random(f'evacuation {seed}')
    where = rng.choice(sorted(set(DATA_CENTRE_BY_TARGET.values())))
    at_ms = round(rng.uniform(_CALM_MS, last_ms))
    yield Fault(Kind.EVACUATE, where, at_ms, _EVACUATION_SPAN_MS)


def _draw_crowd(seed: int, last_ms: clock.Millis) -> Fault:
    """Draw a crowd of clients that don't behave at an instance."""
    rng = random.Random(f'crowd {seed}')
    at_ms = round(rng.uniform(_CALM_MS, last_ms))
    return Fault(
        Kind.MISBEHAVE, rng.choice(INSTANCES), at_ms, rng.choice(_SPANS_MS)
    )


def _draw_cold(seed: int, last_ms: clock.Millis) -> Fault:
    """Draw a return of all targets as cold ones."""
    rng = random.Random(f'cold {seed}')
    at_ms = round(rng.uniform(_CALM_MS, last_ms))
    return Fault(Kind.COLD, TARGETS_PLACE, at_ms, bounds.COLD_S * _MS_PER_S)


def links() -> list[str]:
    """Return the names of all links that can be harmed."""
    return [
        *(f'callers:{name}' for name in INSTANCES),
        *(f'store:{name}' for name in INSTANCES),
        *(f'peers:{name}' for name in INSTANCES),
        *(f'target:{name}' for name in TARGETS),
    ]


def _draw_fault(rng: random.Random, kind: Kind, at_ms: clock.Millis) -> Fault:
    span_ms = rng.choice(_SPANS_MS)
    if kind in SIGNALS:
        return Fault(kind, rng.choice(INSTANCES), at_ms, span_ms)
    if kind is Kind.PUBLISH:
        return Fault(kind, STORE_PLACE, at_ms, 0)
    if kind is Kind.RESTORE:
        return Fault(kind, STORE_PLACE, at_ms, span_ms)
    if kind is Kind.LEAVE:
        # It serves on for longer than the bound after which nothing comes.
        return Fault(kind, rng.choice(TARGETS), at_ms, _LEAVE_SPAN_MS)
    if kind is Kind.LIMIT:
        return Fault(kind, rng.choice(TARGETS), at_ms, _LIMIT_SPAN_MS)
    delay_ms = rng.choice(_DELAYS_MS)
    return Fault(kind, rng.choice(links()), at_ms, span_ms, delay_ms)


def _is_alike(one: Fault, other: Fault) -> bool:
    families = (SIGNALS, LINKS)
    return any(one.kind in kind and other.kind in kind for kind in families)


def order(fault: Fault) -> tuple[clock.Millis, str, str]:
    """Return what faults are sorted by."""
    return fault.at_ms, fault.kind.value, fault.where
