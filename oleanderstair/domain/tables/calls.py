"""Calls in flight at this instance, their attempts, and the queues."""

import collections
import enum
import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain import events
from oleanderstair.domain.tables import catalogue, concurrency


class CallState(enum.Enum):
    """The state of a call that has not been answered yet.

    ``FORWARDED`` is a keyed call that was sent to its home instance.
    ``WAITING`` is a keyed call that waits at its home for the answer of an
    earlier call with the same key.
    """

    QUEUED = 'queued'
    ATTEMPTED = 'attempted'
    FORWARDED = 'forwarded'
    WAITING = 'waiting'


class Attempt(typing.NamedTuple):
    """One dispatch of a call to a target.

    ``is_borrowed`` is true if the slot is not in this instance's share.
    ``load_at_start`` is the load of the target at the dispatch, None if there
    was no recent load report.
    """

    attempt_id: int
    target_id: str
    started_at_ms: clock.Millis
    is_hedge: bool = False
    is_borrowed: bool = False
    load_at_start: concurrency.LoadAtStart | None = None


class Call(typing.NamedTuple):
    """A call that has not been answered yet.

    ``home`` is the instance that a keyed call was forwarded to.
    ``not_run_count`` counts the attempts that ended without having run.
    """

    received: events.CallReceived
    state: CallState
    idempotent: bool
    call_class: catalogue.CallClass
    received_at_ms: clock.Millis
    attempts: tuple[Attempt, ...] = ()
    tried_target_ids: tuple[str, ...] = ()
    last_verdict: events.Verdict | None = None
    home: str = ''
    caller_left: bool = False
    may_have_run: bool = False
    quarantined: bool = False
    not_run_count: int = 0
    possible_run_count: int = 0
    was_hedged: bool = False

    @property
    def call_id(self) -> int:
        """Return the id that the shell assigned to the call."""
        return self.received.call_id


class ServiceQueue(msgspec.Struct):
    """The ids of calls that are queued for a slot.

    Each class has a queue with its oldest call on the left. ``length`` is
    the number of ids in all of them.
    """

    queued_ids_by_class: dict[catalogue.CallClass, collections.deque[int]]
    length: int = 0


class CallsTable(msgspec.Struct):
    """Calls by id, and the queues by service."""

    call_by_id: dict[int, Call] = msgspec.field(default_factory=dict)
    queue_by_service: dict[str, ServiceQueue] = msgspec.field(
        default_factory=dict,
    )
    next_attempt_id: int = 1


def find_attempt(
    attempts: typing.Iterable[Attempt],
    attempt_id: int,
) -> Attempt | None:
    """Return the attempt with an id, None if there is none."""
    for attempt in attempts:
        if attempt.attempt_id == attempt_id:
            return attempt
    return None


def create_queue() -> ServiceQueue:
    """Create an empty queue; its classes are in order of priority."""
    return ServiceQueue(
        {call_class: collections.deque() for call_class in catalogue.CallClass},
    )


def create() -> CallsTable:
    """Create a table without calls."""
    return CallsTable()
