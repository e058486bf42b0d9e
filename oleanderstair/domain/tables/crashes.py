"""The crashes of targets beside which a request ran."""

import typing

import msgspec

from oleanderstair import clock


class Crash(typing.NamedTuple):
    """A target that crashed, and when this instance came to know it."""

    target_id: str
    at_ms: clock.Millis


class CrashesTable(msgspec.Struct):
    """The newest crashes by the fingerprint of a request.

    ``answered`` are the requests that a target has answered, oldest first.
    """

    by_fingerprint: dict[str, tuple[Crash, ...]] = msgspec.field(
        default_factory=dict,
    )
    answered: dict[str, None] = msgspec.field(default_factory=dict)


def create() -> CrashesTable:
    """Create a table without crashes."""
    return CrashesTable()
