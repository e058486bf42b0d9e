"""Learns how many slots of a target add throughput.

Some targets slow down when nearly full. Each call then takes longer, so that
filling the last slots lowers the number of answers per second. The slowdown
is learned for each service and concurrency, by the number of calls that the
target ran when a call began. Until there is enough evidence, targets are
assumed to slow down above four fifths of their slots. Calls that would
otherwise be refused are sent to the last slots, which yields the evidence.
"""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import concurrency, registry

NEARLY_FULL_SHARE: typing.Final = 0.8
"""The share of the slots above which a slowdown is assumed."""

_PRIOR_MEAN: typing.Final = 0.35
PRIOR_SLOWDOWN: typing.Final = concurrency.LogMean(_PRIOR_MEAN, 2)
"""The slowdown assumed of nearly full targets without evidence.

A call takes 1.4 times as long (the mean is a logarithm). The assumption has
the weight of two answers.
"""

LOW_LOAD_SHARE: typing.Final = 0.5
"""The share of the slots up to which no slowdown is assumed."""

MAX_LEARNING_SLOWNESS: typing.Final = 1.5
"""The machine slowness above which answers are not used as evidence."""

_MIN_LOW_LOAD_ANSWERS: typing.Final = 8
"""The minimum number of answers for a baseline."""

_MIN_LEVEL_ANSWERS: typing.Final = 4
"""The minimum number of answers that show the slowdown at a level."""

_MIN_WEIGHT: typing.Final = 0.03
"""The minimum weight of a new sample in a mean."""

_MIN_LATENCY_MS: typing.Final[clock.Millis] = 1
"""The lower bound of a latency, as its logarithm is taken."""


def learn_slowdown(
    state: world.World,
    route: str,
    level: concurrency.ConcurrencyLevel,
    slots: int,
    latency_ms: clock.Millis,
) -> None:
    """Record the latency of a call that began at a concurrency ``level``.

    The level is a service and the number of calls that the target ran.
    ``latency_ms`` excludes the slowdown by other load on the target's machine.
    Calls at low concurrency give the baseline of their route. Others are
    compared with it once the baseline has enough answers.
    """
    table = state.concurrency
    log_latency = math.log(max(latency_ms, _MIN_LATENCY_MS))
    baseline = table.baseline_by_route.get(route, concurrency.LogMean())
    if level[1] <= math.ceil(slots * LOW_LOAD_SHARE):
        table.baseline_by_route[route] = _update_mean(baseline, log_latency)
    elif baseline.answer_count >= _MIN_LOW_LOAD_ANSWERS:
        table.latency_ratio_by_level[level] = _update_mean(
            _log_slowdown(state, level, slots),
            log_latency - baseline.mean_log,
        )
        table.usable_slots_by_service.pop((level[0], slots), None)


def usable_slots(state: world.World, service: str, slots: int) -> int:
    """Return the concurrency at which a target has its highest throughput.

    ``slots`` is the number of slots of the target, of which no more than
    ``registry.MAX_SLOTS`` are considered.
    """
    slots = min(slots, registry.MAX_SLOTS)
    cached = state.concurrency.usable_slots_by_service
    usable = cached.get((service, slots))
    if usable is None:
        usable = _compute_usable_slots(state, service, slots)
        cached[service, slots] = usable
    return usable


def _compute_usable_slots(state: world.World, service: str, slots: int) -> int:
    """Return the concurrency from which one more call adds no throughput."""
    usable = min(math.ceil(slots * LOW_LOAD_SHARE), slots)
    for running in range(usable + 1, slots + 1):
        current = slowdown(state, service, running, slots)
        previous = slowdown(state, service, running - 1, slots)
        if running / current <= (running - 1) / previous:
            break
        usable = running
    return max(usable, 1)


def has_evidence(state: world.World, service: str, running: int) -> bool:
    """Return whether enough answers show the slowdown at a concurrency.

    These are at least ``_MIN_LEVEL_ANSWERS``, in addition to the assumed ones
    of ``PRIOR_SLOWDOWN``.
    """
    observed = state.concurrency.latency_ratio_by_level.get((service, running))
    return (
        observed is not None
        and observed.answer_count
        >= PRIOR_SLOWDOWN.answer_count + _MIN_LEVEL_ANSWERS
    )


def slowdown(
    state: world.World,
    service: str,
    running: int,
    slots: int,
) -> float:
    """Return the duration of a call at a concurrency, relative to low load."""
    if running <= math.ceil(slots * LOW_LOAD_SHARE):
        return 1
    observed = _log_slowdown(state, (service, min(running, slots)), slots)
    return max(math.exp(observed.mean_log), 1)


def _log_slowdown(
    state: world.World,
    level: concurrency.ConcurrencyLevel,
    slots: int,
) -> concurrency.LogMean:
    """Return the observed slowdown at a level, the assumed one if none."""
    if level[1] > slots * NEARLY_FULL_SHARE:
        return state.concurrency.latency_ratio_by_level.get(
            level, PRIOR_SLOWDOWN
        )
    return state.concurrency.latency_ratio_by_level.get(
        level, concurrency.LogMean()
    )


def _update_mean(
    observed: concurrency.LogMean, sample: float
) -> concurrency.LogMean:
    """Return a mean updated with a sample.

    All samples have the same weight until it would fall below
    ``_MIN_WEIGHT``.
    """
    weight = max(1 / (observed.answer_count + 1), _MIN_WEIGHT)
    mean = observed.mean_log + weight * (sample - observed.mean_log)
    return concurrency.LogMean(mean, observed.answer_count + 1)
