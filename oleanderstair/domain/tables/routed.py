"""Routed calls in flight, from their admission to their answer."""

import enum
import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain import events
from oleanderstair.domain.tables import calls, routes


class Stage(enum.Enum):
    """The stage of a routed call that has not been answered yet.

    ``SAMPLING`` awaits load reports before the first dispatch, and
    ``HEDGING`` before a hedge. A ``FORWARDED`` call is held by a peer.
    """

    SAMPLING = 'sampling'
    QUEUED = 'queued'
    SENT = 'sent'
    HEDGING = 'hedging'
    FORWARDED = 'forwarded'


class RoutedCall(typing.NamedTuple):
    """A call on a route that has not been answered yet.

    ``due_at_ms`` is when it must end: at its deadline or at the timeout of its
    route. ``caller_waited_ms`` is the least time for which its caller had
    already waited when it arrived. ``sampled_target_ids`` are the sampled
    targets to choose from, and ``awaited_target_ids`` those whose load report
    is still being read. ``round`` rises with each sample and each queueing, so
    that timers of an earlier one are ignored. ``is_sample_widened`` is true
    once the sample was extended, also by targets in other data centres.
    ``send_count`` counts the dispatches, and ``possible_run_count`` those that
    may have reached their target. ``fallback_attempt_id`` is the attempt whose
    failure is relayed if no other target gives a better answer, 0 if there is
    none. ``is_caller_half_closed`` is true once its caller may have left; the
    call is sent to no further target then. ``hedge_held_back_by`` is the first
    limit that held a hedge back, if any did. ``forwarded_to`` is the peer that
    holds the call, empty if none does.
    """

    received: events.CallReceived
    route: routes.Route
    service: str
    received_at_ms: clock.Millis
    due_at_ms: clock.Millis
    caller_waited_ms: clock.Millis = 0
    stage: Stage = Stage.SAMPLING
    sampled_target_ids: tuple[str, ...] = ()
    awaited_target_ids: frozenset[str] = frozenset()
    round: int = 0
    attempts: tuple[calls.Attempt, ...] = ()
    tried_target_ids: tuple[str, ...] = ()
    send_count: int = 0
    possible_run_count: int = 0
    is_sample_widened: bool = False
    fallback_attempt_id: int = 0
    may_have_run: bool = False
    is_caller_half_closed: bool = False
    hedge_held_back_by: str = ''
    forwarded_to: str = ''
    tried_peers: tuple[str, ...] = ()

    @property
    def may_run(self) -> bool:
        """Return whether the call may have run, or may still run."""
        return bool(self.may_have_run or self.attempts or self.forwarded_to)

    @property
    def call_id(self) -> int:
        """Return the id that the shell assigned to the call."""
        return self.received.call_id

    @property
    def latency_target_at_ms(self) -> clock.Millis:
        """Return the time until which an answer meets the latency target."""
        return self.received_at_ms - self.caller_waited_ms + self.route.aim_ms


class RoutedTable(msgspec.Struct):
    """Routed calls by id, and the ids of those that wait.

    ``awaiting_ids_by_target`` holds the calls that await the target's load
    report, ``queued_ids_by_service`` the calls that are queued because no
    target has a free slot. ``services_seeking_slots`` holds the services that
    are periodically checked for free slots, and
    ``slots_short_at_ms_by_service`` the last time at which a call found none.
    """

    call_by_id: dict[int, RoutedCall] = msgspec.field(default_factory=dict)
    awaiting_ids_by_target: dict[str, list[int]] = msgspec.field(
        default_factory=dict,
    )
    queued_ids_by_service: dict[str, list[int]] = msgspec.field(
        default_factory=dict,
    )
    services_seeking_slots: set[str] = msgspec.field(default_factory=set)
    slots_short_at_ms_by_service: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    next_attempt_id: int = 1


def create() -> RoutedTable:
    """Create a table without calls."""
    return RoutedTable()
