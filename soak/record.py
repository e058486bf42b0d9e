"""What callers, targets and the soak itself have seen, by the second."""

import dataclasses
import math
import typing

from oleanderstair import clock
from soak import bounds

AT_WORK: typing.Final = 'at-work'
ANSWERED: typing.Final = 'answered'
DROPPED: typing.Final = 'dropped'
BROKE_OFF: typing.Final = 'broke-off'
"""How a run ended, if it did: its target answered, its connection was closed
by the instance, or the target itself broke off."""


class Call(typing.NamedTuple):
    """One call as its caller saw it; status 0 is an end without an answer.

    ``lives`` are the starts of the instance at the call's begin and end.
    ``fill`` is by how many bytes the answer was to be longer, ``pause_ms``
    how long its body was to come after its head. ``whole_s`` is when its last
    byte was sent, where that is later than its first. ``habit`` tells how it
    was sent.
    """

    request_id: str
    route: str
    once: bool
    instance: str
    lives: tuple[int, int]
    sent_s: float
    ended_s: float
    status: int
    end: str
    answered_id: str = ''
    signed: bool = False
    body: bytes = b''
    version: int = 0
    fill: int = 0
    pause_ms: clock.Millis = 0
    deadline_ms: clock.Millis = bounds.DEADLINE_MS
    whole_s: float = 0
    habit: str = ''

    @property
    def due_s(self) -> float:
        """Return when it has to be answered at the latest."""
        left_ms = min(self.deadline_ms, bounds.TIMEOUT_MS)
        return self.sent_s + clock.to_seconds(left_ms)


class Run(typing.NamedTuple):
    """One call that a target began to run, and how that ended."""

    request_id: str
    target: str
    at_s: float
    method: str
    path: str
    body: bytes
    ended_s: float = math.inf
    end: str = AT_WORK


class Sent(typing.NamedTuple):
    """What a caller asked for, to compare with what ran."""

    method: str
    path: str
    body: bytes


class Span(typing.NamedTuple):
    """A time in which something was so; ``where`` names a place or link."""

    where: str
    from_s: float
    until_s: float


@dataclasses.dataclass(slots=True)
class Record:
    """All that one scenario has shown."""

    calls: list[Call] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    sent_by_id: dict[str, Sent] = dataclasses.field(default_factory=dict)
    published: list[tuple[int, float]] = dataclasses.field(
        default_factory=list,
    )
    leaving: list[Span] = dataclasses.field(default_factory=list)
    limited: list[Span] = dataclasses.field(default_factory=list)
    evacuated: list[Span] = dataclasses.field(default_factory=list)
    cold: list[Span] = dataclasses.field(default_factory=list)
    harmed: list[Span] = dataclasses.field(default_factory=list)
    planned: list[Span] = dataclasses.field(default_factory=list)
    down: list[Span] = dataclasses.field(default_factory=list)
    late_stops: list[Span] = dataclasses.field(default_factory=list)
    ended_alone: list[str] = dataclasses.field(default_factory=list)
    stalls: list[Span] = dataclasses.field(default_factory=list)
    instances: tuple[str, ...] = ()
    quiet_from_s: float = 0
    ended_s: float = 0

    def runs_by_id(self) -> dict[str, list[Run]]:
        """Return the runs of each call."""
        found: dict[str, list[Run]] = {}
        for run in self.runs:
            found.setdefault(run.request_id, []).append(run)
        return found


def touches(
    spans: typing.Iterable[Span],
    wheres: typing.Collection[str],
    from_s: float,
    until_s: float,
) -> bool:
    """Return whether any span at some places overlaps a time."""
    return any(
        span.where in wheres
        and span.from_s <= until_s
        and span.until_s >= from_s
        for span in spans
    )
