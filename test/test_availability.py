"""Targets that accept no calls for now get none on any way to a dispatch."""

from oleanderstair.domain import events, gateway
from oleanderstair.domain.tables import load_reports
from oleanderstair.domain.targets import sampling, slot_estimates
from test import test_gateway_fleet


def test_an_untested_slot_of_a_target_in_backoff_is_not_used():
    fleet = test_gateway_fleet.make_fleet(targets=1)
    state = fleet.member_by_id['entry-0'].state
    now_ms = fleet.times.now_ms()
    report = load_reports.Report(running=2, queued=0, slots=4)
    sampling.store_report(state, 'burza-0', report, now_ms)
    assert slot_estimates.is_next_level_untested(state, 'burza-0', now_ms)
    told = events.TargetTold('burza-0', 1, rest_ms=1000)
    gateway.step(state, told, now_ms)
    assert not slot_estimates.is_next_level_untested(state, 'burza-0', now_ms)
