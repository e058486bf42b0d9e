"""The facts that instances tell each other, newest sequence first."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world


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
    table.fact_by_key[(subject, origin)] = fact
    table.stated_at_ms_by_key[(subject, origin)] = now_ms


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


def _adopt(
    state: world.World,
    fact: messages.Fact,
    now_ms: clock.Millis,
) -> bool:
    if fact.origin == state.identity.incarnation:
        return False
    table = state.facts
    key = (fact.subject, fact.origin)
    known = table.fact_by_key.get(key)
    if known is not None and known.sequence >= fact.sequence:
        return False
    table.fact_by_key[key] = fact
    table.stated_at_ms_by_key[key] = now_ms - fact.age_ms
    return True
