"""Isolates calls that crash the targets that run them."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.tables import calls, suspects

DEATHS_UNTIL_REFUSED: typing.Final = 2


def is_refused(
    state: world.World,
    fingerprint: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether calls with this fingerprint are refused now."""
    suspect = state.suspects.suspect_by_fingerprint.get(fingerprint)
    if suspect is None:
        return False
    fresh = now_ms - suspect.seen_at_ms <= state.policy.suspect_ms
    return fresh and suspect.deaths >= DEATHS_UNTIL_REFUSED


def on_death(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Suspect a call that was in flight on a target that died."""
    table = state.suspects.suspect_by_fingerprint
    fingerprint = call.received.fingerprint
    before = table.get(fingerprint)
    deaths = before.deaths + 1 if before else 1
    table[fingerprint] = suspects.Suspect(fingerprint, deaths, now_ms)
    return []


def on_fact(
    state: world.World,
    event: events.FactAdopted,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a peer's word on a call that crashes targets."""
    if not isinstance(event.fact.body, messages.CallSuspect):
        return []
    return []


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Forget suspects that are no longer refused."""
    return []
