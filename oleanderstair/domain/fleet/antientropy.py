"""Repairs what deltas lost: peers compare digests of their facts.

Loads are left out, as they are stated anew before a repair could help.
"""

import collections
import typing
import zlib

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import bandwidth, deltas, fanout
from oleanderstair.domain.tables import facts

PERIOD_MS: typing.Final = 5000
ORIGIN_LIMIT: typing.Final = 32
REPAIR_LIMIT: typing.Final = 32


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send a digest of some origins to one peer when it is due."""
    table = state.facts
    if now_ms - table.digest_at_ms < PERIOD_MS:
        return []
    peers = fanout.choose(state, now_ms)
    if not peers:
        return []
    # Jitter keeps instances that started together from repairing together.
    table.digest_at_ms = now_ms - state.rng.uniform(0, PERIOD_MS / 4)
    origins = sorted({origin for _, origin in _lasting(table)})
    if len(origins) > ORIGIN_LIMIT:
        origins = sorted(state.rng.sample(origins, ORIGIN_LIMIT))
    peer = state.rng.choice(peers)
    digest = messages.FactsDigest(_checksums(table, origins))
    return bandwidth.send(
        state, peer.incarnation, peer.peer_address, digest, now_ms
    )


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send the facts of the origins that differ, and ask for the peer's."""
    message = event.message
    peer = state.instances.peer_by_incarnation.get(event.sender)
    if peer is None or not isinstance(message, messages.FactsDigest):
        return []
    named = sorted(message.checksum_by_origin)[:ORIGIN_LIMIT]
    own = _checksums(state.facts, named)
    differing = [
        origin
        for origin in named
        if own[origin] != message.checksum_by_origin[origin]
    ]
    if not differing:
        return []
    answers: list[messages.Message] = []
    if not message.reply:
        asked = {origin: own[origin] for origin in differing}
        answers.append(messages.FactsDigest(asked, reply=True))
    repair = _facts_of(state, differing, now_ms)
    if repair:
        answers.append(messages.Facts(repair))
    return bandwidth.send_each(state, peer, answers, now_ms)


def _lasting(table: facts.FactsTable) -> list[facts.Key]:
    return [
        key
        for key, fact in table.fact_by_key.items()
        if not isinstance(fact.body, messages.TargetLoad)
    ]


def _checksums(
    table: facts.FactsTable,
    origins: list[str],
) -> dict[str, int]:
    checksum_by_origin = collections.Counter(dict.fromkeys(origins, 0))
    for subject, origin in _lasting(table):
        sequence = table.fact_by_key[subject, origin].sequence
        stamp = f'{subject}\n{sequence}'
        checksum_by_origin[origin] ^= zlib.crc32(stamp.encode())
    return {named: checksum_by_origin[named] for named in origins}


def _facts_of(
    state: world.World,
    origins: list[str],
    now_ms: clock.Millis,
) -> tuple[messages.Fact, ...]:
    wanted = set(origins)
    keys = [key for key in _lasting(state.facts) if key[1] in wanted]
    if len(keys) > REPAIR_LIMIT:
        keys = state.rng.sample(keys, REPAIR_LIMIT)
    return tuple(deltas.aged(state, key, now_ms) for key in sorted(keys))
