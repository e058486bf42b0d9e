"""The audit trail: a bounded ring of changes, with who, what and why."""

import collections
import time
import typing

import msgspec

from oleanderstair import logs
from oleanderstair.domain import actions

_LIMIT: typing.Final = 1000


class Entry(typing.TypedDict):
    """One change; ``at`` is wall time in seconds since 1970."""

    number: int
    at: float
    kind: str
    subject: str
    actor: str
    why: str


class Trail(msgspec.Struct):
    """The newest changes, oldest first."""

    entries: collections.deque[Entry]
    next_number: int = 1

    def record(self, change: actions.Audit) -> None:
        """Keep a change and log it."""
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
        logs.event(f'audit-{change.kind}', **_described(change))


def create(limit: int = _LIMIT) -> Trail:
    """Create an empty trail that keeps the newest ``limit`` changes."""
    return Trail(collections.deque(maxlen=limit))


def _described(change: actions.Audit) -> dict[str, str]:
    return {
        'subject': change.subject,
        'actor': change.actor,
        'why': change.why,
    }
