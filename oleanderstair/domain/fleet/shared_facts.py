"""Facts that instances share by gossip: publish, merge and expire.

A fact replaces the one of the same subject and origin if its sequence is
higher, so messages may be lost, duplicated, delayed or reordered.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.tables import facts

MAX_FACT_COUNT: typing.Final = 20_000
"""The most facts that are kept: ten for each of 1,800 targets, with reserve."""

DEAD_ORIGIN_KEPT_MS: typing.Final = 60_000
"""The age at which a fact expires if its origin is no longer a known peer."""

LOAD_KEPT_MS: typing.Final = 5000
"""The age at which a target load expires, as loads change within ms."""

SEND_ROUNDS: typing.Final = 3
"""The rounds in which an instance sends a new fact; digests repair losses."""

_EXPIRY_PERIOD_MS: typing.Final = 1000
"""How often expired facts are removed; each time scans all facts."""


def publish_fact(
    state: world.World,
    subject: str,
    body: messages.FactBody,
    now_ms: clock.Millis,
) -> None:
    """Publish a fact of this instance, to be sent in the next rounds."""
    table = state.facts
    table.own_sequence += 1
    origin = state.identity.incarnation
    fact = messages.Fact(subject, origin, table.own_sequence, 0, body)
    _store_fact(state, fact, now_ms)


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Store the facts of a peer that are newer than the known ones."""
    message = event.message
    if not isinstance(message, messages.Facts):
        return []
    return [
        actions.Notify(events.FactAdopted(fact))
        for fact in message.facts
        if _adopt_fact(state, fact, now_ms)
    ]


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Remove expired facts once a second."""
    table = state.facts
    if now_ms - table.expiry_checked_at_ms < _EXPIRY_PERIOD_MS:
        return []
    table.expiry_checked_at_ms = now_ms
    expired = [
        key
        for key, fact in table.fact_by_key.items()
        if _is_expired(state, fact, now_ms - table.stated_at_ms_by_key[key])
    ]
    for key in expired:
        facts.remove_fact(table, key)
    return []


def _adopt_fact(
    state: world.World,
    fact: messages.Fact,
    now_ms: clock.Millis,
) -> bool:
    """Store a fact of a peer; return false if it is rejected.

    It is rejected if it is this instance's own, not newer than the known one,
    expired, or new while the table is full.
    """
    if fact.origin == state.identity.incarnation:
        return False
    table = state.facts
    known = table.fact_by_key.get((fact.subject, fact.origin))
    if known is not None and known.sequence >= fact.sequence:
        return False
    if known is None and len(table.fact_by_key) >= MAX_FACT_COUNT:
        return False
    if _is_expired(state, fact, fact.age_ms):
        return False
    _store_fact(state, fact, now_ms - max(fact.age_ms, 0))
    return True


def _store_fact(
    state: world.World,
    fact: messages.Fact,
    stated_at_ms: clock.Millis,
) -> None:
    table = state.facts
    key = (fact.subject, fact.origin)
    table.fact_by_key[key] = fact
    table.stated_at_ms_by_key[key] = stated_at_ms
    sends_left = facts.sends_left_for(table, fact.body)
    sends_left.pop(key, None)
    round_count = _send_round_count(state, fact)
    if round_count:
        sends_left[key] = round_count


def _send_round_count(state: world.World, fact: messages.Fact) -> int:
    """Return in how many rounds this instance sends a fact.

    Loads expire quickly, so only their origin sends them. Places of other
    instances are sent once, as heartbeats carry them as well.
    """
    if fact.origin == state.identity.incarnation:
        return SEND_ROUNDS
    if isinstance(fact.body, messages.TargetLoad):
        return 0
    return 1 if isinstance(fact.body, messages.InstancePlace) else SEND_ROUNDS


def _is_expired(
    state: world.World,
    fact: messages.Fact,
    age_ms: clock.Millis,
) -> bool:
    """Return whether a fact has expired at the given age.

    Loads and suspects expire by age alone. Other facts expire only if their
    origin is no longer known; those of this instance never do.
    """
    if isinstance(fact.body, messages.TargetLoad):
        return age_ms > LOAD_KEPT_MS
    if isinstance(fact.body, messages.CallSuspect):
        return age_ms > state.policy.suspect_ms
    known = state.instances.peer_by_incarnation
    if fact.origin == state.identity.incarnation or fact.origin in known:
        return False
    return age_ms > DEAD_ORIGIN_KEPT_MS
