"""All instances together keep the read budget of a target in any second."""

import collections

import pytest

from oleanderstair.domain import events
from oleanderstair.domain.fleet import instance_count
from oleanderstair.domain.tables import members
from oleanderstair.domain.targets import instance_counts, read_budgets
from test import targets_scene

BUDGET = 60
LOCAL = targets_scene.OWN_DATA_CENTRE
REMOTE = 'nitra'


def _scene(
    count: int,
    local_count: int,
    assumed: int = 1,
) -> targets_scene.Scene:
    """Return instances of two data centres that have discovered each other."""
    targets = targets_scene.make_targets(4)
    for target in targets:
        target.slowness = 5
    remote_target = targets_scene.Target('far-1', REMOTE, slowness=5)
    scene = targets_scene.create(
        [*targets, remote_target],
        instances=count,
        assumed_instances=assumed,
        probes_per_s=BUDGET,
    )
    rows = [
        members.Member(
            f'entry-{number}~1',
            LOCAL if number <= local_count else REMOTE,
            f'entry-{number}:80',
            f'entry-{number}:90',
            started_ms=1,
            beat=1,
        )
        for number in range(1, count + 1)
    ]
    for row, state in zip(rows, scene.state_by_id.values(), strict=True):
        state.identity = state.identity._replace(data_centre=row.data_centre)
        for other_row in rows:
            state.members.member_by_incarnation[other_row.incarnation] = (
                other_row
            )
        state.loads.indexed_ids_by_service = None
        instance_count.on_tick(state, events.Tick(), scene.now_ms)
    return scene


def _max_reads_in_a_second(scene: targets_scene.Scene) -> int:
    """Return the maximum number of reads of one target in any second."""
    recent: dict[str, collections.deque[float]] = collections.defaultdict(
        collections.deque,
    )
    max_reads = 0
    for at_ms, target_id in scene.reads:
        reads = recent[target_id]
        reads.append(at_ms)
        while reads[0] <= at_ms - 1000:
            reads.popleft()
        max_reads = max(max_reads, len(reads))
    return max_reads


@pytest.mark.parametrize(
    ('count', 'local_count'), [(20, 8), (20, 20), (100, 40)]
)
@pytest.mark.parametrize('for_ms', [1000, 4000])
def test_no_second_has_more_reads_of_a_target_than_the_budget(
    count: int,
    local_count: int,
    for_ms: int,
) -> None:
    scene = _scene(count, local_count)
    targets_scene.send_steadily(scene, per_s=800, for_ms=for_ms)
    assert BUDGET // 2 < _max_reads_in_a_second(scene) <= BUDGET


def test_reads_are_kept_within_the_budget_while_calls_wait() -> None:
    scene = _scene(20, 8)
    for target in scene.target_by_id.values():
        target.running = target.slots
    targets_scene.send_steadily(scene, per_s=800, for_ms=2000)
    assert _max_reads_in_a_second(scene) <= BUDGET


def _own_reads(scene: targets_scene.Scene, target_id: str) -> int:
    state = scene.state_by_id['entry-1']
    entry = state.registry.entry_by_id[target_id]
    return read_budgets.own_reads_per_s(state, entry, scene.now_ms)


def test_a_stable_count_is_taken_as_complete() -> None:
    scene = _scene(6, 3, assumed=24)
    before = _own_reads(scene, 'burza-1')
    scene.run_for(instance_counts.STABLE_COUNT_MS)
    assert _own_reads(scene, 'burza-1') > 2 * before


def test_a_growing_count_is_not_taken_as_complete() -> None:
    scene = _scene(6, 3, assumed=24)
    before = _own_reads(scene, 'burza-1')
    scene.run_for(instance_counts.STABLE_COUNT_MS - 1)
    state = scene.state_by_id['entry-1']
    added = members.Member('late~1', LOCAL, 'late:80', 'late:90', 1, 1)
    state.members.member_by_incarnation[added.incarnation] = added
    instance_count.on_tick(state, events.Tick(), scene.now_ms)
    scene.run_for(instance_counts.STABLE_COUNT_MS - 1)
    assert _own_reads(scene, 'burza-1') <= before


def test_a_count_without_a_data_centre_that_has_targets_is_incomplete() -> None:
    scene = _scene(6, 6, assumed=24)
    before = _own_reads(scene, 'burza-1')
    scene.run_for(2 * instance_counts.STABLE_COUNT_MS)
    assert _own_reads(scene, 'burza-1') == before
