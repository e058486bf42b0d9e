"""The facts that instances tell each other."""

import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain import messages

Key: typing.TypeAlias = tuple[str, str]


class FactsTable(msgspec.Struct):
    """The newest fact of each subject and origin, and when it was stated.

    ``sends_left_by_key`` counts the rounds in which a fact is still news;
    loads, which are many and can wait, have ``loads_left_by_key``.
    """

    fact_by_key: dict[Key, messages.Fact] = msgspec.field(
        default_factory=dict,
    )
    stated_at_ms_by_key: dict[Key, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    sends_left_by_key: dict[Key, int] = msgspec.field(
        default_factory=dict,
    )
    loads_left_by_key: dict[Key, int] = msgspec.field(
        default_factory=dict,
    )
    own_sequence: int = 0
    heartbeat_at_ms: clock.Millis = clock.NEVER_MS
    digest_at_ms: clock.Millis = clock.NEVER_MS
    expired_at_ms: clock.Millis = clock.NEVER_MS
    head_sends_left: int = 0


def create() -> FactsTable:
    """Create a table without facts."""
    return FactsTable()


def remove(table: FactsTable, key: Key) -> None:
    """Forget a fact."""
    table.fact_by_key.pop(key, None)
    table.stated_at_ms_by_key.pop(key, None)
    table.sends_left_by_key.pop(key, None)
    table.loads_left_by_key.pop(key, None)


def news_of(
    table: FactsTable,
    body: messages.FactBody,
) -> dict[Key, int]:
    """Return the rounds left by key for facts of this kind."""
    if isinstance(body, messages.TargetLoad):
        return table.loads_left_by_key
    return table.sends_left_by_key
