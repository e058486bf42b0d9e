"""The times of reads from the platform, and the open watch."""

import msgspec

from oleanderstair import clock


class ReadsTable(msgspec.Struct):
    """Times of the last and next read, and failures, by name of the value.

    ``watch_since_ms`` is when the open watch began, None without one.
    ``is_reader`` is true if this instance is a reader of its data centre, as
    determined at ``rank_checked_at_ms``.
    """

    read_at_ms_by_name: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    due_at_ms_by_name: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    failures_by_name: dict[str, int] = msgspec.field(default_factory=dict)
    watch_since_ms: clock.Millis | None = None
    watch_due_ms: clock.Millis = clock.NEVER_MS
    is_reader: bool = False
    rank_checked_at_ms: clock.Millis = clock.NEVER_MS
    head_body_digest: str = ''
    note_read_at_ms: clock.Millis = clock.NEVER_MS
    peer_asked_at_ms: clock.Millis = clock.NEVER_MS
    behind_since_ms: clock.Millis = clock.NEVER_MS


def create() -> ReadsTable:
    """Create a table in which nothing has been read."""
    return ReadsTable()
