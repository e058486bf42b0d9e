"""Anti-entropy: peers compare digests of facts and resend what differs.

This repairs facts that were lost in transit. Target loads are left out, as
they are published again before a repair would arrive.
"""

import collections
import typing
import zlib

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import bandwidth, fact_deltas, fanout
from oleanderstair.domain.tables import facts

DIGEST_PERIOD_MS: typing.Final = 5000
"""The longest time between two digests of an instance."""

MAX_DIGEST_ORIGINS: typing.Final = 32
"""The most origins in a digest; of more, a random sample is taken."""

MAX_REPAIR_FACTS: typing.Final = 32
"""The most facts in a repair; of more, a random sample is sent."""


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send a digest of up to ``MAX_DIGEST_ORIGINS`` origins when it is due."""
    table = state.facts
    if now_ms - table.digest_at_ms < DIGEST_PERIOD_MS:
        return []
    peers = fanout.choose_peers(state, now_ms)
    if not peers:
        return []
    # Jitter of up to a quarter of the period spreads the digests of instances
    # that started together.
    table.digest_at_ms = now_ms - state.rng.uniform(0, DIGEST_PERIOD_MS / 4)
    origins = sorted({origin for _, origin in _repairable_keys(table)})
    if len(origins) > MAX_DIGEST_ORIGINS:
        origins = sorted(state.rng.sample(origins, MAX_DIGEST_ORIGINS))
    peer = state.rng.choice(peers)
    digest = messages.FactsDigest(_checksum_by_origin(table, origins))
    return bandwidth.send_message(
        state, peer.incarnation, peer.peer_address, digest, now_ms
    )


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Send the facts of origins whose checksums differ.

    Unless the digest is itself a reply, this instance's checksums of these
    origins are sent back as well, so that the peer sends its facts.
    """
    message = event.message
    peer = state.instances.peer_by_incarnation.get(event.sender)
    if peer is None or not isinstance(message, messages.FactsDigest):
        return []
    origins = sorted(message.checksum_by_origin)[:MAX_DIGEST_ORIGINS]
    own_checksums = _checksum_by_origin(state.facts, origins)
    differing = [
        origin
        for origin in origins
        if own_checksums[origin] != message.checksum_by_origin[origin]
    ]
    if not differing:
        return []
    replies: list[messages.Message] = []
    if not message.reply:
        differing_checksums = {
            origin: own_checksums[origin] for origin in differing
        }
        replies.append(messages.FactsDigest(differing_checksums, reply=True))
    repair = _facts_of_origins(state, differing, now_ms)
    if repair:
        replies.append(messages.Facts(repair))
    return bandwidth.send_messages(state, peer, replies, now_ms)


def _repairable_keys(table: facts.FactsTable) -> list[facts.FactKey]:
    """Return the keys of all facts that are not target loads."""
    return [
        key
        for key, fact in table.fact_by_key.items()
        if not isinstance(fact.body, messages.TargetLoad)
    ]


def _checksum_by_origin(
    table: facts.FactsTable,
    origins: list[str],
) -> dict[str, int]:
    """Return a checksum over the subjects and sequences of each origin.

    The checksum of an origin without facts is 0.
    """
    checksum_by_origin = collections.Counter(dict.fromkeys(origins, 0))
    for subject, origin in _repairable_keys(table):
        sequence = table.fact_by_key[subject, origin].sequence
        text = f'{subject}\n{sequence}'
        checksum_by_origin[origin] ^= zlib.crc32(text.encode())
    return {name: checksum_by_origin[name] for name in origins}


def _facts_of_origins(
    state: world.World,
    origins: list[str],
    now_ms: clock.Millis,
) -> tuple[messages.Fact, ...]:
    """Return up to ``MAX_REPAIR_FACTS`` facts of the origins, sorted by key."""
    wanted_origins = set(origins)
    keys = [
        key for key in _repairable_keys(state.facts) if key[1] in wanted_origins
    ]
    if len(keys) > MAX_REPAIR_FACTS:
        keys = state.rng.sample(keys, MAX_REPAIR_FACTS)
    return tuple(
        fact_deltas.fact_with_current_age(state, key, now_ms)
        for key in sorted(keys)
    )
