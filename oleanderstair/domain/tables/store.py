"""How far the platform's store has been read by this instance."""

import dataclasses

from oleanderstair import clock


@dataclasses.dataclass(slots=True)
class StoreTable:
    """The call to the store that is under way, and when the next is due.

    ``asked_at_ms`` is None while no call is under way.
    """

    revision: int = 0
    asked_at_ms: clock.Millis | None = None
    due_at_ms: clock.Millis = clock.NEVER_MS
    failures: int = 0


def create() -> StoreTable:
    """Create a table in which nothing has been read."""
    return StoreTable()
