"""Each outcome check finds a violation when its rule is broken on purpose."""

import typing

import pytest

from oleanderstair.domain import actions, balancer, events, outcomes
from oleanderstair.domain.calls import answering, retries
from oleanderstair.domain.fleet import answer_expiry_stop
from oleanderstair.domain.proof import outcome_checks, violations
from oleanderstair.domain.targets import draining
from oleanderstair.domain.tables import catalogue
from test import scene as scenes

Patch = typing.Callable[[pytest.MonkeyPatch], None]
Scenario = typing.Callable[[scenes.Scene], None]


def swap_system(monkeypatch, kind, old, new):
    """Replace the system ``old`` by ``new``; add it if ``old`` is None."""
    systems = balancer.SYSTEMS_BY_EVENT[kind]
    kept = tuple(system for system in systems if system is not old)
    monkeypatch.setitem(balancer.SYSTEMS_BY_EVENT, kind, (*kept, new))


# Patches that break a rule


def refuse_blindly(monkeypatch):
    """Refuse every call that ends without an answer as not-run."""

    def refuse_call(state, call, reason, *details):
        state.calls.call_by_id.pop(call.call_id, None)
        not_run = outcomes.Outcome.NOT_RUN
        return [actions.Refuse(call.call_id, not_run, reason)]

    monkeypatch.setattr(answering, 'refuse_call', refuse_call)


def retry_anything(monkeypatch):
    """Retry calls that may have run."""
    monkeypatch.setattr(retries, 'may_retry', lambda *details: True)


def relay_twice(monkeypatch):
    """Relay each answer to its caller twice."""
    original = answering.relay_answer

    def relay_answer(state, call, attempt_id, *details):
        taken = original(state, call, attempt_id, *details)
        return [*taken, taken[0]]

    monkeypatch.setattr(answering, 'relay_answer', relay_answer)


def relay_nothing(monkeypatch):
    """Drop the answers of targets."""

    def relay_answer(state, call, attempt_id, *details):
        state.calls.call_by_id.pop(call.call_id, None)
        return []

    monkeypatch.setattr(answering, 'relay_answer', relay_answer)


def ignore_leaving(monkeypatch):
    """Ignore all reports that a target is leaving."""
    monkeypatch.setattr(draining, 'mark_leaving', lambda *details: [])


def exit_at_once(monkeypatch):
    """Exit at a planned stop without regard to calls in flight."""

    def on_tick(state, event, now_ms):
        if state.instances.stopping_since_ms > 0:
            return [actions.Exit()]
        return []

    swap_system(monkeypatch, events.Tick, answer_expiry_stop.on_tick, on_tick)


def forget_note(monkeypatch):
    """Revert to the empty catalogue after five seconds."""

    def on_tick(state, event, now_ms):
        if now_ms > 5000:
            state.catalogue.in_force = catalogue.empty_catalogue()
        return []

    swap_system(monkeypatch, events.Tick, None, on_tick)


def ignore_notes(monkeypatch):
    """Make one instance ignore the platform and its peers."""
    for kind in (events.ValueRead, events.PeerHeard):
        for system in balancer.SYSTEMS_BY_EVENT[kind]:
            swap_system(monkeypatch, kind, system, _ignoring(system))


def _ignoring(system):
    def ignore(state, event, now_ms):
        if state.identity.instance_id == 'entry-2' and now_ms > 4000:
            return []
        return system(state, event, now_ms)

    return ignore


def probe_without_budget(monkeypatch):
    """Probe every target at every tick."""

    def on_tick(state, event, now_ms):
        return [
            actions.Probe(target.target_id, target.address, 100)
            for target in state.catalogue.in_force.target_by_id.values()
        ]

    swap_system(monkeypatch, events.Tick, None, on_tick)


# Scenarios


def crash_during_orders(scene):
    """Crash a target while it runs orders."""
    for number in range(6):
        scene.send_order(
            'entry-1', '' if number % 2 else scene.new_key('entry-1')
        )
    scene.fleet.after(5, lambda: scene.fleet.crash('burza-1'))
    scene.fleet.run_for(4000)


def serve_calls(scene):
    """Serve calls without any fault."""
    scene.start_background(1000)
    scene.fleet.run_for(4000)


def drain_under_load(scene):
    """Drain a target under load."""
    scene.target.leaving = True
    scene.start_background(6000)
    scene.fleet.run_for(8000)


def stop_with_calls(scene):
    """Stop an instance that has long calls in flight."""
    for _ in range(3):
        scene.send_lookup('entry-1', '/slow')
    scene.fleet.step('entry-1', events.StopRequested())
    scene.fleet.run_for(9000)


def publish_and_wait(scene):
    """Publish a note and wait longer than its adoption may take."""
    scene.fleet.publish({})
    scene.fleet.run_for(23000)


CASES: list[tuple[violations.Rule, Patch, Scenario]] = [
    (violations.Rule.NOT_RUN_IS_TRUE, refuse_blindly, crash_during_orders),
    (violations.Rule.AT_MOST_ONCE, retry_anything, crash_during_orders),
    (violations.Rule.ONE_OWN_ANSWER, relay_twice, serve_calls),
    (violations.Rule.ONE_OWN_ANSWER, relay_nothing, serve_calls),
    (violations.Rule.LEAVING_STOPS_WORK, ignore_leaving, drain_under_load),
    (violations.Rule.STOP_CUTS_NOTHING, exit_at_once, stop_with_calls),
    (violations.Rule.NOTES_ADVANCE, forget_note, publish_and_wait),
    (violations.Rule.NOTES_ADVANCE, ignore_notes, publish_and_wait),
    (violations.Rule.PROBES_IN_BUDGET, probe_without_budget, serve_calls),
]


@pytest.mark.parametrize(
    ('rule', 'break_rule', 'run_scenario'),
    CASES,
    ids=[break_rule.__name__ for _, break_rule, _ in CASES],
)
def test_broken_rule_is_detected(monkeypatch, rule, break_rule, run_scenario):
    intact = scenes.create()
    run_scenario(intact)
    assert not outcome_checks.CHECK_BY_RULE[rule](intact.history)
    break_rule(monkeypatch)
    broken = scenes.create()
    run_scenario(broken)
    violations_found = outcome_checks.CHECK_BY_RULE[rule](broken.history)
    assert violations_found, f'{break_rule.__name__} was not detected'
    assert violations_found[0].rule is rule


def test_every_rule_has_a_case():
    assert {rule for rule, _, _ in CASES} == set(violations.Rule)
