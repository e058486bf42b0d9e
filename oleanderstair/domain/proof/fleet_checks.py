"""Checks leaving targets, notes and the measuring budget."""

import collections
import typing

from oleanderstair import clock
from oleanderstair.domain import actions
from oleanderstair.domain.proof import evidence, record, violations

LEAVING_BOUND_MS: typing.Final = 2000
NOTE_BOUND_MS: typing.Final = 20_000
_SECOND_MS: typing.Final = 1000


def check_leaving(seen: record.Record) -> list[violations.Violation]:
    """Find new work for a target that was known to leave for 2 s."""
    sightings_by_target: dict[str, list[evidence.Sighting]] = (
        collections.defaultdict(list)
    )
    for sighting in seen.sightings:
        sightings_by_target[sighting.target_id].append(sighting)
    found = []
    for dispatched in seen.dispatches:
        target_id = dispatched.action.target_id
        known = _known_leaving(
            seen,
            dispatched,
            sightings_by_target[target_id],
        )
        if known is not None:
            found.append(
                violations.broken(
                    violations.Rule.LEAVING_STOPS_WORK, dispatched, str(known)
                ),
            )
    return found


def check_notes(seen: record.Record) -> list[violations.Violation]:
    """Find notes that fell, changed under a number, or came too late."""
    found = []
    last_by_instance: dict[str, evidence.Holding] = {}
    for holding in seen.holdings:
        last = last_by_instance.get(holding.instance)
        last_by_instance[holding.instance] = holding
        if last is not None and holding.number <= last.number:
            found.append(
                violations.Violation(
                    violations.Rule.NOTES_ADVANCE,
                    holding.at_ms,
                    holding.instance,
                    f'{last} became {holding}',
                ),
            )
    for dispatched in seen.dispatches:
        found.extend(
            _check_behind(seen, dispatched.instance, dispatched.at_ms),
        )
    for instance, started_ms in seen.start_by_instance.items():
        waited_ms = seen.ended_at_ms - started_ms
        if waited_ms > NOTE_BOUND_MS and violations.is_up(seen, instance):
            found.extend(_check_behind(seen, instance, seen.ended_at_ms))
    return found


def check_probes(seen: record.Record) -> list[violations.Violation]:
    """Find seconds in which a service was measured above its budget."""
    recent_by_service: dict[str, collections.deque[evidence.Reading]] = (
        collections.defaultdict(collections.deque)
    )
    found = []
    for reading in seen.readings:
        recent = recent_by_service[reading.service]
        recent.append(reading)
        while recent[0].at_ms <= reading.at_ms - _SECOND_MS:
            recent.popleft()
        reads = len(recent) * actions.READS_PER_PROBE
        if reads > reading.budget_per_s:
            found.append(
                violations.Violation(
                    violations.Rule.PROBES_IN_BUDGET,
                    reading.at_ms,
                    reading.instance,
                    f'{reads} reads of {reading.service} in a second,'
                    f' {reading.budget_per_s} allowed',
                ),
            )
    return found


def _known_leaving(
    seen: record.Record,
    dispatched: evidence.Acted,
    sightings: list[evidence.Sighting],
) -> evidence.Sighting | None:
    """Return why the dispatching instance had to know of the leaving."""
    newest = [
        sighting for sighting in sightings if sighting.at_ms < dispatched.at_ms
    ]
    bound_ms = dispatched.at_ms - LEAVING_BOUND_MS
    for sighting in reversed(newest):
        if not sighting.leaving:
            return None
        if sighting.at_ms < bound_ms and seen.reaches(
            sighting.instance,
            dispatched.instance,
            bound_ms,
            dispatched.at_ms,
        ):
            return sighting
    return None


def _check_behind(
    seen: record.Record,
    instance: str,
    at_ms: clock.Millis,
) -> list[violations.Violation]:
    """Find a higher note that an instance had 20 s to hear of."""
    bound_ms = at_ms - NOTE_BOUND_MS
    own = max(
        (
            holding.number
            for holding in seen.holdings
            if holding.instance == instance and holding.at_ms <= at_ms
        ),
        default=0,
    )
    return [
        violations.Violation(
            violations.Rule.NOTES_ADVANCE,
            at_ms,
            instance,
            f'note {own} in force while {holding} was held for 20 s',
        )
        for holding in seen.holdings
        if holding.number > own
        and holding.at_ms < bound_ms
        and seen.reaches(holding.instance, instance, bound_ms, at_ms)
    ]
