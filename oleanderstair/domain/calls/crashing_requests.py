"""Refuses requests that crash targets, on all instances.

A request is identified by its fingerprint, since callers may retry it at any
instance. Each crash of a target while it ran the request is reported to all
peers. A request that a target has answered at this instance is not refused
here, while it is among the last ``MAX_REMEMBERED_REQUESTS`` answered ones:
another request in flight on the same targets caused the crashes. A refusal
expires after ``REFUSAL_MS``; another crash extends it.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import broadcast
from oleanderstair.domain.tables import calls, crashes, registry, routed

MIN_CRASHES_TO_REFUSE: typing.Final = 3
"""The number of crashes after which a request is refused."""

SAME_CRASH_WINDOW_MS: typing.Final[clock.Millis] = 1500
"""Crashes of one target that are reported within this time count as one.

Several instances may report the same crash.
"""

REFUSAL_MS: typing.Final[clock.Millis] = 30_000
"""How long a request is refused after the last crash recorded for it."""

MAX_REMEMBERED_REQUESTS: typing.Final = 1024
"""The maximum size of each of the tables of crashing and answered requests."""


def is_refused(
    state: world.World,
    fingerprint: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a request is refused at ``now_ms``.

    True if ``MIN_CRASHES_TO_REFUSE`` crashes are recorded for it, the last
    one at most ``REFUSAL_MS`` ago.
    """
    recorded = state.crashes.crashes_by_fingerprint.get(fingerprint, ())
    if len(recorded) < MIN_CRASHES_TO_REFUSE:
        return False
    return now_ms - recorded[-1].at_ms <= REFUSAL_MS


def record_attempt(
    state: world.World,
    call: routed.RoutedCall,
    ended: calls.Attempt,
    event: events.AttemptEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Record that a target answered a request, or crashed while it ran it.

    A crash is also reported to all peers. The end of a connection to a leaving
    target counts as no crash.
    """
    fingerprint = call.received.fingerprint
    if event.verdict is events.Verdict.ANSWERED:
        _mark_answered(state, fingerprint)
        return []
    if not event.crashed or event.verdict is not events.Verdict.BROKEN:
        return []
    if registry.is_leaving(state.registry, ended.target_id):
        # It ends its connections when it exits, whatever it runs then.
        return []
    if not _add_crash(state, fingerprint, ended.target_id, now_ms):
        return []
    message = messages.CallCrashed(fingerprint, ended.target_id)
    return [
        actions.Count('crashes-beside-calls', call.service),
        *broadcast.broadcast_message(state, message),
    ]


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Record a crash that a peer reports, and pass the report on."""
    message = event.message
    if not isinstance(message, messages.CallCrashed):
        return []
    _add_crash(state, message.fingerprint, message.target_id, now_ms)
    return broadcast.forward_message(state, event.sender, message)


def _add_crash(
    state: world.World,
    fingerprint: str,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Record a crash for a request; return whether it is a new one.

    Return False also if the request has no fingerprint or was answered
    before: nothing is recorded then.
    """
    if not fingerprint or fingerprint in state.crashes.answered_fingerprints:
        return False
    recorded = state.crashes.crashes_by_fingerprint.pop(fingerprint, ())
    crash = crashes.Crash(target_id, now_ms)
    is_duplicate = any(_is_same_crash(crash, other) for other in recorded)
    kept = (
        recorded
        if is_duplicate
        else (*recorded, crash)[-MIN_CRASHES_TO_REFUSE:]
    )
    state.crashes.crashes_by_fingerprint[fingerprint] = kept
    _evict_oldest(state.crashes.crashes_by_fingerprint)
    return not is_duplicate


def _mark_answered(state: world.World, fingerprint: str) -> None:
    """Record that a request was answered and drop its crashes."""
    table = state.crashes
    table.crashes_by_fingerprint.pop(fingerprint, None)
    table.answered_fingerprints.pop(fingerprint, None)
    table.answered_fingerprints[fingerprint] = None
    _evict_oldest(table.answered_fingerprints)


def _evict_oldest(entries: dict[str, typing.Any]) -> None:
    """Remove the oldest entry if there are more than the maximum."""
    if len(entries) > MAX_REMEMBERED_REQUESTS:
        entries.pop(next(iter(entries)))


def _is_same_crash(crash: crashes.Crash, other: crashes.Crash) -> bool:
    if crash.target_id != other.target_id:
        return False
    return abs(crash.at_ms - other.at_ms) <= SAME_CRASH_WINDOW_MS
