"""How fast a target's machine works: its neighbours and its cold start."""

import collections
import random
import typing

from oleanderstair import clock


class Noise(typing.NamedTuple):
    """Neighbours that slow a machine a ``share`` of the time.

    They make work ``factor`` times longer, and come and go about every
    ``every_ms``.
    """

    share: float = 0.35
    factor: float = 5
    every_ms: clock.Millis = 150


NONE: typing.Final = Noise(share=0)


class Pace(typing.NamedTuple):
    """How many times the usual work takes until a moment."""

    until_ms: clock.Millis
    slowness: float


class Neighbours:
    """The pace of one machine over time, drawn as it is asked for."""

    def __init__(self, noise: Noise, rng: random.Random) -> None:
        """Draw the noise by ``rng``, which nothing else draws from."""
        self.noise = noise
        self.cold_until_ms: clock.Millis = clock.NEVER_MS
        self.cold_factor = 1.0
        self.slowed = 1.0
        self._rng = rng
        self._paces = collections.deque([Pace(0, 1)])

    def slowness_at(self, now_ms: clock.Millis) -> float:
        """Return the pace now; ``now_ms`` never goes back."""
        while self._paces[0].until_ms <= now_ms:
            passed = self._paces.popleft()
            if not self._paces:
                self._paces.append(self._draw(passed.until_ms))
        return self._pace_of(self._paces[0], now_ms).slowness

    def end_of(self, now_ms: clock.Millis, work_ms: clock.Millis) -> float:
        """Return when work that starts now ends, in ms."""
        self.slowness_at(now_ms)
        at_ms = now_ms
        left_ms = work_ms
        for drawn in self._paces:
            at_ms, left_ms = self._work_through(drawn, at_ms, left_ms)
        while left_ms > 0:
            further = self._draw(at_ms)
            self._paces.append(further)
            at_ms, left_ms = self._work_through(further, at_ms, left_ms)
        return at_ms

    def _work_through(
        self,
        drawn: Pace,
        at_ms: clock.Millis,
        left_ms: clock.Millis,
    ) -> tuple[clock.Millis, clock.Millis]:
        while left_ms > 0 and at_ms < drawn.until_ms:
            pace = self._pace_of(drawn, at_ms)
            done_ms = (pace.until_ms - at_ms) / pace.slowness
            if done_ms >= left_ms:
                return at_ms + left_ms * pace.slowness, 0
            left_ms -= done_ms
            at_ms = pace.until_ms
        return at_ms, left_ms

    def _pace_of(self, drawn: Pace, at_ms: clock.Millis) -> Pace:
        slowness = drawn.slowness * self.slowed
        if at_ms >= self.cold_until_ms:
            return Pace(drawn.until_ms, slowness)
        until_ms = min(drawn.until_ms, self.cold_until_ms)
        return Pace(until_ms, slowness * self.cold_factor)

    def _draw(self, from_ms: clock.Millis) -> Pace:
        span_ms = self._rng.expovariate(1 / self.noise.every_ms)
        slow = self._rng.random() < self.noise.share
        return Pace(from_ms + span_ms, self.noise.factor if slow else 1)
