"""Decides how many connections clients may have, and which one gives way.

The limits follow from the descriptors and the memory of the machine. What is
left is for targets, peers and the store.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import byte_budgets

CONNECTION_BYTES: typing.Final = 8500
"""What a connection counts in the byte budget. With a request in progress it
takes twice that."""

RESERVED_DESCRIPTORS: typing.Final = 512
"""Descriptors that clients don't get, where twice as many exist: those of
connections to targets, peers and the store, and of clients' connections that
are accepted but not counted yet."""

MIN_STOPPED_MS: typing.Final = 1000
"""The time without input after which a connection may give way to a new one.
Callers allow a new connection a second."""

_PLATFORM_SHARE: typing.Final = 4
_MEMORY_SHARE: typing.Final = 4
_REFUSED_SHARE: typing.Final = 8


class ConnectionLimits(typing.NamedTuple):
    """The most connections of callers, and of the platform's listeners.

    Those for addresses, readiness and metrics share the second.
    """

    callers: int
    platform: int


class Waiting(typing.NamedTuple):
    """A connection without a request in progress.

    ``stopped_ms`` is the time for which its client has sent nothing, and
    ``is_unfinished`` whether it has sent a part of a request.
    """

    stopped_ms: clock.Millis
    is_unfinished: bool


def create_limits(
    descriptors: int,
    budget: byte_budgets.Budget | None,
    configured: int,
) -> ConnectionLimits:
    """Return the limits of a machine, none of them above ``configured``.

    Without a number of descriptors (0), or a budget, that limits nothing. A
    quarter is for the platform. Beyond a limit, an eighth of it may be open
    while the refusals are delivered.
    """
    bounds = [configured * 2]
    if descriptors:
        reserved = min(RESERVED_DESCRIPTORS, descriptors // 2)
        bounds.append(descriptors - reserved)
    if budget is not None:
        share_bytes = budget.total_bytes // _MEMORY_SHARE
        bounds.append(share_bytes // CONNECTION_BYTES)
    open_at_most = min(bounds)
    available = open_at_most - open_at_most // (_REFUSED_SHARE + 1)
    platform = available // _PLATFORM_SHARE
    return ConnectionLimits(
        callers=max(min(configured, available - platform), 1),
        platform=max(min(configured, platform), 1),
    )


def may_be_refused(limit: int, count: int) -> bool:
    """Return whether a connection above the limit may stay for its refusal.

    Otherwise it is closed without one.
    """
    return count <= limit + max(limit // _REFUSED_SHARE, 1)


def choose_replaced(waiting: typing.Sequence[Waiting]) -> int | None:
    """Return the index of the connection that gives way to a new one, or None.

    It is the one that has sent nothing for the longest, first of those whose
    request is unfinished, then of the idle ones.
    """
    stopped = [
        (found.is_unfinished, found.stopped_ms, index)
        for index, found in enumerate(waiting)
        if found.stopped_ms >= MIN_STOPPED_MS
    ]
    return max(stopped)[2] if stopped else None
