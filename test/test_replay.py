"""Recording a trace, replaying it, and refusing one that is not whole."""

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
    """Run the replay command on a file, within a bound."""
    return subprocess.run(
        [sys.executable, '-m', 'oleanderstair.ui', 'replay', str(path)],
        capture_output=True,
        timeout=60,
        env={'PYTHONHASHSEED': hash_seed},
    )


@pytest.fixture(scope='module')
def recorded():
    """Return the trace of an instance under load and faults."""
    scene = scenes.create()
    kept = scenes.record_trace(scene, 'entry-1', 'trnava')
    scene.start_background(2000)
    faults.crash_target(scene)
    faults.lose_messages(scene)
    scene.made.run_for(5000)
    return kept.export()


def test_replay_decides_as_recorded_and_all_outcomes_hold(recorded):
    done = replaying.replay(traces.decode(recorded).ok_value)
    assert done.calls > 10
    assert done.answers >= done.calls
    assert done.differs_at == 0
    assert done.held


def test_replay_prints_the_same_bytes_in_every_process(recorded, tmp_path):
    path = tmp_path / 'trace.jsonl'
    path.write_bytes(recorded)
    printed = [replay_command(path, hash_seed) for hash_seed in '123']
    assert [found.returncode for found in printed] == [0, 0, 0]
    assert len({found.stdout for found in printed}) == 1


def test_replay_of_a_broken_outcome_exits_1(recorded, tmp_path):
    lines = recorded.splitlines()
    trailer = msgspec.json.decode(lines[-1])
    kept = [line for line in lines if b'"ended"' not in line]
    trailer['events'] = len(kept) - 2
    kept[-1] = msgspec.json.encode(trailer)
    path = tmp_path / 'trace.jsonl'
    path.write_bytes(b'\n'.join(kept))
    found = replay_command(path)
    assert found.returncode == 1
    assert b'broken' in found.stdout


@pytest.mark.parametrize(
    'spoil',
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
def test_malformed_trace_is_refused_with_a_remedy(recorded, tmp_path, spoil):
    path = tmp_path / 'trace.jsonl'
    path.write_bytes(spoil(recorded))
    found = replay_command(path)
    assert found.returncode == 2
    assert b'trace: ' in found.stderr
    assert b'record the trace again' in found.stderr
    assert b'Traceback' not in found.stderr


def test_recorder_stops_at_its_limit(recorded):
    whole = traces.decode(recorded).ok_value
    kept = recorder.create(
        whole.header.identity,
        policy.Policy(**whole.header.limits),
        whole.header.seed,
        limit=10,
    )
    for traced in whole.events[:20]:
        kept.record(traced.at_ms, traced.event, [])
    short = traces.decode(kept.export()).ok_value
    assert len(short.events) == 10
    assert short.full


def test_trace_of_real_work_replays_as_decided():
    async def scenario():
        async with helper.running_fleet(
            2,
            trace_events=2000,
        ) as (_, nodes):
            for number in range(12):
                await helper.ask(
                    nodes[number % 2].identity.caller_address,
                    'POST' if number % 3 else 'GET',
                )
            return [started.carrier.recorder.export() for started in nodes]

    for body in anyio.run(scenario):
        done = replaying.replay(traces.decode(body).ok_value)
        assert done.calls == 6
        assert done.differs_at == 0
        assert done.held


@pytest.mark.parametrize('path', EXAMPLES, ids=str)
def test_trace_of_a_deployment_holds(path):
    assert replay_command(path).returncode == 0
