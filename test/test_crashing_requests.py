"""Requests that crash the targets that run them."""

from oleanderstair.domain import events, outcomes
from oleanderstair.domain.calls import crashing_requests
from oleanderstair.domain.tables import calls, routed
from oleanderstair.emulator import gateway_fleet, plans

CRASHING_PATH = '/lookup/poison'
LOOKUP = plans.Kind('lookup', 'burza', 0, plans.Work(40))
INSTANCES = ('entry-0', 'entry-1', 'entry-2')


def make_fleet() -> gateway_fleet.GatewayFleet:
    """Return a fleet of three instances and eight targets."""
    fleet = gateway_fleet.create(1)
    for number in range(8):
        target = fleet.add_target(f'burza-{number}', 'burza')
        target.crashing_paths.add(CRASHING_PATH)
    fleet.publish(LOOKUP)
    for instance_id in INSTANCES:
        fleet.add_instance(instance_id, seeds=('entry-0',))
    fleet.run_for(6000)
    return fleet


def call_path(
    fleet: gateway_fleet.GatewayFleet,
    instance_id: str,
    path: str,
) -> gateway_fleet.Told:
    """Send a call to a path and return its answer."""
    call_id = fleet.call(instance_id, 'lookup', path=path, fingerprint=path)
    fleet.run_for(1200)
    return fleet.told_by_call[call_id]


def test_a_request_is_refused_everywhere_after_its_third_crash() -> None:
    fleet = make_fleet()
    for turn in range(9):
        call_path(fleet, INSTANCES[turn % 3], CRASHING_PATH)
    answer = call_path(fleet, 'entry-2', CRASHING_PATH)
    assert answer.reason is outcomes.Reason.SUSPECTED
    assert answer.outcome is outcomes.Outcome.NOT_RUN
    crashing_runs = [run for run in fleet.runs if run.path == CRASHING_PATH]
    assert len(crashing_runs) <= crashing_requests.MIN_CRASHES_TO_REFUSE


def test_a_request_that_was_answered_before_is_not_refused() -> None:
    fleet = make_fleet()
    state = fleet.member_by_id['entry-1'].state
    call_path(fleet, 'entry-1', '/lookup/good')
    for number in range(5):
        report = gateway_fleet.events.PeerHeard(
            'entry-0~1',
            crashing_requests.messages.CallCrashed(
                '/lookup/good', f'burza-{number}'
            ),
        )
        fleet.step('entry-1', report)
    assert not crashing_requests.is_refused(
        state,
        '/lookup/good',
        fleet.times.now_ms(),
    )
    answer = call_path(fleet, 'entry-1', '/lookup/good')
    assert answer.outcome is outcomes.Outcome.RAN


def test_a_refusal_expires() -> None:
    fleet = make_fleet()
    for turn in range(4):
        call_path(fleet, INSTANCES[turn % 3], CRASHING_PATH)
    state = fleet.member_by_id['entry-1'].state
    later_ms = fleet.times.now_ms() + crashing_requests.REFUSAL_MS
    assert crashing_requests.is_refused(
        state, CRASHING_PATH, fleet.times.now_ms()
    )
    assert not crashing_requests.is_refused(state, CRASHING_PATH, later_ms)


CRASH = events.AttemptEnded(1, 1, events.Verdict.BROKEN, crashed=True)


def end_connections(fleet: gateway_fleet.GatewayFleet) -> bool:
    """End a request at each target; return whether it is refused then."""
    state = fleet.member_by_id['entry-1'].state
    now_ms = fleet.times.now_ms()
    received = events.CallReceived(
        1, '', 'GET', CRASHING_PATH, now_ms, fingerprint=CRASHING_PATH
    )
    call = routed.RoutedCall(
        received, plans.route_of(LOOKUP), 'burza', now_ms, now_ms
    )
    for target_id in fleet.target_by_id:
        attempt = calls.Attempt(1, target_id, now_ms)
        crashing_requests.record_attempt(state, call, attempt, CRASH, now_ms)
    return crashing_requests.is_refused(state, CRASHING_PATH, now_ms)


def test_connections_that_targets_end_are_crashes() -> None:
    assert end_connections(make_fleet())


# Guards against a request that is refused fleet-wide because its targets have
# exited, as in a release.
def test_connections_that_leaving_targets_end_are_no_crashes() -> None:
    fleet = make_fleet()
    for target_id in fleet.target_by_id:
        fleet.leave(target_id)
    fleet.run_for(3000)
    assert not end_connections(fleet)


def test_connections_that_removed_targets_end_are_no_crashes() -> None:
    fleet = make_fleet()
    state = fleet.member_by_id['entry-1'].state
    state.registry.entry_by_id.clear()
    assert not end_connections(fleet)
