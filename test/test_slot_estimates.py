"""Estimated free slots while many instances compete for the last ones."""

import typing

import pytest

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import concurrency, load_reports, members
from oleanderstair.domain.targets import slot_estimates, slot_shortage
from oleanderstair.emulator import gateway_fleet, plans

TARGET_ID: typing.Final = 'burza-0'
LOOKUP: typing.Final = plans.Kind('lookup', 'burza', 0, plans.Work(40))


def make_state(age_ms: clock.Millis) -> tuple[world.World, clock.Millis]:
    """Return a state whose report of some age shows three free slots."""
    fleet = gateway_fleet.create(1)
    fleet.add_target(TARGET_ID, 'burza')
    fleet.publish(LOOKUP)
    fleet.add_instance('entry-0')
    fleet.run_for(3000)
    now_ms = fleet.times.now_ms()
    state = fleet.member_by_id['entry-0'].state
    # Learned: these targets do not slow down when full.
    state.concurrency.latency_ratio_by_level['burza', 4] = concurrency.LogMean(
        0, 20
    )
    load = load_reports.load_of(state.loads, TARGET_ID)
    load_reports.put_load(
        state.loads,
        load._replace(
            report=load_reports.Report(1, 0, 4, 1.0),
            reported_at_ms=now_ms - age_ms,
            sent_since_report=0,
            unreachable_until_ms=clock.NEVER_MS,
        ),
    )
    return state, now_ms


@pytest.mark.parametrize(
    ('age_ms', 'free'),
    [
        (0, 3),
        (slot_shortage.OUTDATED_FROM_MS, 3),
        (slot_shortage.OUTDATED_FROM_MS + 1, 0),
        (slot_shortage.OUTDATED_UNTIL_MS - 1, 0),
        (slot_shortage.OUTDATED_UNTIL_MS, 3),
    ],
)
def test_in_a_shortage_only_a_recent_report_shows_free_slots(
    age_ms: clock.Millis,
    free: int,
) -> None:
    state, now_ms = make_state(age_ms)
    state.routed.slots_short_at_ms_by_service['burza'] = now_ms
    assert slot_estimates.free_slots(state, TARGET_ID, now_ms) == free


def test_without_a_shortage_an_older_report_shows_free_slots() -> None:
    state, now_ms = make_state(300)
    assert slot_estimates.free_slots(state, TARGET_ID, now_ms) == 3


def test_a_shortage_ends_after_the_last_call_without_a_free_slot() -> None:
    state, now_ms = make_state(300)
    state.routed.slots_short_at_ms_by_service['burza'] = (
        now_ms - slot_shortage.SHORTAGE_MS
    )
    assert not slot_shortage.has_shortage(state, 'burza', now_ms)
    assert slot_estimates.free_slots(state, TARGET_ID, now_ms) == 3


def test_a_full_target_with_an_outdated_report_stays_full() -> None:
    state, now_ms = make_state(300)
    load = load_reports.load_of(state.loads, TARGET_ID)
    full_report = load_reports.Report(4, 2, 4, 1.0)
    load_reports.put_load(state.loads, load._replace(report=full_report))
    state.routed.slots_short_at_ms_by_service['burza'] = now_ms
    assert slot_estimates.free_slots(state, TARGET_ID, now_ms) < 0


def assign_instances(state: world.World, count: int) -> None:
    """Assign ``count`` instances of the data centre to the service."""
    state.identity = state.identity._replace(capacity=1)
    for number in range(1, count):
        row = members.Member(
            f'neighbour-{number}~1',
            state.identity.data_centre,
            f'neighbour-{number}:80',
            f'neighbour-{number}:90',
            started_ms=1,
            beat=1,
            standing=members.Standing.READY,
        )
        state.members.member_by_incarnation[row.incarnation] = row
    state.members.version += 1


def _free_slots_with(
    age_ms: clock.Millis,
    sent: int,
    assigned_count: int,
    in_flight: int = 1,
) -> int:
    """Return the estimated free slots, of three, after ``sent`` own calls."""
    state, now_ms = make_state(age_ms)
    assign_instances(state, assigned_count)
    load = load_reports.load_of(state.loads, TARGET_ID)
    load_reports.put_load(
        state.loads,
        load._replace(sent_since_report=sent, in_flight=in_flight),
    )
    return slot_estimates.free_slots(state, TARGET_ID, now_ms)


def test_other_senders_are_assumed_to_send_as_much_between_reports() -> None:
    assert (
        _free_slots_with(
            slot_estimates.RECENT_REPORT_MS + 1, sent=1, assigned_count=3
        )
        == 0
    )
    assert (
        _free_slots_with(
            slot_estimates.RECENT_REPORT_MS + 1, sent=0, assigned_count=3
        )
        == 3
    )


def test_an_ended_call_does_not_occupy_a_slot() -> None:
    age_ms = slot_shortage.OUTDATED_UNTIL_MS
    assert _free_slots_with(age_ms, sent=1, assigned_count=40, in_flight=0) == 3


def test_a_current_report_includes_the_calls_of_other_senders() -> None:
    assert (
        _free_slots_with(
            slot_estimates.RECENT_REPORT_MS, sent=1, assigned_count=3
        )
        == 2
    )


def test_before_the_first_report_slots_are_divided_among_senders() -> None:
    state, now_ms = make_state(0)
    assign_instances(state, 8)
    load = load_reports.load_of(state.loads, TARGET_ID)
    without_report = load._replace(report=None, in_flight=0)
    load_reports.put_load(state.loads, without_report)
    assert slot_estimates.free_slots(state, TARGET_ID, now_ms) > 0
    load_reports.put_load(state.loads, without_report._replace(in_flight=1))
    assert slot_estimates.free_slots(state, TARGET_ID, now_ms) <= 0
