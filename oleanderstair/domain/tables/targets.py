"""The state of each target beyond its definition in the release notes."""

import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain.tables import catalogue


class Condition(typing.NamedTuple):
    """The availability and the load of a target.

    ``in_flight`` counts this instance's own attempts, and ``overdue`` those
    that take unusually long. ``full_until_ms`` is the end of a pause after
    the target shed a call, and ``ejected_until_ms`` that of an ejection.
    ``reported_in_flight`` is from its load report. Too many ``report_misses``
    set ``report_doubted``, and reports are then not used. Fields that begin
    with ``others`` are derived from the loads that other instances published.
    ``slow_told_at_ms`` is when this instance last published that the target
    is slow; never if it is not slow now.
    """

    target_id: str
    in_flight: int = 0
    target_incarnation: str = ''
    leaving: bool = False
    leaving_why: str = ''
    leaving_since_ms: clock.Millis = clock.NEVER_MS
    returned_at_ms: clock.Millis = clock.NEVER_MS
    checked_at_ms: clock.Millis = clock.NEVER_MS
    replaced_incarnations: tuple[str, ...] = ()
    full_until_ms: clock.Millis = clock.NEVER_MS
    ejected_until_ms: clock.Millis = clock.NEVER_MS
    ejections: int = 0
    failures_in_row: int = 0
    served: int = 0
    latency_ms: clock.Millis = 0
    latency_at_ms: clock.Millis = clock.NEVER_MS
    reported_in_flight: int = 0
    reported_at_ms: clock.Millis = clock.NEVER_MS
    report_doubted: bool = False
    others_in_flight: float = 0
    others_at_ms: clock.Millis = clock.NEVER_MS
    failure_rate: float = 0
    overdue: int = 0
    report_misses: int = 0
    others_latency_ms: clock.Millis = 0
    others_latency_at_ms: clock.Millis = clock.NEVER_MS
    slow_told_at_ms: clock.Millis = clock.NEVER_MS


class Ramp(typing.NamedTuple):
    """The slow start of a new or returning target, in stages.

    ``own_slots`` is the number of slots that this instance may use now.
    ``served_in_stage`` counts the calls of this instance that were served in
    the stage, ``published_served`` those that were published to peers, and
    ``served_by_origin`` those that peers published.
    """

    target_id: str
    generation: int
    stage: int
    stage_since_ms: clock.Millis
    wait_ms: clock.Millis
    target_incarnation: str = ''
    served_in_stage: int = 0
    own_slots: int = 0
    published_served: int = 0
    published_at_ms: clock.Millis = clock.NEVER_MS
    served_by_origin: tuple[tuple[str, int], ...] = ()


class TargetsTable(msgspec.Struct):
    """Conditions and slow starts by target, and the catalogue they are for.

    ``down_since_ms_by_id`` holds the targets that are down and since when.
    ``overdue_ids`` are the targets with overdue attempts.
    ``round_robin_turn`` is the position of the round robin choice of targets.
    """

    condition_by_id: dict[str, Condition] = msgspec.field(
        default_factory=dict,
    )
    ramp_by_id: dict[str, Ramp] = msgspec.field(default_factory=dict)
    down_since_ms_by_id: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    known_catalogue: catalogue.Catalogue = msgspec.field(
        default_factory=catalogue.empty_catalogue,
    )
    round_robin_turn: int = 0
    overdue_ids: tuple[str, ...] = ()


def condition_of(table: TargetsTable, target_id: str) -> Condition:
    """Return the condition of a target, an empty one if it is unknown."""
    known = table.condition_by_id.get(target_id)
    return known or Condition(target_id)


def put_condition(table: TargetsTable, condition: Condition) -> None:
    """Store the new condition of a target."""
    table.condition_by_id[condition.target_id] = condition


def create() -> TargetsTable:
    """Create a table without targets."""
    return TargetsTable()
