"""Latency in relation to the number of calls that a target runs at once."""

import typing

import msgspec

ConcurrencyLevel: typing.TypeAlias = tuple[str, int]
"""A service, and the number of calls that one of its targets runs."""


class LoadAtStart(typing.NamedTuple):
    """The load of a target when a call was sent to it.

    ``running`` is the number of its running calls, this one included.
    ``slowness`` is the time that work takes on its machine, as a multiple of
    the usual time.
    """

    running: int
    slowness: float


class LogMean(typing.NamedTuple):
    """The mean of the logarithms of latencies, and the number of answers."""

    mean_log: float = 0
    answer_count: int = 0


class ConcurrencyTable(msgspec.Struct):
    """Latencies at targets that run few calls, and at fuller ones.

    ``baseline_by_route`` holds latencies in ms at targets with few
    running calls. ``latency_ratio_by_level`` holds multiples of these at
    fuller targets. ``usable_slots_by_service`` caches the number of slots
    worth filling, by service and slot count, until a new latency is recorded.
    """

    baseline_by_route: dict[str, LogMean] = msgspec.field(default_factory=dict)
    latency_ratio_by_level: dict[ConcurrencyLevel, LogMean] = msgspec.field(
        default_factory=dict
    )
    usable_slots_by_service: dict[tuple[str, int], int] = msgspec.field(
        default_factory=dict,
    )


def create() -> ConcurrencyTable:
    """Create a table without latencies."""
    return ConcurrencyTable()
