"""Many targets in a data centre: each instance goes to a few of its own."""

import collections

from oleanderstair.domain.targets import places
from test import targets_scene

COUNT = 40
INSTANCES = 30


def large_scene(instances=INSTANCES):
    return targets_scene.create(
        targets_scene.many(COUNT),
        instances=instances,
        probes_per_s=600,
    )


def preferred(scene):
    return {
        instance_id: places.preferred_ids(state, targets_scene.SERVICE)
        for instance_id, state in scene.state_by_id.items()
    }


def test_an_instance_uses_few_targets_and_the_fleet_all():
    scene = large_scene()
    targets_scene.steady(scene, per_s=150, for_ms=6000)
    used = collections.defaultdict(set)
    for sent in scene.sent:
        used[sent.instance_id].add(sent.target_id)
    few = [found for found in used.values() if len(found) <= places.PREFERRED]
    assert len(few) > 0.8 * INSTANCES
    assert len(set().union(*used.values())) == COUNT


def test_what_is_preferred_changes_little_when_a_target_joins():
    scene = large_scene()
    before = preferred(scene)
    more = targets_scene.Target('burza-99')
    scene.target_by_id['burza-99'] = more
    scene.register(targets_scene.entry_of(more, revision=2))
    after = preferred(scene)
    for instance_id, kept in before.items():
        assert len(set(kept) - set(after[instance_id])) <= 1
    assert any('burza-99' in found for found in after.values())


def test_few_targets_are_all_preferred():
    scene = targets_scene.create(targets_scene.many(places.PREFERRED_FROM - 1))
    found = preferred(scene)['entry-1']
    assert len(found) == places.PREFERRED_FROM - 1


def test_an_instance_goes_on_where_what_it_prefers_leaves():
    scene = large_scene(instances=1)
    state = scene.state_by_id['entry-1']
    for target_id in preferred(scene)['entry-1'][:-1]:
        entry = state.registry.entry_by_id[target_id]
        gone = entry._replace(leaving=True, revision=2)
        scene.register(gone)
    made = targets_scene.steady(scene, per_s=20, for_ms=2000)
    assert all(scene.answered(*call) for call in made)
    assert len({sent.target_id for sent in scene.sent}) > 8
