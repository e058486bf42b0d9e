"""Idempotency keys whose home is this instance."""

import enum
import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain import outcomes


class KeyState(enum.Enum):
    """The state of a key's call at the key's home instance."""

    RUNNING = 'running'
    RAN = 'ran'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class KeyRecord(typing.NamedTuple):
    """An idempotency key and the one call that may run for it.

    ``has_kept_answer`` is true while the shell still holds the call's answer.
    ``waiting_call_ids`` are later calls with the same key.
    """

    key: str
    epoch: int
    call_id: int
    state: KeyState
    recorded_at_ms: clock.Millis
    service: str = ''
    fingerprint: str = ''
    reason: outcomes.Reason | None = None
    waiting_call_ids: tuple[int, ...] = ()
    has_kept_answer: bool = False


class KeysTable(msgspec.Struct):
    """Records by key, and the epochs that they belong to.

    Epochs from ``lowest_accepting_epoch`` to ``open_epoch`` accept new keys;
    if that range is empty, the table is full. Records are kept for epochs from
    ``oldest_epoch`` on. ``answer_bytes_by_key`` holds the sizes of kept
    answers, oldest first, and ``answer_bytes`` their sum.
    """

    record_by_key: dict[str, KeyRecord] = msgspec.field(
        default_factory=dict,
    )
    keys_by_epoch: dict[int, list[str]] = msgspec.field(
        default_factory=dict,
    )
    key_by_call_id: dict[int, str] = msgspec.field(default_factory=dict)
    closed_at_ms_by_epoch: dict[int, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    answer_bytes_by_key: dict[str, int] = msgspec.field(
        default_factory=dict,
    )
    answer_bytes: int = 0
    open_epoch: int = 1
    opened_at_ms: clock.Millis = clock.NEVER_MS
    lowest_accepting_epoch: int = 1
    oldest_epoch: int = 1


def create() -> KeysTable:
    """Create a table without keys; its first epoch is open."""
    return KeysTable()
