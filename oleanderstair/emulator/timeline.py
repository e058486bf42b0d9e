"""Runs work in the order of its time on a virtual clock."""

import heapq
import itertools
import typing

from oleanderstair import clock

Work: typing.TypeAlias = typing.Callable[[], None]


class Timeline:
    """Work that is due, and the clock that it moves."""

    def __init__(self) -> None:
        """Start at 0 ms with nothing due."""
        self.clock = clock.create_virtual()
        self._due: list[tuple[clock.Millis, int, Work]] = []
        self._order = itertools.count()

    def now_ms(self) -> clock.Millis:
        """Return the virtual time in ms."""
        return self.clock.at_ms

    def after(self, delay_ms: clock.Millis, work: Work) -> None:
        """Run ``work`` once ``delay_ms`` have passed."""
        at_ms = self.clock.at_ms + delay_ms
        heapq.heappush(self._due, (at_ms, next(self._order), work))

    def run_for(self, span_ms: clock.Millis) -> None:
        """Let ``span_ms`` pass."""
        until_ms = self.clock.at_ms + span_ms
        while self._due and self._due[0][0] <= until_ms:
            at_ms, _, work = heapq.heappop(self._due)
            self.clock.at_ms = at_ms
            work()
        self.clock.at_ms = until_ms


def create() -> Timeline:
    """Create an empty timeline."""
    return Timeline()
