"""A planned stop accepts calls that can end, and exits before the kill."""

import random

import pytest

from oleanderstair.domain import (
    actions,
    events,
    gateway,
    outcomes,
    policy,
    world,
)
from oleanderstair.domain.tables import identity, instances, routes

GRACE_MS = 6000
OWN = identity.Identity('entry-1', 'entry-1~1', 'west', 'nitra', 'a:1', 'a:2')
ROUTE = routes.Route(
    'look', 'h', '/a/', (routes.SplitPart('burza', 1),), True, 4000, 250, 0, 2
)


@pytest.fixture
def stopping():
    limits = policy.Policy(stop_grace_s=6)
    state = world.create(OWN, limits, random.Random(1))
    state.routes.in_force = routes.Routing(
        1, {'h': (ROUTE,)}, {}, routes.CallerLimits()
    )
    state.registry.revision = 1
    state.instances.phase = instances.Phase.SERVING
    gateway.step(state, events.StopRequested(), 0)
    return state


def test_state_of_the_store_makes_no_stopping_instance_ready(stopping):
    # Peers would give its address to callers, though it accepts no connection.
    stopping.instances.phase = instances.Phase.UNCONFIRMED
    gateway.step(stopping, events.Tick(), 100)
    gateway.step(stopping, events.Tick(), 1000)
    assert stopping.instances.phase is instances.Phase.UNCONFIRMED


def refusal_reasons(state, call_id, budget_ms, now_ms):
    received = events.CallReceived(
        call_id,
        '',
        'GET',
        '/a/b',
        now_ms + budget_ms,
        host='h',
    )
    done = gateway.step(state, received, now_ms)
    return {
        action.reason for action in done if isinstance(action, actions.Refuse)
    }


def is_exiting(state, now_ms):
    done = gateway.step(state, events.Tick(), now_ms)
    return any(isinstance(action, actions.Exit) for action in done)


def test_call_beyond_the_grace_period_is_refused_in_its_second_half(stopping):
    refused = {outcomes.Reason.STOPPING}
    assert refusal_reasons(stopping, 1, 4000, 2900) != refused
    assert refusal_reasons(stopping, 2, 4000, 3100) == refused
    assert refusal_reasons(stopping, 3, 1000, 3100) != refused


# Guards against calls that are accepted late in a long grace period, and cut
# off at its end.
def test_late_call_beyond_a_long_grace_period_is_refused(stopping):
    stopping.policy = stopping.policy._replace(stop_grace_s=12)
    stopping.routes.in_force = stopping.routes.in_force._replace(
        routes_by_host={'h': (ROUTE._replace(timeout_ms=20_000),)}
    )
    refused = {outcomes.Reason.STOPPING}
    assert refusal_reasons(stopping, 1, 15_000, 2900) != refused
    assert refusal_reasons(stopping, 2, 15_000, 3100) == refused


def test_process_with_a_call_in_flight_exits_shortly_before_the_kill(
    stopping,
):
    stopping.routed.call_by_id[1] = object()
    assert not is_exiting(stopping, GRACE_MS - 450)
    assert is_exiting(stopping, GRACE_MS - 300)


def test_idle_process_waits_for_callers_that_hold_its_address(stopping):
    assert not is_exiting(stopping, 3000)
    assert is_exiting(stopping, GRACE_MS - 450)


def test_second_stop_request_changes_nothing(stopping):
    gateway.step(stopping, events.StopRequested(), 5000)
    assert is_exiting(stopping, GRACE_MS - 300)


def test_a_signal_that_came_during_a_pause_does_not_outlast_the_kill():
    # The supervisor counts the grace period from the signal, which a paused
    # process handles only when it runs again.
    state = world.create(OWN, policy.Policy(stop_grace_s=6), random.Random(1))
    state.instances.phase = instances.Phase.SERVING
    gateway.step(state, events.Tick(), 0)
    gateway.step(state, events.StopRequested(), 3000)
    assert is_exiting(state, GRACE_MS - 200)


# Guards against calls that are accepted after a pause and cut by the kill.
@pytest.mark.parametrize('ticks_first', [True, False])
def test_late_call_is_refused_after_a_signal_during_a_pause(
    stopping, ticks_first
):
    state = world.create(OWN, stopping.policy, random.Random(1))
    state.routes.in_force = stopping.routes.in_force
    state.registry.revision = 1
    state.instances.phase = instances.Phase.SERVING
    gateway.step(state, events.Tick(), 0)
    if ticks_first:
        gateway.step(state, events.Tick(), 3000)
    gateway.step(state, events.StopRequested(), 3010)
    refused = {outcomes.Reason.STOPPING}
    assert refusal_reasons(state, 1, 4000, 3100) == refused
    assert refusal_reasons(state, 2, 1000, 3100) != refused
    # The signal may have come at the end of the pause.
    state.routed.call_by_id[2] = object()
    assert not is_exiting(state, GRACE_MS - 200)
    assert is_exiting(state, 3010 + GRACE_MS - 300)


def test_idle_process_exits_before_the_earliest_kill(stopping):
    state = world.create(OWN, stopping.policy, random.Random(1))
    state.instances.phase = instances.Phase.SERVING
    gateway.step(state, events.Tick(), 0)
    gateway.step(state, events.Tick(), 3000)
    gateway.step(state, events.StopRequested(), 3010)
    assert not is_exiting(state, GRACE_MS - 700)
    assert is_exiting(state, GRACE_MS - 450)
