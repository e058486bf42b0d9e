"""The platform's store on the virtual clock: revisions and a history."""

import typing

from oleanderstair.domain import events
from oleanderstair.domain.tables import (
    operator_state,
    registry,
    revisions,
    routes,
)


class Change(typing.NamedTuple):
    """One revision: a configuration, an entry or evacuation, or the end of one.

    ``freed`` is the data centre whose evacuation was taken back.
    """

    revision: int
    routing: routes.Routing | None = None
    entry: registry.Entry | None = None
    gone: str = ''
    evacuation: operator_state.Evacuation | None = None
    freed: str = ''


class Copy(typing.NamedTuple):
    """What the store held at a moment."""

    revision: int
    routing: routes.Routing | None
    entry_by_id: dict[str, registry.Entry]
    evacuation_by_data_centre: dict[str, operator_state.Evacuation]


class WatchedStore:
    """What the store holds, and what it still knows of its changes.

    Tests set ``down`` (an answer 503), ``silent`` (no answer), ``slow_ms``
    and ``refused_ids`` (the instances that it turns away).
    """

    def __init__(self) -> None:
        """Hold nothing, at revision 1."""
        self.revision = 1
        self.routing: routes.Routing | None = None
        self.entry_by_id: dict[str, registry.Entry] = {}
        self.evacuation_by_data_centre: dict[
            str, operator_state.Evacuation
        ] = {}
        self.limit_by_service: dict[str, operator_state.SlowStartLimit] = {}
        self.calls = 0
        self.down = False
        self.silent = False
        self.slow_ms: float = 0
        self.loss_share: float = 0
        self.refused_ids: set[str] = set()
        self.on_change: list[typing.Callable[[], None]] = []
        self._history: list[Change] = []
        self._known_from = 1

    def publish(self, routing: routes.Routing) -> int:
        """Hold a configuration and return its revision."""
        self.routing = routing
        return self._note(Change(self.revision + 1, routing=routing))

    def put(self, entry: registry.Entry) -> int:
        """Hold the entry of a target and return its revision."""
        revision = self.revision + 1
        entry = entry._replace(revision=revision)
        self.entry_by_id[entry.target_id] = entry
        return self._note(Change(revision, entry=entry))

    def remove(self, target_id: str) -> int:
        """Forget the entry of a target and return the revision."""
        if self.entry_by_id.pop(target_id, None) is None:
            return self.revision
        return self._note(Change(self.revision + 1, gone=target_id))

    def evacuate(self, data_centre: str) -> int:
        """Hold the request to evacuate a data centre; return its revision."""
        evacuation = operator_state.Evacuation(data_centre, self.revision + 1)
        self.evacuation_by_data_centre[data_centre] = evacuation
        return self._note(Change(evacuation.revision, evacuation=evacuation))

    def end_evacuation(self, data_centre: str) -> int:
        """Drop the request to evacuate a data centre; return the revision."""
        self.evacuation_by_data_centre.pop(data_centre)
        return self._note(Change(self.revision + 1, freed=data_centre))

    def forget_history(self) -> None:
        """Answer 410 to watches from before now."""
        self._history.clear()
        self._known_from = self.revision

    def copy(self) -> Copy:
        """Return what the store holds now."""
        return Copy(
            self.revision,
            self.routing,
            dict(self.entry_by_id),
            dict(self.evacuation_by_data_centre),
        )

    def restore(self, kept: Copy) -> None:
        """Hold what a copy holds, and lose everything written since.

        Its revisions are given out again, in the next era.
        """
        era = revisions.era_of(self.revision) + 1
        self.revision = _in_era(era, kept.revision)
        self.routing = kept.routing
        self.entry_by_id = {
            target_id: entry._replace(revision=_in_era(era, entry.revision))
            for target_id, entry in kept.entry_by_id.items()
        }
        self.evacuation_by_data_centre = {
            name: evacuation._replace(
                revision=_in_era(era, evacuation.revision)
            )
            for name, evacuation in kept.evacuation_by_data_centre.items()
        }
        self.forget_history()

    def refuses(self, instance_id: str) -> bool:
        """Return whether an instance gets 503."""
        return self.down or instance_id in self.refused_ids

    def read(self) -> events.StoreRead:
        """Return all that the store holds."""
        entries = tuple(self.entry_by_id.values())
        return events.StoreRead(
            self.routing,
            events.RegistryRead(self.revision, entries),
            evacuations=tuple(self.evacuation_by_data_centre.values()),
            limit_by_service=self.limit_by_service,
        )

    def is_forgotten(self, after_revision: int) -> bool:
        """Return whether the store doesn't have a revision, or not since it."""
        return not self._known_from <= after_revision <= self.revision

    def changes_after(self, after_revision: int) -> events.StoreChanged:
        """Return what changed after a revision; it may be nothing."""
        news = [
            change
            for change in self._history
            if change.revision > after_revision
        ]
        routings = [change.routing for change in news if change.routing]
        gone = tuple(
            registry.RemovedEntry(change.gone, change.revision)
            for change in news
            if change.gone
        )
        entries = tuple(change.entry for change in news if change.entry)
        return events.StoreChanged(
            routings[-1] if routings else None,
            events.RegistryChanged(self.revision, entries, gone),
            evacuations=tuple(
                change.evacuation
                for change in news
                if change.evacuation
                and self.evacuation_by_data_centre.get(
                    change.evacuation.data_centre
                )
                == change.evacuation
            ),
            ended_evacuations=tuple(
                operator_state.Evacuation(change.freed, change.revision)
                for change in news
                if change.freed
                and change.freed not in self.evacuation_by_data_centre
            ),
            limit_by_service=self.limit_by_service if routings else None,
        )

    def _note(self, change: Change) -> int:
        self.revision = change.revision
        self._history.append(change)
        for notice in tuple(self.on_change):
            notice()
        return change.revision


def _in_era(era: int, revision: int) -> int:
    return revisions.combine(era, revisions.within_era(revision))


def create() -> WatchedStore:
    """Create a store that holds nothing."""
    return WatchedStore()
