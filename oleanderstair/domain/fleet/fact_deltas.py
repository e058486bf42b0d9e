"""Send new facts to a few peers on each tick."""

import itertools
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import bandwidth, fanout
from oleanderstair.domain.tables import facts

MAX_BATCH_FACTS: typing.Final = 64
"""The most facts in one message."""

MIN_FACT_BYTES: typing.Final = 16
"""The assumed minimum size of an encoded fact; it limits the number of facts
that are encoded to find their size."""

LOAD_RESERVE_SHARE: typing.Final = 0.5
"""The share of a second's bytes that is kept free of load facts, for more
urgent messages."""

_PRIORITY_BY_BODY: typing.Final[dict[type[messages.FactBody], int]] = {
    messages.TargetLeaving: 0,
    messages.InstancePlace: 1,
    messages.CallSuspect: 2,
    messages.RampState: 3,
}
"""The priority of facts by their body; the lowest number is sent first."""


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send the most urgent new facts that the byte rate allows."""
    table = state.facts
    if not (table.sends_left_by_key or table.load_sends_left_by_key):
        return []
    peers = fanout.choose_peers(state, now_ms)
    if not peers:
        return []
    keys = _choose_keys(state, len(peers), now_ms)
    if not keys:
        return []
    message = messages.Facts(
        tuple(fact_with_current_age(state, key, now_ms) for key in keys)
    )
    for sent_key in keys:
        _count_sent(table, sent_key)
    return bandwidth.send_to_peers(state, peers, message, now_ms)


def fact_with_current_age(
    state: world.World,
    key: facts.FactKey,
    now_ms: clock.Millis,
) -> messages.Fact:
    """Return a fact whose ``age_ms`` is its age at ``now_ms``."""
    age_ms = now_ms - state.facts.stated_at_ms_by_key[key]
    return state.facts.fact_by_key[key]._replace(age_ms=max(int(age_ms), 0))


def _choose_keys(
    state: world.World,
    receiver_count: int,
    now_ms: clock.Millis,
) -> list[facts.FactKey]:
    """Return the keys of the facts to send, within the byte rate.

    Load facts are chosen only while no other fact is waiting.
    """
    table = state.facts
    spare_bytes = bandwidth.available_bytes(state, now_ms)
    # The sort is stable, so facts of equal priority are sent in turn.
    keys = sorted(
        table.sends_left_by_key,
        key=lambda key: _PRIORITY_BY_BODY[type(table.fact_by_key[key].body)],
    )
    if not keys:
        keys = list(
            itertools.islice(table.load_sends_left_by_key, MAX_BATCH_FACTS)
        )
        spare_bytes -= LOAD_RESERVE_SHARE * state.policy.peer_bytes_per_s
    return _keys_within_bytes(
        state, keys[:MAX_BATCH_FACTS], spare_bytes / receiver_count, now_ms
    )


def _keys_within_bytes(
    state: world.World,
    keys: list[facts.FactKey],
    max_bytes: float,
    now_ms: clock.Millis,
) -> list[facts.FactKey]:
    """Return the first keys whose facts fit into ``max_bytes``.

    The number of keys is halved until they fit, so it may not be the largest
    possible one.
    """
    max_count = int(
        (max_bytes - bandwidth.FRAME_OVERHEAD_BYTES) / MIN_FACT_BYTES
    )
    keys = keys[: max(max_count, 0)]
    while keys:
        batch = tuple(fact_with_current_age(state, key, now_ms) for key in keys)
        if bandwidth.message_bytes(messages.Facts(batch)) <= max_bytes:
            return keys
        keys = keys[: len(keys) // 2]
    return []


def _count_sent(table: facts.FactsTable, key: facts.FactKey) -> None:
    sends_left = facts.sends_left_for(table, table.fact_by_key[key].body)
    remaining = sends_left.pop(key) - 1
    if remaining > 0:
        # Inserted last again, so that all facts get their turn.
        sends_left[key] = remaining
