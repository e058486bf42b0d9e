"""Says when an instance gains or loses something that it relies on."""

import typing

from oleanderstair import clock
from oleanderstair.domain import events, world
from oleanderstair.domain.tables import load_reports, revisions
from oleanderstair.explaining import lines


class Say(typing.Protocol):
    """Write one line."""

    def __call__(
        self,
        at_ms: clock.Millis,
        kind: str,
        fields: lines.Fields,
    ) -> None:
        """Write a line of ``kind`` that was true at ``at_ms``."""


class Beliefs:
    """What was last said of the store, of barred targets and of peers."""

    def __init__(self, state: world.World, say: Say) -> None:
        """Compare ``state`` with what was said of it."""
        self._state = state
        self._say = say
        self._store_lost_ms: clock.Millis | None = None
        self._barred_until_ms: dict[str, clock.Millis] = {}
        self._members_version = 0
        self._living: frozenset[str] = frozenset()

    def on_store_failed(
        self,
        now_ms: clock.Millis,
        event: events.StoreFailed,
    ) -> None:
        """Say that the store went away; further failures are not said."""
        if self._store_lost_ms is None:
            self._store_lost_ms = now_ms
            self._say(now_ms, 'store-lost', (('why', event.what),))

    def on_store_told(
        self,
        now_ms: clock.Millis,
        event: events.StoreRead | events.StoreChanged,
    ) -> None:
        """Say that the store is back."""
        if self._store_lost_ms is not None:
            away_ms = now_ms - self._store_lost_ms
            self._store_lost_ms = None
            self._say(now_ms, 'store-regained', (('after_ms', away_ms),))

    def on_history_lost(
        self,
        now_ms: clock.Millis,
        event: events.HistoryLost,
    ) -> None:
        """Say that the store has to be read anew."""
        revision = revisions.within_era(self._state.registry.revision)
        known: lines.Fields = (('registry', revision),)
        self._say(now_ms, 'store-forgot', known)

    def note_target(self, now_ms: clock.Millis, target_id: str) -> None:
        """Say that a target is barred, or that it may take calls again."""
        known = load_reports.load_of(self._state.loads, target_id)
        said_ms = self._barred_until_ms.get(target_id)
        barred = known.ejected_until_ms > now_ms
        if barred and known.ejected_until_ms != said_ms:
            self._barred_until_ms[target_id] = known.ejected_until_ms
            fields: lines.Fields = (
                ('target', target_id),
                ('for_ms', known.ejected_until_ms - now_ms),
                ('bars', known.ejection_count),
                ('doubt', known.failure_score),
            )
            self._say(now_ms, 'target-barred', fields)
        elif said_ms is not None and not known.ejection_count:
            self._barred_until_ms.pop(target_id)
            self._say(now_ms, 'target-trusted', (('target', target_id),))

    def note_peers(self, now_ms: clock.Millis) -> None:
        """Say which instances came and went since this was last asked."""
        table = self._state.members
        if table.version == self._members_version:
            return
        self._members_version = table.version
        living = frozenset(
            incarnation
            for incarnation, row in table.member_by_incarnation.items()
            if row.is_live
        )
        came = sorted(living - self._living)
        went = sorted(self._living - living)
        self._living = living
        if came or went:
            fields: lines.Fields = (
                ('living', len(living)),
                ('came', ','.join(came) or None),
                ('went', ','.join(went) or None),
            )
            self._say(now_ms, 'peers', fields)
