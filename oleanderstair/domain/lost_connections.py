"""Decides what the end of a connection to a target says about its request."""

import typing

from oleanderstair import clock

STALE_RESET_MS: typing.Final[clock.Millis] = 100
"""Maximum time from a request on a stale connection to its end.

A connection is stale if the target ended it before it received the request.
"""

STALE_MIN_IDLE_MS: typing.Final[clock.Millis] = 200
"""Minimum idle time after which a connection can count as stale by its time."""


class LostConnection(typing.NamedTuple):
    """A connection that ended before the first byte of an answer.

    ``idle_ms`` is how long it was idle before the request, and
    ``since_written_ms`` how long before its end the request was written.
    ``is_unreceived`` is true if the target closed it without having
    acknowledged the whole request.
    """

    is_reused: bool
    idle_ms: clock.Millis
    since_written_ms: clock.Millis
    is_unreceived: bool = False


def is_stale(lost: LostConnection) -> bool:
    """Return whether the target ended a reused connection before the request.

    After the idle timeout of the target the end comes promptly, whether as a
    close or as a reset.
    """
    if not lost.is_reused:
        return False
    is_prompt = lost.since_written_ms <= STALE_RESET_MS
    return lost.is_unreceived or (is_prompt and shows_idle_timeout(lost))


def may_be_crash(lost: LostConnection) -> bool:
    """Return whether the request may have ended the target.

    It can't if the target had not received it.
    """
    return not lost.is_unreceived and not is_stale(lost)


def shows_idle_timeout(lost: LostConnection) -> bool:
    """Return whether the idle time of a stale connection was too long."""
    return lost.is_reused and lost.idle_ms >= STALE_MIN_IDLE_MS
