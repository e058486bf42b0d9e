"""Reads a target's report as it stands in a line."""

import typing

_SLOW: typing.Final = 2
"""From what slowness on, as a multiple of the usual, a machine is slow."""


class Report(typing.NamedTuple):
    """How many slots were free, less those that waited, and how slow it was.

    ``slowness`` is a multiple of the usual time of work.
    """

    free: int
    slowness: float

    @property
    def is_slow(self) -> bool:
        """Return whether work took much longer there than usual."""
        return self.slowness >= _SLOW


def read(text: str) -> Report | None:
    """Read ``running+waiting/slots@slowness``, None where it is not that."""
    counts, _, slowness = text.partition('@')
    busy, _, slots = counts.partition('/')
    running, _, waiting = busy.partition('+')
    try:
        free = int(slots) - int(running) - int(waiting)
        return Report(free, float(slowness))
    except ValueError:
        return None
