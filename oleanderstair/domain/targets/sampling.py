"""Chooses a target by load reports read just before the dispatch.

Neighbours slow a target several times a second, so that only a report of
the last moments tells which targets are quick now.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import load_reports, registry

SAMPLE_SIZE: typing.Final = 8
"""How many targets are compared for one call."""

FRESH_MS: typing.Final = 10
"""How old a report may be to count as read just now."""

BOUND_MS: typing.Final = 20
"""How long a call waits for reports; the health path answers in 1 ms."""

READ_BOUND_MS: typing.Final = 500
"""When a read of a load report is given up."""

_CROWDING: typing.Final = 0.5
"""How much slower a target gets, at most, as its slots fill."""


class Sample(typing.NamedTuple):
    """The targets to choose from, and those whose report is to be read."""

    target_ids: tuple[str, ...]
    awaited: frozenset[str]
    reads: list[actions.Action]


def draw(
    state: world.World,
    service: str,
    tried_ids: tuple[str, ...],
    now_ms: clock.Millis,
    wide: bool = False,
) -> Sample:
    """Draw targets of a service, those of the own data centre alone at first.

    A ``wide`` sample comes from all data centres alike.
    """
    usable = [
        state.registry.entry_by_id[target_id]
        for target_id in state.registry.ids_by_service.get(service, ())
        if target_id not in tried_ids and is_usable(state, target_id, now_ms)
    ]
    state.rng.shuffle(usable)
    own = state.identity.data_centre
    near = [entry for entry in usable if entry.data_centre == own]
    drawn = usable[:4] if wide else (near or usable)[:SAMPLE_SIZE]
    stale = [entry for entry in drawn if not _is_fresh(state, entry, now_ms)]
    return Sample(
        tuple(entry.target_id for entry in drawn),
        frozenset(entry.target_id for entry in stale),
        _reads(state, stale),
    )


def choose(
    state: world.World,
    target_ids: typing.Iterable[str],
) -> str | None:
    """Return the target that would answer soonest."""
    return min(
        target_ids,
        key=lambda found: (_slowness(state, found), state.rng.random()),
        default=None,
    )


def on_load_read(
    state: world.World,
    event: events.LoadRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Keep what a target told of its load."""
    state.loads.reading_ids.discard(event.target_id)
    if event.report is not None:
        keep(state, event.target_id, event.report, now_ms)
    return []


def keep(
    state: world.World,
    target_id: str,
    report: load_reports.Report,
    now_ms: clock.Millis,
) -> None:
    """Keep a report of a target, from its health path or an answer."""
    known = load_reports.load_of(state.loads, target_id)
    load_reports.put_load(
        state.loads,
        known._replace(report=report, reported_at_ms=now_ms, sent_since=0),
    )


def is_usable(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a target may be sent calls at all."""
    if state.registry.entry_by_id[target_id].leaving:
        return False
    return (
        now_ms >= load_reports.load_of(state.loads, target_id).barred_until_ms
    )


def _is_fresh(
    state: world.World,
    entry: registry.Entry,
    now_ms: clock.Millis,
) -> bool:
    known = load_reports.load_of(state.loads, entry.target_id)
    return now_ms - known.reported_at_ms <= FRESH_MS


def _reads(
    state: world.World,
    stale: list[registry.Entry],
) -> list[actions.Action]:
    routing = state.routes.in_force
    reads: list[actions.Action] = []
    for entry in stale:
        service = (
            routing.service_by_name.get(entry.service) if routing else None
        )
        if service is None or entry.target_id in state.loads.reading_ids:
            continue
        state.loads.reading_ids.add(entry.target_id)
        reads.append(
            actions.ReadLoad(
                entry.target_id,
                entry.address,
                service.health_path,
                READ_BOUND_MS,
            ),
        )
    return reads


def _slowness(state: world.World, target_id: str) -> float:
    """Return how many times its usual time a call would take there."""
    known = load_reports.load_of(state.loads, target_id)
    report = known.report
    if report is None:
        return float('inf')
    busy = report.running + report.waiting + known.sent_since
    fill = busy / max(report.slots, 1)
    waits = max(fill - 1 + 1 / max(report.slots, 1), 0)
    return report.slowness * (1 + _CROWDING * min(fill, 1) + waits)
