"""Rendezvous hashing: each key prefers members in an order of its own."""

import hashlib
import typing

_HASH_BYTES: typing.Final = 8


def rank(member: str, key: str) -> bytes:
    """Return a hash that orders the members for a key."""
    text = f'{member}/{key}'.encode()
    return hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()


def first(
    members: typing.Iterable[str],
    key: str,
    count: int,
) -> tuple[str, ...]:
    """Return the ``count`` members that come first for a key."""
    ranked = sorted(members, key=lambda member: rank(member, key))
    return tuple(ranked[:count])
