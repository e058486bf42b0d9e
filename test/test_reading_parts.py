"""What all instances together may measure a target, in any second."""

import collections

import pytest

from oleanderstair.domain import events
from oleanderstair.domain.fleet import counting
from oleanderstair.domain.tables import members
from oleanderstair.domain.targets import counts, reading_parts
from test import targets_scene

BUDGET = 60
NEAR = targets_scene.OWN
FAR = 'nitra'


def _scene(
    count: int,
    near: int,
    assumed: int = 1,
) -> targets_scene.Scene:
    """Return instances of two data centres that know one another."""
    targets = targets_scene.many(4)
    for target in targets:
        target.slowness = 5
    other = targets_scene.Target('far-1', FAR, slowness=5)
    scene = targets_scene.create(
        [*targets, other],
        instances=count,
        assumed_instances=assumed,
        probes_per_s=BUDGET,
    )
    rows = [
        members.Member(
            f'entry-{number}~1',
            NEAR if number <= near else FAR,
            f'entry-{number}:80',
            f'entry-{number}:90',
            started_ms=1,
            beat=1,
        )
        for number in range(1, count + 1)
    ]
    for row, state in zip(rows, scene.state_by_id.values(), strict=True):
        state.identity = state.identity._replace(data_centre=row.data_centre)
        for known in rows:
            state.members.by_incarnation[known.incarnation] = known
        state.loads.indexed = None
        counting.on_tick(state, events.Tick(), scene.now_ms)
    return scene


def _most_in_a_second(scene: targets_scene.Scene) -> int:
    """Return the most reads of one target in any second."""
    recent: dict[str, collections.deque[float]] = collections.defaultdict(
        collections.deque,
    )
    most = 0
    for at_ms, target_id in scene.reads:
        reads = recent[target_id]
        reads.append(at_ms)
        while reads[0] <= at_ms - 1000:
            reads.popleft()
        most = max(most, len(reads))
    return most


@pytest.mark.parametrize(('count', 'near'), [(20, 8), (20, 20), (100, 40)])
@pytest.mark.parametrize('for_ms', [1000, 4000])
def test_no_second_has_more_reads_of_a_target_than_the_budget(
    count: int,
    near: int,
    for_ms: int,
) -> None:
    scene = _scene(count, near)
    targets_scene.steady(scene, per_s=800, for_ms=for_ms)
    assert BUDGET // 2 < _most_in_a_second(scene) <= BUDGET


def test_reads_are_kept_within_the_budget_while_calls_wait() -> None:
    scene = _scene(20, 8)
    for target in scene.target_by_id.values():
        target.running = target.slots
    targets_scene.steady(scene, per_s=800, for_ms=2000)
    assert _most_in_a_second(scene) <= BUDGET


def _part(scene: targets_scene.Scene, target_id: str) -> int:
    state = scene.state_by_id['entry-1']
    entry = state.registry.entry_by_id[target_id]
    return reading_parts.own_part(state, entry, scene.now_ms)


def test_a_count_that_stands_is_believed() -> None:
    scene = _scene(6, 3, assumed=24)
    before = _part(scene, 'burza-1')
    scene.run_for(counts.STANDS_MS)
    assert _part(scene, 'burza-1') > 2 * before


def test_a_count_that_grows_is_not_believed_yet() -> None:
    scene = _scene(6, 3, assumed=24)
    before = _part(scene, 'burza-1')
    scene.run_for(counts.STANDS_MS - 1)
    state = scene.state_by_id['entry-1']
    added = members.Member('late~1', NEAR, 'late:80', 'late:90', 1, 1)
    state.members.by_incarnation[added.incarnation] = added
    counting.on_tick(state, events.Tick(), scene.now_ms)
    scene.run_for(counts.STANDS_MS - 1)
    assert _part(scene, 'burza-1') <= before


def test_a_data_centre_with_targets_alone_is_taken_for_cut_off() -> None:
    scene = _scene(6, 6, assumed=24)
    before = _part(scene, 'burza-1')
    scene.run_for(2 * counts.STANDS_MS)
    assert _part(scene, 'burza-1') == before
