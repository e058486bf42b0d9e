"""Rendezvous hashing: each key orders the members by a hash of both."""

import hashlib
import typing

_HASH_BYTES: typing.Final = 8


def member_hash(member: str, key: str) -> bytes:
    """Return the hash by which a member is ordered for a key."""
    text = f'{member}/{key}'.encode()
    return hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()


def top_members(
    members: typing.Iterable[str],
    key: str,
    count: int,
) -> tuple[str, ...]:
    """Return the ``count`` members with the lowest hashes for a key."""
    ranked = sorted(members, key=lambda member: member_hash(member, key))
    return tuple(ranked[:count])
