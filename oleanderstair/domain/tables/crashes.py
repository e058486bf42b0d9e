"""The crashes of targets beside which a request ran."""

import dataclasses
import typing

from oleanderstair import clock


class Crash(typing.NamedTuple):
    """A target that crashed, and when this instance came to know it."""

    target_id: str
    at_ms: clock.Millis


@dataclasses.dataclass(slots=True)
class CrashesTable:
    """The newest crashes by the fingerprint of a request.

    ``answered`` are the requests that a target has answered, oldest first.
    """

    by_fingerprint: dict[str, tuple[Crash, ...]] = dataclasses.field(
        default_factory=dict,
    )
    answered: dict[str, None] = dataclasses.field(default_factory=dict)


def create() -> CrashesTable:
    """Create a table without crashes."""
    return CrashesTable()
