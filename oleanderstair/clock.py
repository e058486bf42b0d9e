"""Clocks in milliseconds; tests and replay use one that they advance."""

import time
import typing

import msgspec

Millis: typing.TypeAlias = float

NEVER_MS: typing.Final[Millis] = float('-inf')
"""A point in time before any other, for events that have not happened."""

_NS_PER_MS: typing.Final = 1_000_000


class Clock(typing.Protocol):
    """A monotonic clock in ms since an arbitrary start."""

    def now_ms(self) -> Millis:
        """Return the current time in ms."""


class _MonotonicClock:
    def now_ms(self) -> Millis:
        return time.monotonic_ns() / _NS_PER_MS


class VirtualClock(msgspec.Struct):
    """A clock that only ``advance`` moves, for tests and replay."""

    at_ms: Millis = 0

    def now_ms(self) -> Millis:
        """Return the current virtual time in ms."""
        return self.at_ms

    def advance(self, by_ms: Millis) -> Millis:
        """Move the clock forward by ``by_ms`` and return the new time."""
        self.at_ms += by_ms
        return self.at_ms


def create_monotonic() -> Clock:
    """Create a clock that reads the machine's monotonic time."""
    return _MonotonicClock()


def create_virtual(at_ms: Millis = 0) -> VirtualClock:
    """Create a clock that shows ``at_ms`` until it is advanced."""
    return VirtualClock(at_ms)


def to_seconds(span_ms: Millis) -> float:
    """Convert ms to seconds for library timeouts, and a negative span to 0."""
    return max(span_ms, 0) / 1000  # noqa: WPS432 (ms in a second)
