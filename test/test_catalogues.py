"""Whole catalogues: they equal their applied notes, and split into parts."""

import hypothesis
from hypothesis import strategies

from oleanderstair.domain import actions, events, messages
from oleanderstair.domain.configuration import catalogues, notes
from oleanderstair.domain.tables import catalogue
from oleanderstair.emulator import harness
from test import helper, note_harness

BOUNDED = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=12,
    suppress_health_check=list(hypothesis.HealthCheck),
)


@BOUNDED
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['added', 'changed', 'withdrawn']),
            strategies.integers(0, 6),
            strategies.integers(0, 2),
        ),
        max_size=30,
    ),
)
def test_applying_small_notes_equals_building_the_catalogue(steps):
    current = catalogue.empty_catalogue()
    for kind, target, service in steps:
        name = f'service-{service}'
        target_id = f'target-{target}'
        change = {'services': [name], 'targets': [target_id]}
        if kind != 'withdrawn':
            entry = harness.target_entry(harness.Target(target_id), name)
            change = {'targets': [entry]}
            if name not in current.service_by_name:
                change['services'] = [{'name': name, 'region': 'west'}]
        body = helper.encode_json(
            {
                'number': current.number + 1,
                'parent': current.digest,
                kind: change,
            },
        )
        applied = notes.apply_note(current, notes.parse_note(body).ok_value)
        current = applied.unwrap_or(current)
    whole = catalogues.parse_catalogue(catalogues.encode_catalogue(current))
    if current.number:
        assert whole.ok_value == current


def test_catalogue_is_split_by_service_below_a_megabyte():
    targets = {
        f'service-{number}': [
            harness.Target(f'target-{number}-{member}') for member in range(120)
        ]
        for number in range(110)
    }
    note = {'number': 1, 'parent': '', **harness.first_note(targets)}
    parsed = notes.parse_note(helper.encode_json(note)).ok_value
    whole = notes.apply_note(catalogue.empty_catalogue(), parsed).ok_value
    values = catalogues.split_catalogue(whole).ok_value
    assert len(values) > 2
    assert max(len(found.body) for found in values) < 1_000_000
    body_by_name = dict(values)
    index = catalogues.parse_index(
        body_by_name.pop(catalogues.INDEX_NAME),
    ).ok_value
    assert catalogues.join_parts(index, body_by_name).ok_value == whole


def test_peer_of_another_chain_gets_the_whole_catalogue():
    sim = note_harness.create(3, 1)
    sim.run_for(8000)
    note_harness.publish_compacted(sim)
    state = sim.instance_by_id['entry-0'].state
    request = messages.NoteRequest(1, 'of another chain')
    heard = events.PeerHeard(incarnation_of(sim, 'entry-1'), request)
    sim.step('entry-0', heard)
    sent = helper.actions_of(sim, 'entry-0', actions.SendPeer)[-1]
    assert sent.message.whole_catalogue
    assert catalogues.parse_catalogue(sent.message.body).ok_value == (
        state.catalogue.in_force
    )


def incarnation_of(sim, instance_id):
    return sim.instance_by_id[instance_id].state.identity.incarnation
