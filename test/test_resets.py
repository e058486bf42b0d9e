"""Connections that are reset before an answer: full targets, forgotten ones."""

import anyio

from oleanderstair.domain import events
from oleanderstair.domain.calls import crashing
from oleanderstair.domain.targets import trust
from oleanderstair.engine import exchanges
from test import raw, targets_scene

RESET = targets_scene.Told(
    1,
    events.Verdict.BROKEN,
    status=0,
    unanswered=True,
)
WHOLE = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntwig'


def scene_of_one(told, waiting):
    scene = targets_scene.create(targets_scene.many(1))
    target = scene.target_by_id['burza-1']
    targets_scene.steady(scene, per_s=10, for_ms=500)
    target.behave = targets_scene.always(told)
    target.waiting = waiting
    target.running = target.slots if waiting else 0
    state = scene.state_by_id['entry-1']
    return scene, state


def reset_once(told, waiting):
    """Return the world after one call was reset, and the call."""
    scene, state = scene_of_one(told, 0)
    call_id = scene.call('entry-1')
    scene.run_for(1.5)
    target = scene.target_by_id['burza-1']
    target.running = target.slots if waiting else 0
    target.waiting = waiting
    report = target.report()
    read = events.LoadRead('burza-1', report, 1)
    scene.after(0, 'entry-1', read)
    scene.run_for(40)
    return scene, state, call_id


def is_barred(scene, state):
    known = state.loads.load_by_id['burza-1']
    return trust.is_barred(known, scene.now_ms)


def test_a_reset_by_a_full_target_is_load_and_not_death():
    scene, state, _ = reset_once(RESET, waiting=3)
    assert not is_barred(scene, state)
    assert not state.crashes.by_fingerprint


def test_a_reset_by_a_target_with_free_slots_counts_against_it():
    scene, state, _ = reset_once(RESET, waiting=0)
    assert is_barred(scene, state)


def test_a_late_reset_by_a_full_target_counts_against_it():
    late = RESET._replace(after_ms=200)
    scene, state, _ = reset_once(late, waiting=3)
    scene.run_for(400)
    assert is_barred(scene, state)


def test_a_forgotten_connection_says_nothing_of_its_target():
    scene, state, _ = reset_once(RESET._replace(stale=True), waiting=0)
    assert not is_barred(scene, state)
    assert not crashing.is_refused(state, '', scene.now_ms)


def test_a_non_idempotent_call_that_a_full_target_reset_may_have_run():
    scene, _ = scene_of_one(RESET, waiting=0)
    call_id = scene.call('entry-1', '/order/1')
    scene.run_for(500)
    _, refused = scene.ended['entry-1', call_id]
    assert refused.outcome.value == 'unknown'


def test_a_target_that_forgets_connections_is_not_trusted_so_long_again():
    async def scenario():
        target = raw.RawTarget(WHOLE, raw.RESET, WHOLE, WHOLE, kept=True)
        async with raw.running(target):
            table = exchanges.create()
            place = exchanges.Place('t', target.address, False, 1000)
            request = exchanges.Request(b'GET', b'/', [], b'')
            ends = [await table.exchange(place, request)]
            await anyio.sleep(0.4)
            ends.append(await table.exchange(place, request))
            ends.append(await table.exchange(place, request))
            await anyio.sleep(0.35)
            ends.append(await table.exchange(place, request))
            return ends, target.connections

    ends, connections = anyio.run(scenario)
    assert [ended.stale for ended in ends] == [False, True, False, False]
    assert not ends[1].crashed
    assert connections == 3
