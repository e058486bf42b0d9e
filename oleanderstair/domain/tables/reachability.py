"""Whether this instance and its peers reach any target."""

import msgspec

from oleanderstair import clock


class ReachabilityTable(msgspec.Struct):
    """The targets that failed since one was last reached.

    ``isolated_since_ms`` is None unless this instance reaches no target.
    ``reported_isolated`` is what its peers were last told of that.
    ``isolated_until_ms_by_peer`` has the peers that reported the same, and
    until when that counts unless they report it again.
    """

    reached_at_ms: clock.Millis = clock.NEVER_MS
    failed_ids: set[str] = msgspec.field(default_factory=set)
    isolated_since_ms: clock.Millis | None = None
    probe_due_ms: clock.Millis = clock.NEVER_MS
    reported_isolated: bool = False
    reported_at_ms: clock.Millis = clock.NEVER_MS
    isolated_until_ms_by_peer: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict
    )


def create() -> ReachabilityTable:
    """Create a table in which no target has failed."""
    return ReachabilityTable()
