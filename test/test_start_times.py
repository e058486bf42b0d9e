"""When an instance reached each phase of its start, in the log and metrics."""

import re
import time

import anyio
import httpcore

from oleanderstair import logs, start_times
from test import loopback_node

PHASES = ['listening', 'started', 'routes', 'first-answer']


def test_phase_is_recorded_once_since_the_start_of_the_process():
    times = start_times.create()
    assert times.mark(start_times.LISTENING)
    first = times.mark_by_phase[start_times.LISTENING]
    assert first.cpu_ms <= time.process_time() * 1000
    # The process of the tests has run longer than it used the processor.
    assert first.after_ms > 0
    assert not times.mark(start_times.LISTENING)
    assert times.mark_by_phase == {start_times.LISTENING: first}


async def start_and_call():
    async with loopback_node.run_ready_node() as fixture:
        answers = [
            await loopback_node.send_request(fixture.address) for _ in range(2)
        ]
        async with httpcore.AsyncConnectionPool() as pool:
            metrics = await pool.request(
                'GET', f'http://{fixture.metrics_listener}/metrics'
            )
    assert {answer.status for answer in answers} == {200}
    return metrics.content.decode()


# Guards against a slow start that operators can't take apart.
def test_phases_are_logged_and_in_the_metrics(monkeypatch):
    logged = []

    def write(kind, fields):
        if kind == 'start-phase':
            logged.append(fields)

    monkeypatch.setattr(logs, '_writers', [write])
    metrics = anyio.run(start_and_call)
    assert [fields['phase'] for fields in logged] == ['routes', 'first-answer']
    assert {'started_ms', 'first_answer_ms', 'first_answer_cpu_ms'} <= (
        logged[-1].keys()
    )
    for name in ('start_ms', 'start_cpu_ms'):
        samples = re.findall(
            rf'^oleanderstair_{name}{{phase="(.*)"}} [0-9.]+$',
            metrics,
            re.MULTILINE,
        )
        assert samples == PHASES
