"""Records the traces anew from a fixed seed: ``python -m bench.record``."""

import math
import random
import typing

from bench import traces

SEED: typing.Final = 20
SPAN_MS: typing.Final = 3000
WORK_MS: typing.Final = 20
WORK_SIGMA: typing.Final = 0.4
DEADLINE_MS: typing.Final = 1000
INSTANCES: typing.Final = 20
STRAGGLER_SHARE: typing.Final = 0.01
STRAGGLER_FACTOR: typing.Final = 30
US_PER_MS: typing.Final = 1000
CRASHING_CALLS: typing.Final = 4

_KINDS: typing.Final = ('i', 'o', 'd')
_KIND_WEIGHTS: typing.Final = (70, 20, 10)
_NOT_IDEMPOTENT_SHARE: typing.Final = 0.05


class Size(typing.NamedTuple):
    """The service of one deployment."""

    service: str
    targets: int
    slots: int


class Shape(typing.NamedTuple):
    """The load over time, as a multiple of what all slots can serve."""

    load_at: typing.Callable[[float], float]
    stragglers: bool = False
    faults: tuple[traces.Fault, ...] = ()
    crashes: bool = False
    target_queue: int = 0


_BURZA: typing.Final = Size('burza', 15, 4)
_CATALOGO: typing.Final = Size('catalogo', 18, 6)
_QUEUE: typing.Final = 8


def main() -> None:
    """Record every trace."""
    for name, (size, shape) in _shapes().items():
        traces.save(_record(name, size, shape))


def _constant(load: float) -> typing.Callable[[float], float]:
    return lambda at_ms: load


def _swing(crest: float) -> typing.Callable[[float], float]:
    return lambda at_ms: crest if 1000 <= at_ms < 2200 else 0.3


def _shapes() -> dict[str, tuple[Size, Shape]]:
    steady = _constant(0.6)
    slowing = (traces.Fault(800, 'slow', 3, 10),)
    failing = (traces.Fault(800, 'fail-fast', 3),)
    lying = tuple(
        traces.Fault(0, 'report', number, 0) for number in range(5)
    ) + (traces.Fault(0, 'report', 5, 40),)
    returning = (
        traces.Fault(500, 'unreachable', 3),
        traces.Fault(1500, 'slow', 3, 4),
        traces.Fault(1500, 'serve', 3),
        traces.Fault(2300, 'slow', 3, 1),
    )
    silent = tuple(
        traces.Fault(800, 'silent-connections', number) for number in (2, 3, 4)
    )
    return {
        'steady': (_BURZA, Shape(steady)),
        'steady-catalogo': (_CATALOGO, Shape(steady)),
        'full-1x': (_BURZA, Shape(_constant(1))),
        'full-2x': (_BURZA, Shape(_constant(2))),
        'swing-1.5x': (_BURZA, Shape(_swing(1.5))),
        'swing-2x-catalogo': (_CATALOGO, Shape(_swing(2))),
        'stragglers': (_BURZA, Shape(_constant(0.5), stragglers=True)),
        'stragglers-queue': (
            _BURZA,
            Shape(_constant(0.5), stragglers=True, target_queue=_QUEUE),
        ),
        'no-stragglers-queue': (
            _BURZA,
            Shape(_constant(0.5), target_queue=_QUEUE),
        ),
        'slowing': (_BURZA, Shape(steady, faults=slowing)),
        'fail-fast': (_BURZA, Shape(steady, faults=failing)),
        'lying': (
            _BURZA,
            Shape(steady, faults=lying, target_queue=_QUEUE),
        ),
        'returning': (_BURZA, Shape(steady, faults=returning)),
        'silent': (_BURZA, Shape(steady, faults=silent)),
        'crashing': (_BURZA, Shape(steady, crashes=True)),
    }


def _record(name: str, size: Size, shape: Shape) -> traces.Trace:
    rng = random.Random(f'{SEED}/{size.service}')
    capacity_per_ms = size.targets * size.slots / WORK_MS
    calls: list[traces.Call] = []
    at_ms = float()
    while True:
        at_ms += rng.expovariate(shape.load_at(at_ms) * capacity_per_ms)
        if at_ms >= SPAN_MS:
            break
        calls.append(_draw_call(rng, at_ms, shape.stragglers))
    if shape.crashes:
        for number in range(CRASHING_CALLS):
            at_us = (800 + 100 * number) * US_PER_MS
            calls.append(traces.Call(at_us, 0, 'i', 1, crashes=True))
        calls.sort(key=lambda call: call.at_us)
    return traces.Trace(
        name=name,
        service=size.service,
        targets=size.targets,
        slots=size.slots,
        instances=INSTANCES,
        target_queue=shape.target_queue,
        deadline_ms=DEADLINE_MS,
        typical_work_us=WORK_MS * US_PER_MS,
        calls=calls,
        faults=list(shape.faults),
    )


def _draw_call(
    rng: random.Random,
    at_ms: float,
    stragglers: bool,
) -> traces.Call:
    mean = -WORK_SIGMA * WORK_SIGMA / 2
    work_ms = WORK_MS * math.exp(rng.gauss(mean, WORK_SIGMA))
    straggles = rng.random() < STRAGGLER_SHARE
    if straggles and stragglers:
        work_ms = WORK_MS * STRAGGLER_FACTOR
    return traces.Call(
        at_us=int(at_ms * US_PER_MS),
        instance=rng.randrange(INSTANCES),
        kind=rng.choices(_KINDS, _KIND_WEIGHTS)[0],
        work_us=int(work_ms * US_PER_MS),
        idempotent=rng.random() >= _NOT_IDEMPOTENT_SHARE,
    )


if __name__ == '__main__':
    main()
