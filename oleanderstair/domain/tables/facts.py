"""The facts that instances tell each other."""

import dataclasses
import typing

from oleanderstair import clock
from oleanderstair.domain import messages

Key: typing.TypeAlias = tuple[str, str]


@dataclasses.dataclass(slots=True)
class FactsTable:
    """The newest fact of each subject and origin, and when it was stated.

    ``sends_left_by_key`` counts the rounds in which a fact is still news.
    """

    fact_by_key: dict[Key, messages.Fact] = dataclasses.field(
        default_factory=dict,
    )
    stated_at_ms_by_key: dict[Key, clock.Millis] = dataclasses.field(
        default_factory=dict,
    )
    sends_left_by_key: dict[Key, int] = dataclasses.field(
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
