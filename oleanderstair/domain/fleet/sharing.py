"""The facts that instances tell each other: stating, merging, expiring.

A fact replaces the one of the same subject and origin when its sequence is
higher, so messages may be lost, doubled, late or reordered.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.tables import facts

FACT_LIMIT: typing.Final = 20_000
"""How many facts are kept: ten for each of 1,800 targets, and some room."""

GONE_ORIGIN_MS: typing.Final = 60_000
"""How long a fact outlives the instance that stated it."""

LOAD_MS: typing.Final = 5000
"""How long a target's load is worth telling; loads shift within ms."""

NEWS_ROUNDS: typing.Final = 3
"""In how many rounds each holder sends news on; digests repair the rest."""

_EXPIRY_MS: typing.Final = 1000
"""How often expired facts are looked for, as all are gone through."""


def publish(
    state: world.World,
    subject: str,
    body: messages.FactBody,
    now_ms: clock.Millis,
) -> None:
    """State a fact of this instance's own; peers hear it soon."""
    table = state.facts
    table.own_sequence += 1
    origin = state.identity.incarnation
    fact = messages.Fact(subject, origin, table.own_sequence, 0, body)
    _store(state, fact, now_ms)


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Adopt the facts of a peer that are newer than what is known."""
    message = event.message
    if not isinstance(message, messages.Facts):
        return []
    return [
        actions.Notify(events.FactAdopted(fact))
        for fact in message.facts
        if _adopt(state, fact, now_ms)
    ]


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Forget the facts that have expired, once a second."""
    table = state.facts
    if now_ms - table.expired_at_ms < _EXPIRY_MS:
        return []
    table.expired_at_ms = now_ms
    expired = [
        key
        for key, fact in table.fact_by_key.items()
        if _is_expired(state, fact, now_ms - table.stated_at_ms_by_key[key])
    ]
    for key in expired:
        facts.remove(table, key)
    return []


def _adopt(
    state: world.World,
    fact: messages.Fact,
    now_ms: clock.Millis,
) -> bool:
    if fact.origin == state.identity.incarnation:
        return False
    table = state.facts
    known = table.fact_by_key.get((fact.subject, fact.origin))
    if known is not None and known.sequence >= fact.sequence:
        return False
    if known is None and len(table.fact_by_key) >= FACT_LIMIT:
        return False
    if _is_expired(state, fact, fact.age_ms):
        return False
    _store(state, fact, now_ms - max(fact.age_ms, 0))
    return True


def _store(
    state: world.World,
    fact: messages.Fact,
    stated_at_ms: clock.Millis,
) -> None:
    table = state.facts
    key = (fact.subject, fact.origin)
    table.fact_by_key[key] = fact
    table.stated_at_ms_by_key[key] = stated_at_ms
    news = facts.news_of(table, fact.body)
    news.pop(key, None)
    rounds = _rounds_of(state, fact)
    if rounds:
        news[key] = rounds


def _rounds_of(state: world.World, fact: messages.Fact) -> int:
    """Return in how many rounds this instance sends a fact on.

    Loads are perishable, so their origin alone sends them; places are heard
    from their instances as well.
    """
    if fact.origin == state.identity.incarnation:
        return NEWS_ROUNDS
    if isinstance(fact.body, messages.TargetLoad):
        return 0
    return 1 if isinstance(fact.body, messages.InstancePlace) else NEWS_ROUNDS


def _is_expired(
    state: world.World,
    fact: messages.Fact,
    age_ms: clock.Millis,
) -> bool:
    if isinstance(fact.body, messages.TargetLoad):
        return age_ms > LOAD_MS
    if isinstance(fact.body, messages.CallSuspect):
        return age_ms > state.policy.suspect_ms
    known = state.instances.peer_by_incarnation
    if fact.origin == state.identity.incarnation or fact.origin in known:
        return False
    return age_ms > GONE_ORIGIN_MS
