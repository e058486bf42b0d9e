"""Tracks requests that may crash the targets that run them.

Every request in flight on a target that crashed is a suspect. It is identified
by a digest without its key, so that a resend under a new key is recognized. A
suspect is cleared when a target answers it. If a target crashes that ran
nothing else, the suspicion is confirmed, and all instances refuse the request
for ``suspect_ms``.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import shared_facts
from oleanderstair.domain.tables import calls, suspects

SAME_CRASH_WINDOW_MS: typing.Final[clock.Millis] = 2000
"""Crashes of one target that are reported within this time count as one.

Several instances may report the same crash.
"""

MAX_SUSPECTS: typing.Final = 1024
"""The maximum number of suspects; the oldest one is dropped for a new one."""

MIN_CRASHES_TO_REFUSE: typing.Final = 2
"""How many crashes are kept for a suspect, and how many a peer has to report
for its request to be refused."""


def is_refused(
    state: world.World,
    fingerprint: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether calls with this fingerprint are refused at ``now_ms``.

    True if the suspicion was confirmed and the last crash is at most
    ``suspect_ms`` ago.
    """
    suspect = state.suspects.suspect_by_fingerprint.get(fingerprint)
    if suspect is None or not suspect.is_proven:
        return False
    return now_ms - suspect.seen_at_ms <= state.policy.suspect_ms


def is_suspect(state: world.World, fingerprint: str) -> bool:
    """Return whether the request with this fingerprint is a suspect.

    Calls of a suspect run in isolation, or are refused once it is confirmed.
    """
    return fingerprint in state.suspects.suspect_by_fingerprint


def record_crash(
    state: world.World,
    call: calls.Call,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Suspect a call that was in flight on a target that crashed.

    The suspicion is confirmed if the target was reserved for the call.
    """
    fingerprint = call.received.fingerprint
    if not fingerprint:
        return []
    previous = state.suspects.suspect_by_fingerprint.get(fingerprint)
    if previous is not None and previous.is_proven:
        return []
    suspect = _add_crash(previous, fingerprint, target_id, now_ms)
    ran_alone = (
        state.suspects.call_id_by_reserved_target.get(target_id) == call.call_id
    )
    suspect = suspect._replace(is_proven=ran_alone)
    _store_suspect(state, suspect)
    _publish_suspect(state, suspect, target_id, now_ms)
    if not ran_alone:
        return [actions.Count('suspects')]
    return [actions.Audit('call', fingerprint, target_id, 'crashes targets')]


def clear_suspect(
    state: world.World,
    fingerprint: str,
    now_ms: clock.Millis,
) -> None:
    """Clear a suspect that a target has just answered."""
    suspect = state.suspects.suspect_by_fingerprint.get(fingerprint)
    if suspect is None or suspect.is_proven:
        return
    state.suspects.suspect_by_fingerprint.pop(fingerprint)
    cleared = messages.CallSuspect(fingerprint, 0)
    shared_facts.publish_fact(state, f'suspect/{fingerprint}', cleared, now_ms)


def on_fact(
    state: world.World,
    event: events.FactAdopted,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Apply a peer's report that suspects or clears a request."""
    body = event.fact.body
    if not isinstance(body, messages.CallSuspect):
        return []
    previous = state.suspects.suspect_by_fingerprint.get(body.fingerprint)
    if previous is not None and previous.is_proven:
        return []
    at_ms = now_ms - event.fact.age_ms
    if not body.deaths:
        if previous is not None and previous.seen_at_ms < at_ms:
            state.suspects.suspect_by_fingerprint.pop(body.fingerprint)
        return []
    suspect = _add_crash(previous, body.fingerprint, body.target_id, at_ms)
    is_proven = body.deaths >= MIN_CRASHES_TO_REFUSE
    _store_suspect(state, suspect._replace(is_proven=is_proven))
    return []


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Forget suspects whose last crash is older than ``suspect_ms``."""
    table = state.suspects.suspect_by_fingerprint
    expired = [
        suspect.fingerprint
        for suspect in table.values()
        if now_ms - suspect.seen_at_ms > state.policy.suspect_ms
    ]
    for fingerprint in expired:
        table.pop(fingerprint)
    return []


def _add_crash(
    previous: suspects.Suspect | None,
    fingerprint: str,
    target_id: str,
    at_ms: clock.Millis,
) -> suspects.Suspect:
    """Return the suspect with one more crash, unless it is recorded already."""
    crashes = previous.crashes if previous else ()
    for crash in crashes:
        is_same_time = abs(crash.at_ms - at_ms) <= SAME_CRASH_WINDOW_MS
        if crash.target_id == target_id and is_same_time:
            return suspects.Suspect(fingerprint, crashes)
    newest = (*crashes, suspects.TargetCrash(target_id, at_ms))
    return suspects.Suspect(fingerprint, newest[-MIN_CRASHES_TO_REFUSE:])


def _store_suspect(state: world.World, suspect: suspects.Suspect) -> None:
    table = state.suspects.suspect_by_fingerprint
    table.pop(suspect.fingerprint, None)
    if len(table) >= MAX_SUSPECTS:
        table.pop(next(iter(table)))
    table[suspect.fingerprint] = suspect


def _publish_suspect(
    state: world.World,
    suspect: suspects.Suspect,
    target_id: str,
    now_ms: clock.Millis,
) -> None:
    deaths = MIN_CRASHES_TO_REFUSE if suspect.is_proven else 1
    body = messages.CallSuspect(suspect.fingerprint, deaths, target_id)
    subject = f'suspect/{suspect.fingerprint}'
    shared_facts.publish_fact(state, subject, body, now_ms)
