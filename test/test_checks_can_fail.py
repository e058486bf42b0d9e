"""Each stated outcome is seen to break when one rule is broken on purpose."""

import typing

import pytest

from oleanderstair.domain import actions, balancer, events, outcomes
from oleanderstair.domain.calls import answering, retries
from oleanderstair.domain.fleet import stopping
from oleanderstair.domain.proof import outcome_checks, violations
from oleanderstair.domain.targets import leaving
from oleanderstair.domain.tables import catalogue
from test import scene as scenes

Break = typing.Callable[[pytest.MonkeyPatch], None]
Play = typing.Callable[[scenes.Scene], None]


def swap_system(patch, kind, old, new):
    """Run ``new`` in place of the system ``old``, or as one more."""
    systems = balancer.SYSTEMS_BY_EVENT[kind]
    kept = tuple(system for system in systems if system is not old)
    patch.setitem(balancer.SYSTEMS_BY_EVENT, kind, (*kept, new))


# Broken rules


def refuse_blindly(patch):
    """Say not-run of every call that ends without an answer."""

    def refuse(state, call, reason, *details):
        state.calls.call_by_id.pop(call.call_id, None)
        not_run = outcomes.Outcome.NOT_RUN
        return [actions.Refuse(call.call_id, not_run, reason)]

    patch.setattr(answering, 'refuse', refuse)


def retry_anything(patch):
    """Retry calls that may have run."""
    patch.setattr(retries, 'may_retry', lambda *details: True)


def relay_twice(patch):
    """Give the caller its answer twice."""
    once = answering.relay

    def relay(state, call, attempt_id, *details):
        done = once(state, call, attempt_id, *details)
        return [*done, done[0]]

    patch.setattr(answering, 'relay', relay)


def relay_nothing(patch):
    """Forget the caller once a target has answered."""

    def relay(state, call, attempt_id, *details):
        state.calls.call_by_id.pop(call.call_id, None)
        return []

    patch.setattr(answering, 'relay', relay)


def ignore_leaving(patch):
    """Take nobody's word that a target is leaving."""
    patch.setattr(leaving, 'mark', lambda *details: [])


def exit_at_once(patch):
    """End the process whatever is in flight."""

    def on_tick(state, event, now_ms):
        if state.instances.stopping_since_ms > 0:
            return [actions.Exit()]
        return []

    swap_system(patch, events.Tick, stopping.on_tick, on_tick)


def forget_note(patch):
    """Go back to the empty catalogue after some seconds."""

    def on_tick(state, event, now_ms):
        if now_ms > 5000:
            state.catalogue.in_force = catalogue.empty()
        return []

    swap_system(patch, events.Tick, None, on_tick)


def hear_no_note(patch):
    """Let one instance ignore the platform and its peers."""
    for kind in (events.ValueRead, events.PeerHeard):
        for system in balancer.SYSTEMS_BY_EVENT[kind]:
            swap_system(patch, kind, system, _deaf(system))


def _deaf(system):
    def hear(state, event, now_ms):
        if state.identity.instance_id == 'entry-2' and now_ms > 4000:
            return []
        return system(state, event, now_ms)

    return hear


def probe_without_budget(patch):
    """Probe every target at every tick."""

    def on_tick(state, event, now_ms):
        return [
            actions.Probe(target.target_id, target.address, 100)
            for target in state.catalogue.in_force.target_by_id.values()
        ]

    swap_system(patch, events.Tick, None, on_tick)


# Scenarios


def crash_during_orders(scene):
    """Let targets die while they run orders."""
    for number in range(6):
        scene.order('entry-1', '' if number % 2 else scene.new_key('entry-1'))
    scene.made.after(5, lambda: scene.made.crash('burza-1'))
    scene.made.run_for(4000)


def serve_calls(scene):
    """Serve calls without any fault."""
    scene.start_background(1000)
    scene.made.run_for(4000)


def drain_under_load(scene):
    """Let a target say that it is leaving and keep on calling."""
    scene.target.leaving = True
    scene.start_background(6000)
    scene.made.run_for(8000)


def stop_with_calls(scene):
    """Stop an instance that has long calls in flight."""
    for _ in range(3):
        scene.lookup('entry-1', '/slow')
    scene.made.step('entry-1', events.StopRequested())
    scene.made.run_for(9000)


def publish_and_wait(scene):
    """Publish a note and wait for longer than it may take."""
    scene.made.publish({})
    scene.made.run_for(23000)


CASES: list[tuple[violations.Rule, Break, Play]] = [
    (violations.Rule.NOT_RUN_IS_TRUE, refuse_blindly, crash_during_orders),
    (violations.Rule.AT_MOST_ONCE, retry_anything, crash_during_orders),
    (violations.Rule.ONE_OWN_ANSWER, relay_twice, serve_calls),
    (violations.Rule.ONE_OWN_ANSWER, relay_nothing, serve_calls),
    (violations.Rule.LEAVING_STOPS_WORK, ignore_leaving, drain_under_load),
    (violations.Rule.STOP_CUTS_NOTHING, exit_at_once, stop_with_calls),
    (violations.Rule.NOTES_ADVANCE, forget_note, publish_and_wait),
    (violations.Rule.NOTES_ADVANCE, hear_no_note, publish_and_wait),
    (violations.Rule.PROBES_IN_BUDGET, probe_without_budget, serve_calls),
]


@pytest.mark.parametrize(
    ('rule', 'spoil', 'play'),
    CASES,
    ids=[spoil.__name__ for _, spoil, _ in CASES],
)
def test_broken_rule_is_caught(monkeypatch, rule, spoil, play):
    whole = scenes.create()
    play(whole)
    assert not outcome_checks.CHECK_BY_RULE[rule](whole.seen)
    spoil(monkeypatch)
    broken = scenes.create()
    play(broken)
    found = outcome_checks.CHECK_BY_RULE[rule](broken.seen)
    assert found, f'{spoil.__name__} was not caught'
    assert found[0].rule is rule


def test_every_rule_has_a_case():
    assert {rule for rule, _, _ in CASES} == set(violations.Rule)
