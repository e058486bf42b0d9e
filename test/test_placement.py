"""Where a request would go is explained without a change of any state."""

import msgspec
import pytest

from oleanderstair.domain import events
from oleanderstair.domain.tables import instances, load_reports
from oleanderstair.emulator import gateway_fleet, plans
from oleanderstair.explaining import placement

LOOKUP = plans.Kind('lookup', 'burza', 0, plans.Work(40), rank=2)


@pytest.fixture
def fleet():
    made = gateway_fleet.create(seed=1)
    for number in range(3):
        made.add_target(f'burza-{number}', 'burza', slots=4)
    made.publish(LOOKUP)
    made.add_instance('entry-1', evacuation_bound_ms=5000)
    made.run_for(1000)
    for _ in range(6):
        made.call('entry-1', 'lookup')
        made.run_for(100)
    return made


def explain(fleet, path='/lookup/x'):
    state = fleet.member_by_id['entry-1'].state
    return placement.explain(state, plans.HOST, path, fleet.times.now_ms())


def exclusions(fleet):
    targets = explain(fleet)['services'][0]['targets']
    return {view['target']: view['excluded_by'] for view in targets}


def test_the_route_and_its_targets_are_named(fleet):
    explained = explain(fleet)
    assert explained['refused_by'] == ''
    assert (explained['route'], explained['rank']) == ('lookup', 2)
    assert exclusions(fleet) == dict.fromkeys(
        ('burza-0', 'burza-1', 'burza-2'), ''
    )


def test_a_request_without_a_route_is_refused(fleet):
    assert explain(fleet, '/other/')['refused_by'] == 'no-route'


def test_an_instance_that_stops_refuses(fleet):
    fleet.step('entry-1', events.StopRequested())
    state = fleet.member_by_id['entry-1'].state
    assert state.instances.phase is instances.Phase.STOPPING
    assert explain(fleet)['refused_by'] == 'stopping'


def test_a_barred_target_comes_with_its_reason(fleet):
    state = fleet.member_by_id['entry-1'].state
    now_ms = fleet.times.now_ms()
    for number, fields in enumerate(
        [{'backoff_until_ms': now_ms + 9}, {'ejected_until_ms': now_ms + 9}]
    ):
        load = load_reports.load_of(state.loads, f'burza-{number}')
        load_reports.put_load(state.loads, load._replace(**fields))
    assert exclusions(fleet) == {
        'burza-0': 'back-off',
        'burza-1': 'ejected',
        'burza-2': '',
    }


def test_an_evacuated_service_has_no_target(fleet):
    state = fleet.member_by_id['entry-1'].state
    entry = state.registry.entry_by_id['burza-0']
    fleet.store.evacuate(entry.data_centre)
    fleet.run_for(1500)
    assert set(exclusions(fleet).values()) == {'evacuated'}
    assert explain(fleet)['refused_by'] == 'no-target'


def test_an_explanation_changes_no_state(fleet):
    # It would change where the next calls go.
    state = fleet.member_by_id['entry-1'].state
    kept = ('rng', 'address_rng', 'policy')

    def snapshot():
        return {
            name: repr(getattr(state, name))
            for name in state.__struct_fields__
            if name not in kept
        }

    explain(fleet)
    before = snapshot(), state.rng.getstate(), state.address_rng.getstate()
    explain(fleet)
    assert before == (
        snapshot(),
        state.rng.getstate(),
        state.address_rng.getstate(),
    )
    assert msgspec.json.encode(explain(fleet))
