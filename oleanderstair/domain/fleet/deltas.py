"""Sends the facts that are news to a few peers each tick."""

import itertools
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import bandwidth, fanout
from oleanderstair.domain.tables import facts

BATCH_LIMIT: typing.Final = 64
LEAST_FACT_BYTES: typing.Final = 16
LOAD_RESERVE: typing.Final = 0.5
"""The part of the burst that loads leave to more urgent messages."""

_PRIORITY_BY_BODY: typing.Final[dict[type[messages.FactBody], int]] = {
    messages.TargetLeaving: 0,
    messages.InstancePlace: 1,
    messages.CallSuspect: 2,
    messages.RampState: 3,
}


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send the most urgent news that the rate allows."""
    table = state.facts
    if not (table.sends_left_by_key or table.loads_left_by_key):
        return []
    peers = fanout.choose(state, now_ms)
    if not peers:
        return []
    keys = _choose_news(state, len(peers), now_ms)
    if not keys:
        return []
    message = messages.Facts(tuple(aged(state, key, now_ms) for key in keys))
    for sent_key in keys:
        _count_down(table, sent_key)
    return bandwidth.send_to_all(state, peers, message, now_ms)


def aged(
    state: world.World,
    key: facts.Key,
    now_ms: clock.Millis,
) -> messages.Fact:
    """Return a fact with its age of now."""
    age_ms = now_ms - state.facts.stated_at_ms_by_key[key]
    return state.facts.fact_by_key[key]._replace(age_ms=max(int(age_ms), 0))


def _choose_news(
    state: world.World,
    receivers: int,
    now_ms: clock.Millis,
) -> list[facts.Key]:
    """Return the urgent news that fit, or the loads where none is urgent."""
    table = state.facts
    spare = bandwidth.available(state, now_ms)
    # The sort is stable, so news of one rank take their turns.
    news = sorted(
        table.sends_left_by_key,
        key=lambda key: _PRIORITY_BY_BODY[type(table.fact_by_key[key].body)],
    )
    if not news:
        news = list(itertools.islice(table.loads_left_by_key, BATCH_LIMIT))
        spare -= LOAD_RESERVE * state.policy.peer_bytes_per_s
    return _fit(state, news[:BATCH_LIMIT], spare / receivers, now_ms)


def _fit(
    state: world.World,
    keys: list[facts.Key],
    limit_bytes: float,
    now_ms: clock.Millis,
) -> list[facts.Key]:
    """Return the first keys whose facts fit into ``limit_bytes``."""
    most = int((limit_bytes - bandwidth.FRAME_BYTES) / LEAST_FACT_BYTES)
    keys = keys[: max(most, 0)]
    while keys:
        batch = tuple(aged(state, key, now_ms) for key in keys)
        if bandwidth.size_of(messages.Facts(batch)) <= limit_bytes:
            return keys
        keys = keys[: len(keys) // 2]
    return []


def _count_down(table: facts.FactsTable, key: facts.Key) -> None:
    news = facts.news_of(table, table.fact_by_key[key].body)
    left = news.pop(key) - 1
    if left > 0:
        # Re-inserted last, so that a full batch takes its turns.
        news[key] = left
