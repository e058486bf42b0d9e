"""Decides whether a failed call may be tried again."""

from oleanderstair import clock
from oleanderstair.domain import suspects, world
from oleanderstair.domain.tables import calls


def may_retry(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> bool:
    """Return whether ``call``, whose attempts all failed, may go again."""
    if call.caller_left or call.received.deadline_ms <= now_ms:
        return False
    if suspects.is_refused(state, call.received.fingerprint, now_ms):
        return False
    return call.idempotent or not call.may_have_run
