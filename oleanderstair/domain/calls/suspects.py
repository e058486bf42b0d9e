"""Knows the requests that may crash the targets that run them.

Every request in flight on a target that died is a suspect, by a digest that
leaves out its key, so that a resend under a new key is known again. It is
cleared where it is served, and convicted where a target dies that ran it
alone; then all instances refuse it for minutes.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import sharing
from oleanderstair.domain.tables import calls, suspects

SAME_CRASH_WINDOW_MS: typing.Final[clock.Millis] = 2000
"""How far apart one death of a target may be seen by several instances."""

MAX_SUSPECTS: typing.Final = 1024
"""How many suspected calls are remembered."""

MIN_CRASHES_TO_REFUSE: typing.Final = 2
"""After how many deaths a call is refused."""


def is_refused(
    state: world.World,
    fingerprint: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether calls with this fingerprint are refused now."""
    suspect = state.suspects.suspect_by_fingerprint.get(fingerprint)
    if suspect is None or not suspect.convicted:
        return False
    return now_ms - suspect.seen_at_ms <= state.policy.suspect_ms


def is_suspect(state: world.World, fingerprint: str) -> bool:
    """Return whether calls with this fingerprint run alone for now."""
    return fingerprint in state.suspects.suspect_by_fingerprint


def record_crash(
    state: world.World,
    call: calls.Call,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Suspect a call that was in flight on a target that died."""
    fingerprint = call.received.fingerprint
    if not fingerprint:
        return []
    known = state.suspects.suspect_by_fingerprint.get(fingerprint)
    if known is not None and known.convicted:
        return []
    suspect = _add_crash(known, fingerprint, target_id, now_ms)
    alone = state.suspects.call_id_by_target.get(target_id) == call.call_id
    suspect = suspect._replace(convicted=alone)
    _store_suspect(state, suspect)
    _publish_suspect(state, suspect, target_id, now_ms)
    if not alone:
        return [actions.Count('suspects')]
    return [actions.Audit('call', fingerprint, target_id, 'crashes targets')]


def clear_suspect(
    state: world.World,
    fingerprint: str,
    now_ms: clock.Millis,
) -> None:
    """Clear a suspect that a target has just served."""
    suspect = state.suspects.suspect_by_fingerprint.get(fingerprint)
    if suspect is None or suspect.convicted:
        return
    state.suspects.suspect_by_fingerprint.pop(fingerprint)
    cleared = messages.CallSuspect(fingerprint, 0)
    sharing.publish(state, f'suspect/{fingerprint}', cleared, now_ms)


def on_fact(
    state: world.World,
    event: events.FactAdopted,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a peer's word on a call that crashes targets."""
    body = event.fact.body
    if not isinstance(body, messages.CallSuspect):
        return []
    known = state.suspects.suspect_by_fingerprint.get(body.fingerprint)
    if known is not None and known.convicted:
        return []
    at_ms = now_ms - event.fact.age_ms
    if not body.deaths:
        if known is not None and known.seen_at_ms < at_ms:
            state.suspects.suspect_by_fingerprint.pop(body.fingerprint)
        return []
    suspect = _add_crash(known, body.fingerprint, body.target_id, at_ms)
    convicted = body.deaths >= MIN_CRASHES_TO_REFUSE
    _store_suspect(state, suspect._replace(convicted=convicted))
    return []


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Forget suspects that are no longer refused."""
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
    known: suspects.Suspect | None,
    fingerprint: str,
    target_id: str,
    at_ms: clock.Millis,
) -> suspects.Suspect:
    """Return the suspect with a death, which several may have seen."""
    deaths = known.deaths if known else ()
    for death in deaths:
        same_time = abs(death.at_ms - at_ms) <= SAME_CRASH_WINDOW_MS
        if death.target_id == target_id and same_time:
            return suspects.Suspect(fingerprint, deaths)
    newest = (*deaths, suspects.Death(target_id, at_ms))
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
    deaths = MIN_CRASHES_TO_REFUSE if suspect.convicted else 1
    body = messages.CallSuspect(suspect.fingerprint, deaths, target_id)
    subject = f'suspect/{suspect.fingerprint}'
    sharing.publish(state, subject, body, now_ms)
