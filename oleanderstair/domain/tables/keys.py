"""Idempotency keys whose home is this instance."""

import dataclasses
import enum
import typing

from oleanderstair import clock
from oleanderstair.domain import outcomes


class KeyState(enum.Enum):
    """What became of a key at its home."""

    RUNNING = 'running'
    RAN = 'ran'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class KeyRecord(typing.NamedTuple):
    """A key and the one call that may run for it."""

    key: str
    epoch: int
    call_id: int
    state: KeyState
    recorded_at_ms: clock.Millis
    reason: outcomes.Reason | None = None
    waiting_call_ids: tuple[int, ...] = ()


@dataclasses.dataclass(slots=True)
class KeysTable:
    """Records by key, the open epoch and the oldest epoch still held."""

    record_by_key: dict[str, KeyRecord] = dataclasses.field(
        default_factory=dict,
    )
    keys_by_epoch: dict[int, list[str]] = dataclasses.field(
        default_factory=dict,
    )
    key_by_call_id: dict[int, str] = dataclasses.field(default_factory=dict)
    open_epoch: int = 1
    opened_at_ms: clock.Millis = 0
    oldest_epoch: int = 1


def create() -> KeysTable:
    """Create a table without keys, its first epoch open."""
    return KeysTable()
