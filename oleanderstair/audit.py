"""The audit trail: a bounded list of changes with actor and reason."""

import collections
import time
import typing

import msgspec

from oleanderstair import logs
from oleanderstair.domain import actions

_MAX_ENTRIES: typing.Final = 1000


class Entry(typing.TypedDict):
    """One change; ``at`` is the wall time in seconds since 1970."""

    number: int
    at: float
    kind: str
    subject: str
    actor: str
    why: str


class AuditTrail(msgspec.Struct):
    """The latest changes, oldest first, numbered from 1 since the start."""

    entries: collections.deque[Entry]
    next_number: int = 1

    def record(self, change: actions.Audit) -> None:
        """Append a change to the trail and log it."""
        entry = Entry(
            number=self.next_number,
            at=round(time.time(), 3),
            kind=change.kind,
            subject=change.subject,
            actor=change.actor,
            why=change.why,
        )
        self.next_number += 1
        self.entries.append(entry)
        logs.log_event(f'audit-{change.kind}', **_log_fields_of(change))


def create(limit: int = _MAX_ENTRIES) -> AuditTrail:
    """Create an empty trail that keeps the latest ``limit`` changes."""
    return AuditTrail(collections.deque(maxlen=limit))


def _log_fields_of(change: actions.Audit) -> dict[str, str]:
    return {
        'subject': change.subject,
        'actor': change.actor,
        'why': change.why,
    }
