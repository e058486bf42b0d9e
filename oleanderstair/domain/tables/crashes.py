"""Crashes of targets during requests, by the request's fingerprint."""

import typing

import msgspec

from oleanderstair import clock


class Crash(typing.NamedTuple):
    """A crash of a target, and when this instance learned of it."""

    target_id: str
    at_ms: clock.Millis


class CrashesTable(msgspec.Struct):
    """The newest crashes by the fingerprint of a request.

    ``answered_fingerprints`` holds the fingerprints of requests that a target
    has answered, oldest first.
    """

    crashes_by_fingerprint: dict[str, tuple[Crash, ...]] = msgspec.field(
        default_factory=dict,
    )
    answered_fingerprints: dict[str, None] = msgspec.field(default_factory=dict)


def create() -> CrashesTable:
    """Create a table without crashes."""
    return CrashesTable()
