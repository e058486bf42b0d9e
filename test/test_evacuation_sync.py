"""Evacuations reach all instances in time and survive a restored store."""

import math
import pathlib
import re

import pytest

from oleanderstair import jsonc, settings
from oleanderstair.domain import actions, events, messages
from oleanderstair.domain.configuration import evacuation_changes, operator_sync
from oleanderstair.domain.fleet import codec, member_list
from oleanderstair.domain.tables import instances, operator_state, revisions
from oleanderstair.domain.targets import evacuations
from test import fleets

BOUND_MS = 5000
"""EvacuateS."""


def make_fleet(count=4, **options):
    """Return a fleet of three data centres that know each other."""
    fleet = fleets.make_three_data_centres(
        count, evacuation_bound_ms=BOUND_MS, **options
    )
    fleet.run(1000)
    fleet.introduce()
    fleet.run(5000)
    return fleet


def closed_counts(fleet, data_centre):
    """Return how many instances evacuate a data centre, and how many don't."""
    closed = [
        evacuations.is_evacuated(instance.state, data_centre)
        for instance in fleet.living
    ]
    return sum(closed), len(closed) - sum(closed)


def evacuated_by_all(fleet, data_centre):
    return not closed_counts(fleet, data_centre)[1]


def evacuated_by_none(fleet, data_centre):
    return not closed_counts(fleet, data_centre)[0]


def downgrade(instance):
    """Let an instance behave like the previous build, without evacuations."""
    limits = instance.state.policy
    instance.state.policy = limits._replace(evacuation_bound_ms=0)
    instance.state.operator_state = operator_state.create()


def evacuate(fleet, data_centre, within_ms=1000):
    fleet.store.evacuate(data_centre)
    return fleet.run_until(
        lambda: evacuated_by_all(fleet, data_centre), within_ms
    )


def lose_pushes(fleet):
    """Lose the operator's state that is sent after a change of the store."""
    handle = fleet.handle
    perform = fleet.perform
    events_of = []

    def handle_noted(instance, event):
        events_of.append(event)
        handle(instance, event)
        events_of.pop()

    def perform_some(instance, action):
        is_push = isinstance(events_of[-1], events.StoreChanged)
        message = getattr(action, 'message', None)
        if not (is_push and isinstance(message, messages.OperatorState)):
            perform(instance, action)

    fleet.handle = handle_noted
    fleet.perform = perform_some


def restore(fleet, copy):
    fleet.store.down = True
    fleet.run(500)
    fleet.store.down = False
    fleet.store.restore(copy)
    fleet.run(3000)


# Spreading


@pytest.mark.parametrize('count', [4, 60])
def test_a_request_and_its_revocation_are_in_force_everywhere(count):
    # Instances that miss an evacuation break the rule, however many there are.
    fleet = make_fleet(count)
    calls = fleet.store.calls
    assert evacuate(fleet, 'b') < 1000
    fleet.run(1000)
    fleet.store.end_evacuation('b')
    fleet.run_until(lambda: evacuated_by_none(fleet, 'b'), 1000)
    fleet.run(1000)
    assert fleet.store.calls - calls < 20


def test_a_lost_message_is_asked_for():
    # Without a question for what is missing, a lost push would leave an
    # instance without the evacuation until the next change.
    fleet = make_fleet()
    lose_pushes(fleet)
    calls = fleet.store.calls
    assert evacuate(fleet, 'b') < 1000
    assert fleet.store.calls - calls < 10


def test_state_is_asked_of_peers_before_the_store_is_read():
    # Every instance behind a relay of the previous build would read the store.
    fleet = make_fleet()
    for member in fleet.living:
        if member.state.identity.data_centre != 'a':
            downgrade(member)
    new = list(filter(is_upgraded, fleet.living))
    fleet.store.evacuate('b')
    fleet.run_until(lambda: all(map(evacuates_b, new)), BOUND_MS)


def is_upgraded(instance):
    return instance.state.policy.evacuation_bound_ms > 0


def evacuates_b(instance):
    return evacuations.is_evacuated(instance.state, 'b')


@pytest.mark.parametrize('count', [4, 60])
def test_a_single_upgraded_instance_reads_the_store_in_time(count):
    # All its peers are of the previous build, which drops the new messages.
    fleet = make_fleet(count)
    order = member_list.current_view(fleet.at('a1').state).reader_order
    last = fleet.at(order[-1].partition('~')[0])
    for instance in fleet.living:
        if instance is not last:
            downgrade(instance)
    fleet.store.evacuate('b')
    fleet.run_until(lambda: evacuates_b(last), BOUND_MS - 500)


def test_an_instance_that_cannot_read_the_store_learns_of_it():
    fleet = make_fleet()
    fleet.store.refused.update(('a1', 'c2'))
    evacuate(fleet, 'b')


def test_a_started_instance_has_the_evacuation_before_it_serves():
    # Its first calls would reach the evacuated data centre otherwise.
    fleet = make_fleet()
    evacuate(fleet, 'b')
    fleet.kill('b2')
    started = fleet.start('b2', 'b')
    fleet.run_until(
        lambda: started.state.instances.phase is instances.Phase.SERVING, 3000
    )
    assert evacuates_b(started)


def test_a_started_instance_serves_if_nobody_knows_of_evacuations():
    # The store is away and all peers are of the previous build.
    fleet = make_fleet()
    for instance in fleet.living:
        downgrade(instance)
    fleet.store.down = True
    fleet.kill('b2')
    started = fleet.start('b2', 'b')
    fleet.run(2000)
    assert started.state.instances.phase is instances.Phase.UNCONFIRMED
    fleet.run_until(
        lambda: started.state.instances.phase is instances.Phase.SERVING, 3000
    )


def test_a_paused_instance_learns_of_it_within_its_calm_time():
    # The bound holds again 3 s after a pause.
    fleet = make_fleet()
    fleet.at('c2').frozen = True
    fleet.store.evacuate('b')
    fleet.run(6000)
    fleet.at('c2').frozen = False
    fleet.run_until(lambda: evacuated_by_all(fleet, 'b'), 3000)


def test_an_older_state_changes_nothing():
    # A delayed message would revert an evacuation.
    fleet = make_fleet()
    old = fleet.at('a1').state.operator_state.revision
    evacuate(fleet, 'b')
    late = messages.OperatorState(old, 0, (), {})
    fleet.handle(fleet.at('a2'), events.PeerHeard('a1~0', late))
    assert evacuated_by_all(fleet, 'b')


@pytest.mark.parametrize('left_ms', [math.nan, math.inf, -1])
def test_a_message_with_an_invalid_time_is_dropped(left_ms):
    # An evacuation of a peer without an end would stay for ever.
    fleet = make_fleet()
    known = fleet.at('a2').state.operator_state.revision
    kept = operator_state.Evacuation('b', 1, left_ms)
    bad = messages.OperatorState(known + 1, 0, (kept,), {})
    fleet.handle(fleet.at('a2'), events.PeerHeard('a1~0', bad))
    assert evacuated_by_none(fleet, 'b')


def test_unchanged_limits_of_services_are_not_sent_again():
    # The limits of 110 services are 50 times as large as the rest.
    fleet = make_fleet()
    limit = operator_state.SlowStartLimit(3000, 7.2)
    fleet.store.limit_by_service = {
        f'service-{number}': limit for number in range(110)
    }
    fleet.store.publish(5)
    fleet.run(2000)
    tables = [instance.state.operator_state for instance in fleet.living]
    assert all(len(table.limit_by_service) == 110 for table in tables)
    for member in fleet.living:
        member.done.clear()
    evacuate(fleet, 'b')
    sizes = [
        len(codec.encode(action.message))
        for instance in fleet.living
        for action in instance.done
        if isinstance(action, actions.SendPeer)
        and isinstance(action.message, messages.OperatorState)
    ]
    assert sizes
    assert max(sizes) < 100


# Settings


def test_the_deployment_gives_the_bound_in_ms():
    # The wire shape of the deployment has plain units, in which the platform
    # writes Bounds.EvacuateS as ms, such as 5000; it may have a fraction.
    folder = pathlib.Path(__file__).parent.parent / 'deploy'
    deployed = folder.joinpath('settings.jsonc').read_text()
    found = re.search('"evacuation_bound_ms": ([^,]*),', deployed)
    assert found
    for given_ms in ('5000', '2500.5'):
        filled = f'{{"policy": {{"evacuation_bound_ms": {found[1]}}}}}'
        overlay = jsonc.loads(filled.replace('{{.}}', given_ms))
        place = {'id': 'a', 'region': 'r', 'data_centre': 'd'}
        overlay |= {'instance': place, 'peers': {'allow_plain': True}}
        built = settings.policy_of(settings.build(overlay))
        assert built.evacuation_bound_ms == float(given_ms)


def test_settings_that_call_for_evacuations_interrupt_no_service():
    # An instance that serves would refuse calls until it knows the state.
    fleet = fleets.make_three_data_centres(4)
    fleet.run(1000)
    fleet.introduce()
    fleet.run(5000)
    fleet.store.evacuate('b')
    fleet.run(1000)
    assert evacuated_by_none(fleet, 'b')
    for instance in fleet.living:
        limits = instance.state.policy._replace(evacuation_bound_ms=BOUND_MS)
        changed = events.LimitsChanged(limits, 'test', 'policy')
        fleet.handle(instance, changed)
    call = events.CallReceived(
        call_id=1,
        service='',
        method='GET',
        path='/a/',
        deadline_ms=fleet.now_ms + 500,
        host='h',
    )
    fleet.at('a1').done.clear()
    fleet.handle(fleet.at('a1'), call)
    done = fleet.at('a1').done
    assert not any(isinstance(action, actions.Refuse) for action in done)
    fleet.run_until(lambda: evacuated_by_all(fleet, 'b'), BOUND_MS)


# Restores


def test_an_evacuation_that_the_copy_lacks_stays_in_force():
    # Calls would reach the data centre until the operator writes it again.
    fleet = make_fleet()
    copy = fleet.store.copy()
    evacuate(fleet, 'b')
    fleet.run(2000)
    restore(fleet, copy)
    assert evacuated_by_all(fleet, 'b')
    fleet.store.evacuate('b')
    fleet.run(evacuation_changes.KEPT_AFTER_RESTORE_MS + 1000)
    assert evacuated_by_all(fleet, 'b')
    fleet.store.end_evacuation('b')
    fleet.run_until(lambda: evacuated_by_none(fleet, 'b'), 1000)


def test_an_evacuation_that_is_not_requested_again_ends():
    # It was revoked while the store was away, perhaps; nobody can tell.
    fleet = make_fleet()
    copy = fleet.store.copy()
    evacuate(fleet, 'b')
    fleet.run(2000)
    restore(fleet, copy)
    fleet.run(evacuation_changes.KEPT_AFTER_RESTORE_MS + 1000)
    assert evacuated_by_none(fleet, 'b')
    fleet.store.put(fleets.entry('3'))
    fleet.run(2000)
    assert evacuated_by_none(fleet, 'b')


def test_a_started_instance_learns_what_the_copy_lacks():
    # It would read the copy, and send calls to the data centre.
    fleet = make_fleet()
    copy = fleet.store.copy()
    evacuate(fleet, 'b')
    fleet.run(2000)
    restore(fleet, copy)
    fleet.kill('a2')
    started = fleet.start('a2', 'a')
    fleet.run_until(
        lambda: started.state.instances.phase is instances.Phase.SERVING, 3000
    )
    assert evacuates_b(started)
    fleet.run(evacuation_changes.KEPT_AFTER_RESTORE_MS + 1000)
    assert evacuated_by_none(fleet, 'b')


def test_an_instance_that_joins_late_learns_what_the_copy_lacks():
    # It has read the copy, so its state is not behind that of its peers.
    fleet = make_fleet()
    copy = fleet.store.copy()
    evacuate(fleet, 'b')
    fleet.run(2000)
    restore(fleet, copy)
    fleet.kill('a2')
    for other in fleet.living:
        fleet.cut('a2', other.state.identity.instance_id)
        fleet.cut(other.state.identity.instance_id, 'a2')
    started = fleet.start('a2', 'a')
    fleet.run(1500)
    assert started.state.operator_state.revision
    assert not evacuates_b(started)
    fleet.cut_pairs.clear()
    fleet.run_until(lambda: evacuates_b(started), 2000)


def test_a_kept_evacuation_that_has_ended_is_not_taken_from_a_peer():
    # Instances that learn of it at different times would prolong it.
    fleet = make_fleet()
    copy = fleet.store.copy()
    evacuate(fleet, 'b')
    kept = fleet.at('a1').state.operator_state.evacuation_by_data_centre['b']
    restore(fleet, copy)
    fleet.run(evacuation_changes.KEPT_AFTER_RESTORE_MS + 1000)
    table = fleet.at('a1').state.operator_state
    for revision in (table.revision, table.revision + 1):
        late = (kept._replace(left_ms=9000),)
        message = messages.OperatorState(revision, 0, late, {})
        heard = events.PeerHeard('a2~0', message)
        fleet.handle(fleet.at('a1'), heard)
        assert not evacuates_b(fleet.at('a1'))


def revoke_and_restore(fleet):
    """Revoke an evacuation, and restore the store from a copy that holds it."""
    evacuate(fleet, 'b')
    copy = fleet.store.copy()
    fleet.store.end_evacuation('b')
    fleet.run(2000)
    assert evacuated_by_none(fleet, 'b')
    restore(fleet, copy)


def test_a_revoked_evacuation_does_not_come_back_by_a_copy():
    # The capacity of the data centre would be lost for a while.
    fleet = make_fleet()
    revoke_and_restore(fleet)
    assert evacuated_by_none(fleet, 'b')
    fleet.store.put(fleets.entry('3'))
    fleet.run(300)
    assert evacuated_by_none(fleet, 'b')
    fleet.store.end_evacuation('b')
    fleet.run(evacuation_changes.WITHHELD_AFTER_RESTORE_MS + 2000)
    assert evacuated_by_none(fleet, 'b')


def test_a_revoked_evacuation_that_is_not_revoked_again_is_in_force():
    # It may have been requested anew; the store holds it.
    fleet = make_fleet()
    revoke_and_restore(fleet)
    fleet.run(evacuation_changes.WITHHELD_AFTER_RESTORE_MS + 1000)
    assert evacuated_by_all(fleet, 'b')
    fleet.store.put(fleets.entry('3'))
    fleet.run(2000)
    assert evacuated_by_all(fleet, 'b')


def test_a_new_request_after_a_restore_is_in_force_at_once():
    # The copy is from before the evacuation that was revoked, so that the new
    # request gets the same revision in another era.
    fleet = make_fleet()
    copy = fleet.store.copy()
    first = fleet.store.evacuate('b')
    fleet.run(1000)
    fleet.store.end_evacuation('b')
    fleet.run(2000)
    restore(fleet, copy)
    again = fleet.store.revision + 1
    assert revisions.within_era(again) == revisions.within_era(first)
    evacuate(fleet, 'b')


def test_a_second_restore_extends_nothing():
    # Kept evacuations have an end, however often the store is restored.
    fleet = make_fleet()
    copy = fleet.store.copy()
    evacuate(fleet, 'b')
    fleet.run(1000)
    for _ in range(3):
        restore(fleet, copy)
    fleet.run(evacuation_changes.KEPT_AFTER_RESTORE_MS - 7000)
    assert evacuated_by_none(fleet, 'b')


# Memory


def test_ended_evacuations_take_bounded_memory():
    # Each evacuation may be of another name.
    fleet = fleets.Fleet({'a': 1}, evacuation_bound_ms=BOUND_MS)
    state = fleet.at('a1').state
    for number in range(1, 600):
        evacuation = operator_state.Evacuation(f'zone-{number}', number)
        message = messages.OperatorState(number, 0, (evacuation,), {})
        evacuation_changes.replace_evacuations(state, message, 'test', number)
    kept = evacuation_changes.MAX_REMEMBERED_DATA_CENTRES
    assert len(state.operator_state.ended_at_ms_by_data_centre) == kept
    assert len(state.operator_state.revoked_revision_by_data_centre) == kept


def test_delays_of_an_instance_without_peers_are_within_the_bound():
    # The request, a slow answer and a second request must fit.
    delays_ms = (
        operator_sync.READ_DELAY_MS + operator_sync.MAX_STEP_DELAY_MS + 2 * 1000
    )
    assert delays_ms < BOUND_MS
