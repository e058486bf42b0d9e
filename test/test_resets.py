"""Connections reset before an answer: by full targets or as stale ones."""

import anyio

from oleanderstair.domain import events
from oleanderstair.domain.calls import crashing_requests
from oleanderstair.domain.targets import outlier_detection
from oleanderstair.engine import exchanges
from test import raw, targets_scene

RESET = targets_scene.Reply(
    1,
    events.Verdict.BROKEN,
    status=0,
    unanswered=True,
)
COMPLETE = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntwig'


def scene_of_one(reply, queued_count):
    scene = targets_scene.create(targets_scene.make_targets(1))
    target = scene.target_by_id['burza-1']
    targets_scene.send_steadily(scene, per_s=10, for_ms=500)
    target.behave = targets_scene.always_reply(reply)
    target.queued = queued_count
    target.running = target.slots if queued_count else 0
    state = scene.state_by_id['entry-1']
    return scene, state


def reset_once(reply, queued_count):
    """Return the scene, the state and the call after one reset."""
    scene, state = scene_of_one(reply, 0)
    call_id = scene.call('entry-1')
    scene.run_for(1.5)
    target = scene.target_by_id['burza-1']
    target.running = target.slots if queued_count else 0
    target.queued = queued_count
    report = target.report()
    read = events.LoadRead('burza-1', report, 1)
    scene.after(0, 'entry-1', read)
    scene.run_for(40)
    return scene, state, call_id


def is_ejected(scene, state):
    load = state.loads.load_by_id['burza-1']
    return outlier_detection.is_ejected(load, scene.now_ms)


def test_a_reset_by_a_full_target_is_no_failure_or_crash():
    scene, state, _ = reset_once(RESET, queued_count=3)
    assert not is_ejected(scene, state)
    assert not state.crashes.crashes_by_fingerprint


def test_a_reset_by_a_target_with_free_slots_is_a_failure():
    scene, state, _ = reset_once(RESET, queued_count=0)
    assert is_ejected(scene, state)


def test_a_late_reset_by_a_full_target_is_a_failure():
    late = RESET._replace(after_ms=200)
    scene, state, _ = reset_once(late, queued_count=3)
    scene.run_for(400)
    assert is_ejected(scene, state)


def test_a_reset_of_a_stale_connection_is_no_failure():
    scene, state, _ = reset_once(RESET._replace(stale=True), queued_count=0)
    assert not is_ejected(scene, state)
    assert not crashing_requests.is_refused(state, '', scene.now_ms)


def test_an_attempt_without_memory_here_is_no_failure_of_its_target():
    # An instance whose memory is spent must not eject healthy targets, nor
    # take itself for cut off from them.
    scene, state, _ = reset_once(
        targets_scene.Reply(
            1, events.Verdict.BROKEN, status=0, memory_short=True
        ),
        queued_count=0,
    )
    assert not is_ejected(scene, state)
    assert not state.reachability.failed_ids


def test_a_non_idempotent_call_that_a_full_target_reset_may_have_run():
    scene, _ = scene_of_one(RESET, queued_count=0)
    call_id = scene.call('entry-1', '/order/1')
    scene.run_for(500)
    _, refused = scene.ended['entry-1', call_id]
    assert refused.outcome.value == 'unknown'


def test_connections_are_reused_for_a_shorter_time_after_a_stale_one():
    async def scenario():
        target = raw.RawTarget(
            COMPLETE, raw.RESET, COMPLETE, COMPLETE, kept=True
        )
        async with raw.running(target):
            table = exchanges.create()
            destination = exchanges.Destination(
                't', target.address, False, 1000
            )
            request = exchanges.Request(b'GET', b'/', [], b'')
            results = [await table.exchange(destination, request)]
            await anyio.sleep(0.4)
            results.append(await table.exchange(destination, request))
            results.append(await table.exchange(destination, request))
            await anyio.sleep(0.35)
            results.append(await table.exchange(destination, request))
            return results, target.connections

    results, connections = anyio.run(scenario)
    assert [result.stale for result in results] == [False, True, False, False]
    assert not results[1].crashed
    assert connections == 3
