"""Samples targets for a call and reads their load just before its dispatch.

Other load on its machine changes a target's speed several times a second, so
only a very recent report tells which targets are fast now. Concurrent calls
share a read. The reads stay within this instance's part of the read budget.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import load_reports, registry
from oleanderstair.domain.targets import (
    availability,
    evacuations,
    locality,
    outlier_detection,
    read_budgets,
    slow_start_limits,
)

LOCAL_SAMPLE_SIZE: typing.Final = 4
"""How many targets of this data centre are compared for one call."""

WIDE_SAMPLE_SIZE: typing.Final = 4
"""How many targets of each group a wider sample adds at most.

The groups are the targets of this data centre and those of all others. A
wider sample is drawn if no target of the first one has a good score.
"""

FRESH_REPORT_MS: typing.Final = 10
"""The age up to which a report is used without another read."""

REPORT_WAIT_MS: typing.Final = 20
"""How long a call waits for reports; a health path answers in about 1 ms."""

READ_TIMEOUT_MS: typing.Final = 500
"""The timeout of a read of a load report."""

_FAILED_READ_PAUSE_MS: typing.Final = 250
"""How long a target is not read again after a failed read."""

_MIN_USABLE_SHARE: typing.Final = 0.5
"""The minimum share of eligible targets that are not ejected.

If the share is lower, ejections are ignored.
"""


class Sample(typing.NamedTuple):
    """A sample of targets for one call.

    ``awaited_target_ids`` are the targets whose report is being read, and
    ``reads`` are the actions that start new reads.
    """

    target_ids: tuple[str, ...]
    awaited_target_ids: frozenset[str]
    reads: list[actions.Action]


def draw_local(
    state: world.World,
    service: str,
    tried_ids: tuple[str, ...],
    now_ms: clock.Millis,
) -> Sample:
    """Draw targets of this data centre, of the others if none is eligible."""
    local = locality.local_target_ids(state, service)
    drawn = _draw_eligible(state, local, tried_ids, now_ms)
    if not drawn:
        remote = locality.remote_target_ids(state, service)
        drawn = _draw_eligible(state, remote, tried_ids, now_ms)
    return _make_sample(state, drawn, now_ms)


def draw_wider(
    state: world.World,
    service: str,
    tried_ids: tuple[str, ...],
    now_ms: clock.Millis,
    max_per_group: int = WIDE_SAMPLE_SIZE,
) -> Sample:
    """Draw targets of this data centre and of the others.

    At most ``max_per_group`` are drawn from each of the two groups.
    """
    local = _draw_eligible(
        state, locality.local_target_ids(state, service), tried_ids, now_ms
    )
    remote = _draw_eligible(
        state, locality.remote_target_ids(state, service), tried_ids, now_ms
    )
    wider = [*local[:max_per_group], *remote[:max_per_group]]
    return _make_sample(state, wider, now_ms)


def probe_random_targets(
    state: world.World,
    excluded_ids: typing.Collection[str],
    count: int,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Return reads of up to ``count`` random targets in open data centres.

    They have a part of the read budget of their own, see
    ``read_budgets.random_probe_interval_ms``, which the caller keeps.
    """
    candidates = [
        entry
        for entry in evacuations.open_entries(state)
        if entry.target_id not in excluded_ids
        and entry.target_id not in state.loads.read_started_at_ms_by_id
    ]
    chosen = state.rng.sample(candidates, min(count, len(candidates)))
    reads = [_start_read(state, entry, now_ms) for entry in chosen]
    return [read for read in reads if read is not None]


def on_load_read(
    state: world.World,
    event: events.LoadRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Store the report that was read.

    After a failed read drop the last report and pause the reads.
    """
    state.loads.read_started_at_ms_by_id.pop(event.target_id, None)
    if event.report is not None:
        store_report(state, event.target_id, event.report, now_ms)
        return []
    load = load_reports.load_of(state.loads, event.target_id)
    load_reports.put_load(
        state.loads,
        load._replace(
            report=None, unreachable_until_ms=now_ms + _FAILED_READ_PAUSE_MS
        ),
    )
    return []


def store_report(
    state: world.World,
    target_id: str,
    report: load_reports.Report,
    now_ms: clock.Millis,
) -> None:
    """Store a target's load report from its health path or an answer."""
    load = load_reports.load_of(state.loads, target_id)
    load_reports.put_load(
        state.loads,
        load._replace(
            report=report,
            reported_at_ms=now_ms,
            sent_since_report=0,
            unreachable_until_ms=clock.NEVER_MS,
        ),
    )


def _draw_eligible(
    state: world.World,
    target_ids: tuple[str, ...],
    tried_ids: tuple[str, ...],
    now_ms: clock.Millis,
) -> list[registry.Entry]:
    """Return a few random targets that may receive a call now.

    Ejected targets are left out, unless so many are ejected that the cause is
    probably not the targets. Only some targets are examined; all are if none
    of these is eligible.
    """
    examined_count = min(len(target_ids), 2 * LOCAL_SAMPLE_SIZE)
    drawn = state.rng.sample(target_ids, examined_count)
    eligible = _eligible_entries(state, drawn, tried_ids, now_ms)
    if not eligible and examined_count < len(target_ids):
        drawn = state.rng.sample(target_ids, len(target_ids))
        eligible = _eligible_entries(state, drawn, tried_ids, now_ms)
    usable = [
        entry
        for entry in eligible
        if not outlier_detection.is_ejected(
            load_reports.load_of(state.loads, entry.target_id),
            now_ms,
        )
    ]
    if len(usable) < len(eligible) * _MIN_USABLE_SHARE:
        usable = eligible
    return usable[:LOCAL_SAMPLE_SIZE]


def _eligible_entries(
    state: world.World,
    target_ids: typing.Iterable[str],
    tried_ids: tuple[str, ...],
    now_ms: clock.Millis,
) -> list[registry.Entry]:
    """Return the entries of the targets that accept calls, or may after a read.

    Left out are targets that were tried.
    """
    return [
        state.registry.entry_by_id[target_id]
        for target_id in target_ids
        if target_id not in tried_ids
        and availability.may_be_sampled(state, target_id, now_ms)
    ]


def _make_sample(
    state: world.World,
    drawn: list[registry.Entry],
    now_ms: clock.Millis,
) -> Sample:
    reads: list[actions.Action] = []
    awaited_ids: list[str] = []
    for entry in drawn:
        started_at_ms = state.loads.read_started_at_ms_by_id.get(
            entry.target_id
        )
        if started_at_ms is not None:
            # Further calls don't wait for a read that is already late.
            if now_ms - started_at_ms <= REPORT_WAIT_MS:
                awaited_ids.append(entry.target_id)
            continue
        read = _make_read(state, entry, now_ms)
        if read is not None:
            reads.append(read)
            awaited_ids.append(entry.target_id)
    return Sample(
        tuple(chosen.target_id for chosen in drawn),
        frozenset(awaited_ids),
        reads,
    )


def _make_read(
    state: world.World,
    entry: registry.Entry,
    now_ms: clock.Millis,
) -> actions.Action | None:
    """Return the action that reads a target's load.

    Return None if its report is recent, if reads are paused after a failure,
    if its service is not configured, or if the read budget is used up.
    """
    load = load_reports.load_of(state.loads, entry.target_id)
    is_fresh = now_ms - load.reported_at_ms <= FRESH_REPORT_MS
    if is_fresh and not slow_start_limits.is_limited(state, entry, now_ms):
        return None
    if slow_start_limits.is_read_kept(state, entry, now_ms):
        return None
    in_force = state.routes.in_force
    if in_force is None or entry.service not in in_force.service_by_name:
        return None
    if now_ms < load.unreachable_until_ms:
        return None
    if not read_budgets.spend_read(state, entry, now_ms):
        return None
    return _start_read(state, entry, now_ms)


def _start_read(
    state: world.World,
    entry: registry.Entry,
    now_ms: clock.Millis,
) -> actions.Action | None:
    """Return the action that reads a target's load, None without a path."""
    in_force = state.routes.in_force
    service = in_force.service_by_name.get(entry.service) if in_force else None
    if service is None:
        return None
    state.loads.read_started_at_ms_by_id[entry.target_id] = now_ms
    return actions.ReadLoad(
        entry.target_id,
        entry.address,
        service.health_path,
        READ_TIMEOUT_MS,
        entry.born_ms,
    )
