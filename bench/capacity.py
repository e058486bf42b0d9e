"""Measures the slopes from which docs/CAPACITY.md works out each role."""

import os
import pathlib
import random
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
import typing

import anyio
import anyio.abc
import httpcore
import msgspec

from oleanderstair.domain import (
    actions,
    balancer,
    events,
    messages,
    policy,
    world,
)
from oleanderstair.domain.configuration import notes
from oleanderstair.domain.fleet import codec
from oleanderstair.domain.tables import catalogue, identity, instances, keys
from oleanderstair.emulator import fleet, harness
from oleanderstair.engine import headers

_TICKS: typing.Final = 40
_CALLS: typing.Final = 2000
_REPEATS: typing.Final = 5
_MEASURED_MS: typing.Final = 10_000
# News of a start-up goes round for some 16 s; the figures are of later.
_SETTLE_MS: typing.Final = 20000
_STEP_MS: typing.Final = 10
_ROWS: typing.Final = 5000
_US: typing.Final = 1e6
_LOADS: typing.Final = (400, 1200)
_SIZES: typing.Final = ((11, 180), (110, 1800))
_FLEETS: typing.Final = (10, 30)
_SERVICE_SIZES: typing.Final = (16, 64)


class Figure(typing.NamedTuple):
    """One measured figure."""

    what: str
    size: str
    amount: float
    unit: str


def make_fleet(
    service_count: int,
    target_count: int,
    instance_count: int,
) -> harness.Harness:
    """Return instances that hold a catalogue of the given size."""
    made = harness.create()
    members_by_service: dict[str, list[harness.Target]] = {}
    for number in range(target_count):
        target = harness.Target(f'target-{number:04}')
        made.add_target(target)
        service = f'service-{number % service_count:03}'
        members_by_service.setdefault(service, []).append(target)
    made.publish(harness.first_note(members_by_service))
    for number in range(instance_count):
        made.add_instance(f'entry-{number:03}', confirm_without_peers=True)
    made.run_for(_SETTLE_MS)
    return made


def measure_ticks() -> typing.Iterator[Figure]:
    """Measure one tick by catalogue and by fleet."""
    for services, targets in _SIZES:
        made = make_fleet(services, targets, 3)
        yield Figure('tick', f'{targets} targets', _tick_us(made), 'us')
    for count in _FLEETS:
        made = make_fleet(2, 27, count)
        yield Figure('tick', f'{count} instances', _tick_us(made), 'us')


def _tick_us(made: harness.Harness) -> float:
    state = made.instance_by_id['entry-000'].state
    now_ms = made.clock.now_ms()
    taken = []
    for number in range(_TICKS):
        at_ms = now_ms + number * state.policy.tick_ms
        started = time.perf_counter()
        balancer.step(state, events.Tick(), at_ms)
        taken.append(time.perf_counter() - started)
    return statistics.mean(taken) * _US


def measure_calls() -> typing.Iterator[Figure]:
    """Measure the decisions of one call by size of service and catalogue."""
    for count in _SERVICE_SIZES:
        made = make_fleet(1, count, 1)
        what = 'decide one call'
        yield Figure(what, f'{count} targets in it', _call_us(made), 'us')
    for services, targets in _SIZES:
        made = make_fleet(services, targets, 1)
        yield Figure(
            'decide one call', f'{targets} in all', _call_us(made), 'us'
        )


def _call_us(made: harness.Harness) -> float:
    state = made.instance_by_id['entry-000'].state
    now_ms = made.clock.now_ms()
    balancer.step(state, events.Tick(), now_ms)
    taken = []
    for _ in range(_REPEATS):
        started = time.perf_counter()
        for number in range(_CALLS // _REPEATS):
            _decide(state, number, now_ms)
        spent = time.perf_counter() - started
        taken.append(spent / (_CALLS // _REPEATS))
    return min(taken) * _US


def _decide(state: world.World, call_id: int, now_ms: float) -> None:
    received = events.CallReceived(
        call_id,
        'service-000',
        'GET',
        '/',
        now_ms + 1000,
    )
    for action in balancer.step(state, received, now_ms):
        if isinstance(action, actions.Dispatch):
            ended = events.AttemptEnded(
                call_id,
                action.attempt_id,
                events.Verdict.ANSWERED,
                status=200,
            )
            balancer.step(state, ended, now_ms)


def measure_notes() -> typing.Iterator[Figure]:
    """Measure how long a note of one change takes to apply, and its size."""
    for services, targets in _SIZES:
        made = make_fleet(services, targets, 1)
        before = made.instance_by_id['entry-000'].state.catalogue.in_force
        body = msgspec.json.encode(
            {
                'number': before.number + 1,
                'parent': before.digest,
                'withdrawn': {'targets': ['target-0000']},
            },
        )
        taken = []
        for _ in range(_REPEATS):
            started = time.perf_counter()
            notes.apply_note(before, notes.parse(body).unwrap()).unwrap()
            taken.append(time.perf_counter() - started)
        size = f'{targets} targets'
        yield Figure('apply one note', size, min(taken) * _US, 'us')
        yield Figure('note of one change', size, len(body), 'bytes')
        whole = len(made.body_by_name['notes/1'])
        yield Figure('first note', size, whole, 'bytes')


def measure_peers() -> typing.Iterator[Figure]:
    """Measure what an instance sends to peers, and what a fact weighs."""
    for count in _FLEETS:
        made = make_fleet(2, 27, count)
        reads = made.platform_reads
        log = made.instance_by_id['entry-000'].action_log
        sent_before = len(log)
        made.run_for(_MEASURED_MS)
        sent = [
            codec.encode(action.message)
            for _, action in log[sent_before:]
            if isinstance(action, actions.SendPeer)
        ]
        span_s = _MEASURED_MS / 1000
        size = f'{count} instances'
        amount = sum(len(frame) for frame in sent) / span_s
        yield Figure('sent to peers, idle', size, amount, 'bytes/s')
        yield Figure('messages to peers, idle', size, len(sent) / span_s, '/s')
        amount = (made.platform_reads - reads) / span_s
        yield Figure('reads of values, whole fleet', size, amount, '/s')
        yield Figure('note in force everywhere', size, _spread_ms(made), 'ms')
    for count in (1, 50):
        facts = tuple(
            messages.Fact(
                f'load/target-{number:04}',
                'entry-001~00000001',
                number + 1000,
                250,
                messages.TargetLoad(f'target-{number:04}', 3, 4, 120),
            )
            for number in range(count)
        )
        frame = codec.encode(messages.Facts(facts))
        yield Figure(
            'message of load facts', f'{count} facts', len(frame), 'bytes'
        )


def _spread_ms(made: harness.Harness) -> float:
    number = made.publish({})
    published_ms = made.clock.now_ms()
    while True:
        made.run_for(_STEP_MS)
        held = [
            found.state.catalogue.in_force.number
            for found in made.instance_by_id.values()
        ]
        if min(held) == number:
            return made.clock.now_ms() - published_ms


def measure_memory() -> typing.Iterator[Figure]:
    """Measure the memory of one row of the large tables."""
    tracemalloc.start()
    for services, targets in _SIZES:
        before, _ = tracemalloc.get_traced_memory()
        made = harness.first_note(
            {
                f'service-{number}': [
                    harness.Target(f'target-{number}-{member}')
                    for member in range(targets // services)
                ]
                for number in range(services)
            },
        )
        body = msgspec.json.encode({'number': 1, 'parent': '', **made})
        made.clear()
        base, _ = tracemalloc.get_traced_memory()
        note = notes.parse(body).unwrap()
        kept = notes.apply_note(catalogue.empty(), note).unwrap()
        after, _ = tracemalloc.get_traced_memory()
        per_target = (after - base) / len(kept.target_by_id)
        yield Figure('catalogue row', f'{targets} targets', per_target, 'bytes')
        del note, kept
    yield Figure('key record', f'{_ROWS} rows', _key_bytes(), 'bytes')
    yield Figure('peer row', f'{_ROWS} rows', _peer_bytes(), 'bytes')
    tracemalloc.stop()


def _key_bytes() -> float:
    own = identity.Identity('entry-1', 'entry-1~1', 'west', 'trnava', '', '')
    state = world.create(own, policy.Policy(), random.Random(1))
    before, _ = tracemalloc.get_traced_memory()
    for number in range(_ROWS):
        key = f'entry-1~00000001.1.order-{number}'
        state.keys.record_by_key[key] = keys.KeyRecord(
            key,
            1,
            number,
            keys.KeyState.RAN,
            float(number),
        )
        state.keys.keys_by_epoch.setdefault(1, []).append(key)
        state.keys.key_by_call_id[number] = key
    after, _ = tracemalloc.get_traced_memory()
    return (after - before) / _ROWS


def _peer_bytes() -> float:
    table: dict[str, instances.Peer] = {}
    before, _ = tracemalloc.get_traced_memory()
    for number in range(_ROWS):
        incarnation = f'entry-{number}~00000001'
        table[incarnation] = instances.Peer(
            incarnation,
            f'entry-{number}',
            'west',
            'trnava',
            f'10.0.{number}:80',
            f'10.0.{number}:82',
            float(number),
        )
    after, _ = tracemalloc.get_traced_memory()
    return (after - before) / _ROWS


def measure_daemon() -> typing.Iterator[Figure]:
    """Measure a real daemon: processor time of a call, and resident size."""
    yield from anyio.run(_measure_daemon)


async def _measure_daemon() -> list[Figure]:
    found: list[Figure] = []
    with tempfile.TemporaryDirectory() as folder:
        async with anyio.create_task_group() as tasks:
            deployment = fleet.create(fleet.COOPERATIVE, tasks)
            deployment.platform.publish(deployment.first_note())
            with anyio.fail_after(60):
                found = await _load_daemon(deployment, pathlib.Path(folder))
            tasks.cancel_scope.cancel()
    return found


async def _load_daemon(
    deployment: fleet.Fleet,
    folder: pathlib.Path,
) -> list[Figure]:
    tree = deployment.node_settings('entry-1', 'trnava')
    tree['policy'] = {'confirm_without_peers': True}
    tree['log'] = {'to': 'stderr'}
    path = folder / 'entry.jsonc'
    path.write_bytes(msgspec.json.encode(tree))
    command = [sys.executable, '-m', 'oleanderstair.daemon', '--settings']
    process = await anyio.open_process(
        [*command, str(path)],
        stdout=subprocess.DEVNULL,
    )
    try:
        pairs = await _read_addresses(process)
        found = await _figures_of(process.pid, pairs['callers'])
        return [*found, *await _added_of(pairs['admin'])]
    finally:
        process.kill()
        await process.aclose()


async def _added_of(address: str) -> list[Figure]:
    async with httpcore.AsyncConnectionPool() as pool:
        answer = await pool.request('GET', f'http://{address}/metrics')
    return [
        Figure('added to a call', name, added_ms, 'ms')
        for found in msgspec.json.decode(answer.content)['histograms']
        if found['name'] == 'added-ms'
        for name, added_ms in found['percentiles_ms'].items()
    ]


async def _read_addresses(process: anyio.abc.Process) -> dict[str, str]:
    assert process.stderr is not None
    line = (await process.stderr.receive()).decode().split('\n')[0]
    return dict(pair.split('=', 1) for pair in line.split())


async def _figures_of(pid: int, address: str) -> list[Figure]:
    found = []
    await anyio.sleep(3)
    spent_before = _cpu_s(pid)
    await anyio.sleep(_MEASURED_MS / 1000)
    idle = (_cpu_s(pid) - spent_before) / (_MEASURED_MS / 1000)
    found.append(Figure('idle daemon', '1 instance', idle * 100, '% core'))
    for calls in _LOADS:
        spent_before = _cpu_s(pid)
        started = time.perf_counter()
        took_ms = await _send_calls(address, calls)
        span_s = time.perf_counter() - started
        spent = _cpu_s(pid) - spent_before - idle * span_s
        size = f'{calls} calls'
        found.append(
            Figure('whole call in a daemon', size, spent / calls * _US, 'us'),
        )
        cuts = statistics.quantiles(took_ms, n=100)
        found.append(Figure('p50 at the caller', size, cuts[49], 'ms'))
        found.append(Figure('p99 at the caller', size, cuts[98], 'ms'))
    status = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    resident = next(
        line for line in status.splitlines() if line.startswith('VmRSS')
    )
    resident_mb = int(resident.split()[1]) / 1024
    found.append(Figure('resident size', '27 targets', resident_mb, 'MB'))
    return found


async def _send_calls(address: str, calls: int) -> list[float]:
    took_ms = []
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        for _ in range(calls):
            started = time.perf_counter()
            answer = await pool.request(
                'GET',
                f'http://{address}/listings',
                headers=[(headers.SERVICE, b'burza')],
            )
            took_ms.append((time.perf_counter() - started) * 1000)
            if answer.status != 200:
                raise SystemExit(f'a call was answered {answer.status}')
    return took_ms


def _cpu_s(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


def main() -> None:
    """Print every figure as a row of a table."""
    sys.stdout.write('| what | size | figure |\n|---|---|---|\n')
    for measure in (
        measure_ticks,
        measure_calls,
        measure_notes,
        measure_peers,
        measure_memory,
        measure_daemon,
    ):
        for found in measure():
            amount = f'{found.amount:,.1f} {found.unit}'
            sys.stdout.write(f'| {found.what} | {found.size} | {amount} |\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
