"""Measures the slopes from which docs/CAPACITY.md works out each role."""

import random
import statistics
import time
import tracemalloc
import typing

import msgspec

from bench import capacity_figures, daemon_capacity
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
from oleanderstair.emulator import harness

_TICKS: typing.Final = 40
_CALLS: typing.Final = 2000
_REPEATS: typing.Final = 5
_MEASURED_MS: typing.Final = 10_000
# News of a start-up goes round for some 16 s; the figures are of later.
_SETTLE_MS: typing.Final = 20000
_STEP_MS: typing.Final = 10
_ROWS: typing.Final = 5000
_US: typing.Final = 1e6
_SIZES: typing.Final = ((11, 180), (110, 1800))
_FLEETS: typing.Final = (10, 30)
_SERVICE_SIZES: typing.Final = (16, 64)


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


def measure_ticks() -> typing.Iterator[capacity_figures.Figure]:
    """Measure one tick by catalogue and by fleet."""
    for services, targets in _SIZES:
        made = make_fleet(services, targets, 3)
        yield capacity_figures.Figure(
            'tick', f'{targets} targets', _tick_us(made), 'us'
        )
    for count in _FLEETS:
        made = make_fleet(2, 27, count)
        yield capacity_figures.Figure(
            'tick', f'{count} instances', _tick_us(made), 'us'
        )


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


def measure_calls() -> typing.Iterator[capacity_figures.Figure]:
    """Measure the decisions of one call by size of service and catalogue."""
    for count in _SERVICE_SIZES:
        made = make_fleet(1, count, 1)
        what = 'decide one call'
        yield capacity_figures.Figure(
            what, f'{count} targets in it', _call_us(made), 'us'
        )
    for services, targets in _SIZES:
        made = make_fleet(services, targets, 1)
        yield capacity_figures.Figure(
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


def measure_notes() -> typing.Iterator[capacity_figures.Figure]:
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
            notes.apply_note(before, notes.parse_note(body).unwrap()).unwrap()
            taken.append(time.perf_counter() - started)
        size = f'{targets} targets'
        yield capacity_figures.Figure(
            'apply one note', size, min(taken) * _US, 'us'
        )
        yield capacity_figures.Figure(
            'note of one change', size, len(body), 'bytes'
        )
        whole = len(made.body_by_name['notes/1'])
        yield capacity_figures.Figure('first note', size, whole, 'bytes')


def measure_peers() -> typing.Iterator[capacity_figures.Figure]:
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
        yield capacity_figures.Figure(
            'sent to peers, idle', size, amount, 'bytes/s'
        )
        yield capacity_figures.Figure(
            'messages to peers, idle', size, len(sent) / span_s, '/s'
        )
        amount = (made.platform_reads - reads) / span_s
        yield capacity_figures.Figure(
            'reads of values, whole fleet', size, amount, '/s'
        )
        yield capacity_figures.Figure(
            'note in force everywhere', size, _spread_ms(made), 'ms'
        )
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
        yield capacity_figures.Figure(
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


def measure_memory() -> typing.Iterator[capacity_figures.Figure]:
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
        note = notes.parse_note(body).unwrap()
        kept = notes.apply_note(catalogue.empty_catalogue(), note).unwrap()
        after, _ = tracemalloc.get_traced_memory()
        per_target = (after - base) / len(kept.target_by_id)
        yield capacity_figures.Figure(
            'catalogue row', f'{targets} targets', per_target, 'bytes'
        )
        del note, kept
    yield capacity_figures.Figure(
        'key record', f'{_ROWS} rows', _key_bytes(), 'bytes'
    )
    yield capacity_figures.Figure(
        'peer row', f'{_ROWS} rows', _peer_bytes(), 'bytes'
    )
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


def main() -> None:
    """Print every figure as a row of a table."""
    capacity_figures.show(
        (
            measure_ticks,
            measure_calls,
            measure_notes,
            measure_peers,
            measure_memory,
            daemon_capacity.measure_daemon,
        ),
    )


if __name__ == '__main__':
    main()
