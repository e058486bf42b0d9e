"""Decides which buffered bytes an instance accepts, and which it gives up.

Buffered bytes are those of request heads and bodies, of requests that wait
unparsed, of answers that are being read from targets, and of answers that
callers have not received yet.
"""

import typing

from oleanderstair import clock

RESIDENT_MB: typing.Final = 64
"""What an instance needs at rest, with the tables of the largest fleet."""

COPIES: typing.Final = 2
"""How often a counted byte is in memory while it is joined or written."""

MIN_TOTAL_BYTES: typing.Final = 8_388_608
"""The smallest budget: twice the largest answer."""

SMALL_BYTES: typing.Final = 32_768
"""Up to this size, the bytes of a call may use the reserve. Answers of urgent
calls have 400 bytes, those of downloads 90 KB."""

MIN_STOPPED_MS: typing.Final = 1500
"""The time without progress after which a reader may be cut off. A packet that
is lost twice stops a transfer for some 600 ms."""

FIELD_BYTES: typing.Final = 160
"""What a line of a head counts besides its bytes. Its objects, as received and
as forwarded, take 250 to 400 bytes, and ``COPIES`` covers twice of this."""

MIN_SIZE_RATIO: typing.Final = 2
"""How many times the size of a call another one must hold to be displaced by it
while it is still sent or answered. Calls of one size don't displace each other.
"""

MIN_RETRY_MS: typing.Final = 100
MAX_RETRY_MS: typing.Final = 2000
"""Bounds of the retry time of a refusal. Callers honour up to a third of the
time that they have left."""

_BYTES_PER_MB: typing.Final = 1_000_000
_MS_PER_S: typing.Final = 1000
_SHARE_DIVISOR: typing.Final = 4
_RESERVE_DIVISOR: typing.Final = 8


class Budget(typing.NamedTuple):
    """The most bytes that an instance, a holder and a target may have.

    A holder is a connection of a caller, or a peer that forwards calls.
    ``reserve_bytes`` of the total are for small calls only. Unfinished answers
    that together hold ``unfinished_bytes`` or more may have to give way.
    """

    total_bytes: int
    holder_bytes: int
    target_bytes: int
    reserve_bytes: int
    unfinished_bytes: int


class Usage(typing.NamedTuple):
    """The bytes held by all, and by the holder of a call in its other calls."""

    total_bytes: int
    holder_bytes: int


class Reader(typing.NamedTuple):
    """A caller with unread bytes, and how long it has read nothing.

    ``awaited_ms`` is the time left in which it may read late, up to 0 if none.
    """

    unread_bytes: int
    stopped_ms: clock.Millis
    awaited_ms: clock.Millis = 0


class Sender(typing.NamedTuple):
    """A client with an unfinished request, and how long it has sent nothing."""

    held_bytes: int
    stopped_ms: clock.Millis


class UnfinishedAnswer(typing.NamedTuple):
    """An answer that is being read from a target of a service."""

    held_bytes: int
    service: str


class AnswerClaim(typing.NamedTuple):
    """What a call of a service needs to grow to ``size``.

    ``is_growing`` is true for an answer that holds bytes and has no declared
    length.
    """

    size: int
    service: str
    is_growing: bool = False


def create_budget(memory_mb: float) -> Budget | None:
    """Return the budget of a machine; None without a limit of memory."""
    if not memory_mb:
        return None
    free_bytes = int((memory_mb - RESIDENT_MB) * _BYTES_PER_MB)
    total_bytes = max(free_bytes // COPIES, MIN_TOTAL_BYTES)
    return Budget(
        total_bytes=total_bytes,
        holder_bytes=total_bytes // _SHARE_DIVISOR,
        target_bytes=total_bytes // _SHARE_DIVISOR,
        reserve_bytes=total_bytes // _RESERVE_DIVISOR,
        unfinished_bytes=total_bytes // _SHARE_DIVISOR,
    )


def may_hold(
    budget: Budget, usage: Usage, held_bytes: int, more_bytes: int
) -> bool:
    """Return whether a call that holds ``held_bytes`` may hold more.

    The share of a holder limits it only beside other calls of its own, so that
    a body larger than the share is possible at all.
    """
    size = held_bytes + more_bytes
    if excess_bytes_of(budget, usage, size, more_bytes) > 0:
        return False
    return is_within_share(budget, usage, size)


def is_within_share(budget: Budget, usage: Usage, size: int) -> bool:
    """Return whether the share of a holder allows a call of ``size``."""
    if size <= SMALL_BYTES or not usage.holder_bytes:
        return True
    return usage.holder_bytes + size <= budget.holder_bytes


def head_bytes(size: int, line_count: int) -> int:
    """Return what a part of a head counts, by its size and its lines."""
    return size + line_count * FIELD_BYTES


def may_ever_hold(budget: Budget, size: int) -> bool:
    """Return whether a call of ``size`` fits while nothing else is held."""
    return size <= _limit_of(budget, size)


def may_send(budget: Budget, target_bytes: int, size: int) -> bool:
    """Return whether a body may be sent to a target beside those it has.

    A target without any other request gets a body of any size.
    """
    if size <= SMALL_BYTES or not target_bytes:
        return True
    return target_bytes + size <= budget.target_bytes


def choose_cut(readers: typing.Sequence[Reader]) -> int | None:
    """Return the index of the reader to cut off, or None.

    It is the one that has read nothing for the longest, at equal times the one
    with the most bytes. A reader that has read something in the last
    ``MIN_STOPPED_MS``, or that is still awaited, is never cut off: a new call
    that doesn't fit can be refused and come again, its answer can't.
    """
    stopped = [
        (reader.stopped_ms, reader.unread_bytes, index)
        for index, reader in enumerate(readers)
        if reader.unread_bytes
        and reader.stopped_ms >= MIN_STOPPED_MS
        and reader.awaited_ms <= 0
    ]
    return max(stopped)[2] if stopped else None


def choose_refused(
    senders: typing.Sequence[Sender], size: int, excess_bytes: int
) -> list[int]:
    """Return the indexes of the senders to refuse for a call of ``size``.

    They hold the most of those that have stopped and, for a small call, of
    those that hold much more than the call. An unfinished request has not run,
    so that it can be refused. None is where all of them hold less than
    ``excess_bytes``.
    """
    may_displace = size <= SMALL_BYTES
    refusable = [
        (sender.held_bytes, sender.stopped_ms, index)
        for index, sender in enumerate(senders)
        if sender.stopped_ms >= MIN_STOPPED_MS
        or (may_displace and sender.held_bytes >= size * MIN_SIZE_RATIO)
    ]
    chosen = []
    for held_bytes, _, index in sorted(refusable, reverse=True):
        if excess_bytes <= 0 or not held_bytes:
            break
        chosen.append(index)
        excess_bytes -= held_bytes
    return chosen if excess_bytes <= 0 else []


def choose_displaced(
    budget: Budget,
    answers: typing.Sequence[UnfinishedAnswer],
    claim: AnswerClaim,
) -> int | None:
    """Return the index of the answer that gives way to a claim, or None.

    It is the largest one of the service whose unfinished answers hold the
    most. A call of another service displaces it if it holds much more than
    that call. Of its own service only a growing answer displaces it, which may
    be that answer itself: they could wait for each other until their deadlines.
    """
    if sum(answer.held_bytes for answer in answers) < budget.unfinished_bytes:
        return None
    service = _largest_service(answers)
    held_bytes, chosen = max(
        (answer.held_bytes, index)
        for index, answer in enumerate(answers)
        if answer.service == service
    )
    if claim.service == service:
        return chosen if claim.is_growing else None
    return chosen if held_bytes >= claim.size * MIN_SIZE_RATIO else None


def excess_bytes_of(
    budget: Budget, usage: Usage, size: int, more_bytes: int
) -> int:
    """Return by how much a call that grows to ``size`` exceeds the total."""
    return usage.total_bytes + more_bytes - _limit_of(budget, size)


def retry_after_ms(
    budget: Budget, usage: Usage, size: int, released_per_s: float
) -> clock.Millis:
    """Return when a refused call of ``size`` may fit.

    ``released_per_s`` is the rate at which bytes are released.
    """
    excess_bytes = excess_bytes_of(budget, usage, size, size)
    if excess_bytes <= 0:
        # The share of its holder is used up, which one answer may change.
        return MIN_RETRY_MS
    if not released_per_s:
        return MAX_RETRY_MS
    wait_ms = excess_bytes / released_per_s * _MS_PER_S
    return min(max(wait_ms, MIN_RETRY_MS), MAX_RETRY_MS)


def _largest_service(answers: typing.Sequence[UnfinishedAnswer]) -> str:
    """Return the service whose answers hold the most bytes together."""
    bytes_by_service: dict[str, int] = {}
    for answer in answers:
        others_bytes = bytes_by_service.get(answer.service, 0)
        bytes_by_service[answer.service] = others_bytes + answer.held_bytes
    return max(bytes_by_service, key=lambda name: bytes_by_service[name])


def _limit_of(budget: Budget, size: int) -> int:
    if size <= SMALL_BYTES:
        return budget.total_bytes
    return budget.total_bytes - budget.reserve_bytes
