"""How long answers take at nearly full targets and at others, by service."""

import typing

import msgspec


class Seen(typing.NamedTuple):
    """The mean logarithm of what answers took beside the usual."""

    mean: float = 0
    answers: int = 0


class CrowdingTable(msgspec.Struct):
    """What was seen at nearly full targets of a service, and at others."""

    full_by_service: dict[str, Seen] = msgspec.field(default_factory=dict)
    other_by_service: dict[str, Seen] = msgspec.field(
        default_factory=dict,
    )


def create() -> CrowdingTable:
    """Create a table in which nothing was seen."""
    return CrowdingTable()
