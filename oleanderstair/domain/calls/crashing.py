"""Refuses requests that crash the targets that run them, fleet-wide.

A request is known by its fingerprint, since it comes again at any instance.
Each crash beside which it ran is told to all peers. One that was ever
answered here is innocent: another ran beside it. A refusal ends by itself,
and a next crash renews it.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import spreading
from oleanderstair.domain.tables import calls, crashes, routed

MIN_CRASHES_TO_REFUSE: typing.Final = 3
"""After how many crashes a request is refused."""

SAME_CRASH_WINDOW_MS: typing.Final[clock.Millis] = 1500
"""How far apart one crash of a target may be seen by several instances."""

REFUSAL_MS: typing.Final[clock.Millis] = 30_000
"""How long after its last crash a request is refused."""

MAX_REMEMBERED_REQUESTS: typing.Final = 1024
"""How many requests beside crashes, and answered ones, are remembered."""


def is_refused(
    state: world.World,
    fingerprint: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a request has crashed too many targets of late."""
    found = state.crashes.by_fingerprint.get(fingerprint, ())
    if len(found) < MIN_CRASHES_TO_REFUSE:
        return False
    return now_ms - found[-1].at_ms <= REFUSAL_MS


def record_attempt(
    state: world.World,
    call: routed.RoutedCall,
    ended: calls.Attempt,
    event: events.AttemptEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take what an attempt tells of a request, and tell it to peers."""
    fingerprint = call.received.fingerprint
    if event.verdict is events.Verdict.ANSWERED:
        _mark_answered(state, fingerprint)
        return []
    if not event.crashed or event.verdict is not events.Verdict.BROKEN:
        return []
    if not _add_crash(state, fingerprint, ended.target_id, now_ms):
        return []
    told = messages.CallCrashed(fingerprint, ended.target_id)
    return [
        actions.Count('crashes-beside-calls', call.service),
        *spreading.spread(state, told),
    ]


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a peer's word on a request that ran beside a crash."""
    told = event.message
    if not isinstance(told, messages.CallCrashed):
        return []
    _add_crash(state, told.fingerprint, told.target_id, now_ms)
    return spreading.pass_on(state, event.sender, told)


def _add_crash(
    state: world.World,
    fingerprint: str,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Note a crash beside a request; False where it is known or nameless."""
    if not fingerprint or fingerprint in state.crashes.answered:
        return False
    known = state.crashes.by_fingerprint.pop(fingerprint, ())
    crash = crashes.Crash(target_id, now_ms)
    is_known = any(_is_same_crash(crash, other) for other in known)
    kept = known if is_known else (*known, crash)[-MIN_CRASHES_TO_REFUSE:]
    state.crashes.by_fingerprint[fingerprint] = kept
    _evict_oldest(state.crashes.by_fingerprint)
    return not is_known


def _mark_answered(state: world.World, fingerprint: str) -> None:
    """Forget the crashes beside a request that a target has answered."""
    table = state.crashes
    table.by_fingerprint.pop(fingerprint, None)
    table.answered.pop(fingerprint, None)
    table.answered[fingerprint] = None
    _evict_oldest(table.answered)


def _evict_oldest(remembered: dict[str, typing.Any]) -> None:
    """Forget the oldest where too many are remembered."""
    if len(remembered) > MAX_REMEMBERED_REQUESTS:
        remembered.pop(next(iter(remembered)))


def _is_same_crash(crash: crashes.Crash, other: crashes.Crash) -> bool:
    if crash.target_id != other.target_id:
        return False
    return abs(crash.at_ms - other.at_ms) <= SAME_CRASH_WINDOW_MS
