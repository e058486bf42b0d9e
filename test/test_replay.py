"""Recording and replay of traces, and refusal of malformed ones."""

import pathlib
import subprocess
import sys

import anyio
import msgspec
import pytest

from oleanderstair.domain import policy
from oleanderstair.domain.proof import replaying, traces
from oleanderstair.engine import recorder
from test import faults, helper
from test import scene as scenes

EXAMPLES = sorted(pathlib.Path('examples').glob('*/traces/*.jsonl'))


def replay_command(path, hash_seed='0'):
    """Run the replay command on a file with a timeout."""
    return subprocess.run(
        [sys.executable, '-m', 'oleanderstair.ui', 'replay', str(path)],
        capture_output=True,
        timeout=60,
        env={'PYTHONHASHSEED': hash_seed},
    )


@pytest.fixture(scope='module')
def recorded():
    """Return the trace of an instance under load with faults."""
    scene = scenes.create()
    trace = scenes.record_trace(scene, 'entry-1', 'trnava')
    scene.start_background(2000)
    faults.crash_target(scene)
    faults.lose_messages(scene)
    scene.fleet.run_for(5000)
    return trace.export()


def test_replay_takes_the_recorded_actions_without_violations(recorded):
    replayed = replaying.replay_trace(traces.decode_trace(recorded).ok_value)
    assert replayed.calls > 10
    assert replayed.answers >= replayed.calls
    assert replayed.differs_at == 0
    assert replayed.held


def test_replay_prints_the_same_bytes_in_every_process(recorded, tmp_path):
    path = tmp_path / 'trace.jsonl'
    path.write_bytes(recorded)
    runs = [replay_command(path, hash_seed) for hash_seed in '123']
    assert [completed.returncode for completed in runs] == [0, 0, 0]
    assert len({completed.stdout for completed in runs}) == 1


def test_replay_with_a_violation_exits_1(recorded, tmp_path):
    lines = recorded.splitlines()
    trailer = msgspec.json.decode(lines[-1])
    kept_lines = [line for line in lines if b'"ended"' not in line]
    trailer['events'] = len(kept_lines) - 2
    kept_lines[-1] = msgspec.json.encode(trailer)
    path = tmp_path / 'trace.jsonl'
    path.write_bytes(b'\n'.join(kept_lines))
    completed = replay_command(path)
    assert completed.returncode == 1
    assert b'broken' in completed.stdout


@pytest.mark.parametrize(
    'corrupt',
    [
        lambda body: b'',
        lambda body: body[: len(body) // 2],
        lambda body: body.replace(b'"tick"', b'"tock"', 1),
        lambda body: body.replace(b'{"trace":1', b'{"trace":2', 1),
        lambda body: body.replace(b'"seed":', b'"sead":', 1),
        lambda body: b''.join((b'\xff', body)),
        lambda body: body.replace(b'\n', b'\n\n', 1),
    ],
    ids=['empty', 'cut', 'tag', 'version', 'field', 'bytes', 'blank'],
)
def test_malformed_trace_is_refused_with_a_remedy(recorded, tmp_path, corrupt):
    path = tmp_path / 'trace.jsonl'
    path.write_bytes(corrupt(recorded))
    completed = replay_command(path)
    assert completed.returncode == 2
    assert b'trace: ' in completed.stderr
    assert b'record the trace again' in completed.stderr
    assert b'Traceback' not in completed.stderr


def test_recorder_stops_at_its_limit(recorded):
    complete = traces.decode_trace(recorded).ok_value
    trace = recorder.create(
        complete.header.identity,
        policy.Policy(**complete.header.limits),
        complete.header.seed,
        max_events=10,
    )
    for traced in complete.events[:20]:
        trace.record(traced.at_ms, traced.event, [])
    limited = traces.decode_trace(trace.export()).ok_value
    assert len(limited.events) == 10
    assert limited.full


def test_trace_of_a_running_fleet_replays_with_the_same_actions():
    async def scenario():
        async with helper.running_fleet(
            2,
            trace_events=2000,
        ) as (_, nodes):
            for number in range(12):
                await helper.send_request(
                    nodes[number % 2].identity.caller_address,
                    'POST' if number % 3 else 'GET',
                )
            return [started.runtime.recorder.export() for started in nodes]

    for body in anyio.run(scenario):
        replayed = replaying.replay_trace(traces.decode_trace(body).ok_value)
        assert replayed.calls == 6
        assert replayed.differs_at == 0
        assert replayed.held


@pytest.mark.parametrize('path', EXAMPLES, ids=str)
def test_trace_of_a_deployment_has_no_violation(path):
    assert replay_command(path).returncode == 0
