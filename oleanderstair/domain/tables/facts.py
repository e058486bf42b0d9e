"""The facts that instances share by gossip."""

import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain import messages

FactKey: typing.TypeAlias = tuple[str, str]
"""The subject and the origin of a fact."""


class FactsTable(msgspec.Struct):
    """The newest fact of each subject and origin, and when it was stated.

    ``sends_left_by_key`` counts the rounds in which a fact is still to be
    sent. Loads are many and less urgent, so they are counted apart in
    ``load_sends_left_by_key``. ``note_head_sends_left`` does the same for the
    head of the release notes.
    """

    fact_by_key: dict[FactKey, messages.Fact] = msgspec.field(
        default_factory=dict,
    )
    stated_at_ms_by_key: dict[FactKey, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    sends_left_by_key: dict[FactKey, int] = msgspec.field(
        default_factory=dict,
    )
    load_sends_left_by_key: dict[FactKey, int] = msgspec.field(
        default_factory=dict,
    )
    own_sequence: int = 0
    heartbeat_at_ms: clock.Millis = clock.NEVER_MS
    digest_at_ms: clock.Millis = clock.NEVER_MS
    expiry_checked_at_ms: clock.Millis = clock.NEVER_MS
    note_head_sends_left: int = 0


def create() -> FactsTable:
    """Create a table without facts."""
    return FactsTable()


def remove_fact(table: FactsTable, key: FactKey) -> None:
    """Remove a fact and its remaining sends."""
    table.fact_by_key.pop(key, None)
    table.stated_at_ms_by_key.pop(key, None)
    table.sends_left_by_key.pop(key, None)
    table.load_sends_left_by_key.pop(key, None)


def sends_left_for(
    table: FactsTable,
    body: messages.FactBody,
) -> dict[FactKey, int]:
    """Return the remaining rounds by key, for facts with such a body."""
    if isinstance(body, messages.TargetLoad):
        return table.load_sends_left_by_key
    return table.sends_left_by_key
