"""Many targets in a data centre: each instance goes to a few of its own."""

import collections
import itertools

from oleanderstair.domain.targets import preferring, reading_parts
from test import targets_scene

COUNT = 40
INSTANCES = 30


def large_scene(instances=INSTANCES):
    scene = targets_scene.create(
        targets_scene.many(COUNT),
        instances=instances,
        probes_per_s=600,
    )
    for rank, state in enumerate(scene.state_by_id.values()):
        table = state.instances
        table.near_rank = rank
        table.rank = rank
        table.largest_near_count = instances
        table.largest_count = instances
        table.grown_at_ms = 0
        table.counted_data_centres = frozenset((targets_scene.OWN,))
    return scene


def preferred(scene):
    return {
        instance_id: preferring.preferred_ids(
            state,
            targets_scene.SERVICE,
            scene.now_ms,
        )
        for instance_id, state in scene.state_by_id.items()
    }


def test_an_instance_uses_few_targets_and_the_fleet_all():
    scene = large_scene()
    targets_scene.steady(scene, per_s=150, for_ms=6000)
    used = collections.defaultdict(set)
    for sent in scene.sent:
        used[sent.instance_id].add(sent.target_id)
    few = [
        found for found in used.values() if len(found) <= preferring.PREFERRED
    ]
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
        assert len(set(kept) - set(after[instance_id])) <= 2
    assert any('burza-99' in found for found in after.values())


def test_each_target_is_preferred_by_as_many_as_any_other():
    found = preferred(large_scene()).values()
    counted = collections.Counter(itertools.chain.from_iterable(found))
    assert len(counted) == COUNT
    assert max(counted.values()) - min(counted.values()) <= 1
    state = next(iter(large_scene().state_by_id.values()))
    most = preferring.holders(state, targets_scene.SERVICE)
    assert max(counted.values()) <= most


def test_reads_go_to_who_prefers_a_target_and_add_up_to_its_budget():
    scene = large_scene()
    entries = scene.state_by_id['entry-1'].registry.entry_by_id
    found = preferred(scene)
    for target_id, entry in entries.items():
        parts = {
            instance_id: reading_parts.own_part(state, entry, scene.now_ms)
            for instance_id, state in scene.state_by_id.items()
        }
        assert sum(parts.values()) <= 600
        for instance_id, ids in found.items():
            assert target_id not in ids or parts[instance_id] >= 40


def test_all_are_preferred_while_the_count_may_grow():
    scene = large_scene()
    state = scene.state_by_id['entry-1']
    state.instances.grown_at_ms = scene.now_ms
    assert len(preferred(scene)['entry-1']) == COUNT


def test_few_targets_are_all_preferred():
    scene = targets_scene.create(
        targets_scene.many(preferring.PREFERRED_FROM - 1)
    )
    found = preferred(scene)['entry-1']
    assert len(found) == preferring.PREFERRED_FROM - 1


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
