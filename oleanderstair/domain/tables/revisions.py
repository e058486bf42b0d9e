"""Revisions of the store that rise also when the store is restored.

A store that comes back from a copy gives out revisions again that it had given
out before, and its era rises. Here a revision has the era of the store in its
high bits, so that the later of two states always has the higher revision.
"""

import typing

_REVISION_BITS: typing.Final = 40
_ERA_BITS: typing.Final = 23
"""Combined revisions fit into a signed integer of 64 bits."""

MAX_REVISION: typing.Final = (1 << _REVISION_BITS) - 1
"""The highest revision of the store within an era."""


def combine(era: int, revision: int) -> int:
    """Return a revision of the store as one that rises over eras.

    ``revision`` is at most ``MAX_REVISION``. Very high eras wrap around.
    """
    wrapped_era = era & ((1 << _ERA_BITS) - 1)
    return (wrapped_era << _REVISION_BITS) | revision


def era_of(revision: int) -> int:
    """Return the era of a combined revision."""
    return revision >> _REVISION_BITS


def within_era(revision: int) -> int:
    """Return the revision that the store itself gave out."""
    return revision & MAX_REVISION
