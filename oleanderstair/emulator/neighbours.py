"""How fast a target's machine works: its neighbours and its cold start."""

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
        self._pace = Pace(0, 1)

    def slowness_at(self, now_ms: clock.Millis) -> float:
        """Return how many times longer work takes that starts now.

        ``now_ms`` never goes back.
        """
        while self._pace.until_ms <= now_ms:
            self._pace = self._draw(self._pace.until_ms)
        slowness = self._pace.slowness * self.slowed
        if now_ms < self.cold_until_ms:
            slowness *= self.cold_factor
        return slowness

    def _draw(self, from_ms: clock.Millis) -> Pace:
        span_ms = self._rng.expovariate(1 / self.noise.every_ms)
        slow = self._rng.random() < self.noise.share
        return Pace(from_ms + span_ms, self.noise.factor if slow else 1)
