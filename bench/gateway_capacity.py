"""Measures the slopes of a gateway from which docs/CAPACITY.md is worked out.

One instance is stepped on a virtual clock. Its peers are answered for: each
lives, and knows what the instance knows.
"""

import random
import subprocess
import sys
import time
import tracemalloc
import typing

from bench import capacity_figures, gateway_peers
from oleanderstair.domain import (
    actions,
    events,
    gateway,
    policy,
    world,
)
from oleanderstair.domain.configuration import store_sync
from oleanderstair.domain.fleet import codec, member_list
from oleanderstair.domain.tables import (
    identity,
    instances,
    load_reports,
    registry,
    revisions,
    routes,
    store,
)
from oleanderstair.domain.tables import members as rows
from oleanderstair.emulator import plans

_TARGETS: typing.Final = (30, 300, 1800)
_INSTANCES: typing.Final = (20, 200, 1000)
_PLACES: typing.Final = 13
_ERA: typing.Final = 1
_TARGETS_A_SERVICE: typing.Final = 16
_FEW_TARGETS: typing.Final = 30
_FEW_INSTANCES: typing.Final = 20
_SPAN_MS: typing.Final = 20_000
_CALLS: typing.Final = 2000
_CALL_EVERY_MS: typing.Final = 3
_CHANGES: typing.Final = 20
_SAMPLE: typing.Final = load_reports.Report(0, 0, 4)
_MS: typing.Final = 1e3
_US: typing.Final = 1e6


def main() -> None:
    """Print every figure as a row of a table."""
    capacity_figures.show(
        (
            measure_process,
            measure_targets,
            measure_calls,
            measure_instances,
        ),
    )


def create(target_count: int, instance_count: int) -> world.World:
    """Return a serving instance that knows targets and instances."""
    place = _place(0)
    own = identity.Identity(
        'entry-0', 'entry-0~1', 'west', place, '10.1.0.0:80', '10.1.0.0:82'
    )
    state = world.create(own, policy.Policy(), random.Random(1))
    state.members.started_ms = 1
    gateway.step(state, events.RoutingRead(_routing(target_count), 'store'), 0)
    entries = tuple(map(_entry, range(target_count)))
    gateway.step(
        state, events.RegistryRead(_revision(target_count), entries), 0
    )
    for number in range(1, instance_count):
        member_list.adopt_row(state, _member(number), 0)
    for other in range(1, min(_PLACES, instance_count)):
        member_list.record_data_centre_contact(state, _place(other), 0)
    state.instances.phase = instances.Phase.SERVING
    return state


def measure_process() -> typing.Iterator[capacity_figures.Figure]:
    """Measure the resident size of a daemon before it serves."""
    program = (
        'import pathlib, oleanderstair.platform.node;'
        + "print(pathlib.Path('/proc/self/status').read_text())"
    )
    status = subprocess.check_output([sys.executable, '-c', program], text=True)
    line = next(
        found for found in status.splitlines() if found.startswith('VmRSS')
    )
    resident_mb = int(line.split()[1]) / 1024
    yield capacity_figures.Figure(
        'resident size', 'modules alone', resident_mb, 'MB'
    )


def measure_targets() -> typing.Iterator[capacity_figures.Figure]:
    """Measure memory, ticks and changes by the number of targets."""
    for count in _TARGETS:
        size = f'{count} targets'
        tracemalloc.start()
        state = create(count, _FEW_INSTANCES)
        kept, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        yield capacity_figures.Figure('tables', size, kept / 1024, 'KB')
        peers = gateway_peers.run(state, _SPAN_MS)
        ticks = _SPAN_MS / state.policy.tick_ms
        yield capacity_figures.Figure(
            'tick', size, peers.tick_s / ticks * _US, 'us'
        )
        yield capacity_figures.Figure(
            'one target changes', size, _change_us(state), 'us'
        )
        known = store_sync.local_position(state)
        yield from _tellings(state, known, size)


def _tellings(
    state: world.World,
    known: store.StorePosition,
    size: str,
) -> typing.Iterator[capacity_figures.Figure]:
    lacking_by_what = {
        'confirmation': known,
        'one change of a target': known._replace(revision=known.revision - 1),
        'one change of the configuration': known._replace(number=0),
        'all of the store': store.StorePosition(),
    }
    for what, lacking in lacking_by_what.items():
        frame = codec.encode(store_sync.state_update_since(state, lacking, 0))
        yield capacity_figures.Figure(
            f'told: {what}', size, len(frame), 'bytes'
        )
        started_s = time.thread_time()
        for _ in range(_CHANGES):
            codec.decode(frame).unwrap()
        spent_s = (time.thread_time() - started_s) / _CHANGES
        yield capacity_figures.Figure(
            f'decoded: {what}', size, spent_s * _US, 'us'
        )


def _change_us(state: world.World) -> float:
    started_s = time.thread_time()
    for number in range(_CHANGES):
        revision = state.registry.revision + 1
        changed = _entry(number)._replace(revision=revision, slots=9)
        event = events.RegistryChanged(revision, (changed,), ())
        gateway.step(state, event, _SPAN_MS)
    return (time.thread_time() - started_s) / _CHANGES * _US


def measure_calls() -> typing.Iterator[capacity_figures.Figure]:
    """Measure the decisions of one call, its reads of loads included."""
    for count in _TARGETS:
        spent_s = _decide_all(create(count, _FEW_INSTANCES))
        size = f'{count} targets'
        yield capacity_figures.Figure(
            'decide one call', size, spent_s / _CALLS * _US, 'us'
        )
        state = create(count, _FEW_INSTANCES)
        frame = _limit_every_second_target(state)
        yield capacity_figures.Figure(
            'told: a rate limit', size, len(frame), 'bytes'
        )
        spent_s = _decide_all(state)
        yield capacity_figures.Figure(
            'decide one call, half of the targets limited',
            size,
            spent_s / _CALLS * _US,
            'us',
        )


def _limit_every_second_target(state: world.World) -> bytes:
    """Let every second target accept no calls; return the last message."""
    frame = b''
    for target_id in sorted(state.registry.entry_by_id)[::2]:
        born_ms = state.registry.entry_by_id[target_id].born_ms
        told = events.TargetTold(target_id, born_ms, limit_per_s=0)
        for action in gateway.step(state, told, 0):
            if isinstance(action, actions.SendPeer):
                frame = codec.encode(action.message)
    return frame


def _decide_all(state: world.World) -> float:
    started_s = time.thread_time()
    for number in range(1, _CALLS + 1):
        now_ms = number * _CALL_EVERY_MS
        received = events.CallReceived(
            call_id=number,
            service='',
            method='GET',
            path='/kind-0/',
            deadline_ms=now_ms + 1000,
            host=plans.HOST,
            request_id=f'request-{number}',
        )
        _carry(state, received, now_ms)
    spent_s = time.thread_time() - started_s
    if state.routed.call_by_id:
        raise SystemExit('a call was left without its answer')
    return spent_s


def _carry(
    state: world.World,
    received: events.CallReceived,
    now_ms: float,
) -> None:
    """Step a call to its end; targets answer at once."""
    left: list[events.Event] = [received]
    while left:
        for action in gateway.step(state, left.pop(), now_ms):
            if isinstance(action, actions.ReadLoad):
                left.append(events.LoadRead(action.target_id, _SAMPLE, 1))
            elif isinstance(action, actions.Dispatch):
                left.append(
                    events.AttemptEnded(
                        received.call_id,
                        action.attempt_id,
                        events.Verdict.ANSWERED,
                        status=200,
                        load=_SAMPLE,
                    ),
                )


def measure_instances() -> typing.Iterator[capacity_figures.Figure]:
    """Measure what the rounds of membership cost by size of fleet."""
    for count in _INSTANCES:
        size = f'{count} instances'
        tracemalloc.start()
        state = create(_FEW_TARGETS, count)
        kept, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        peers = gateway_peers.run(state, _SPAN_MS)
        span_s = _SPAN_MS / _MS
        yield capacity_figures.Figure('tables', size, kept / 1024, 'KB')
        yield capacity_figures.Figure(
            'ticks', size, peers.tick_s / span_s * _MS, 'ms/s'
        )
        yield capacity_figures.Figure(
            'peers heard', size, peers.heard_s / span_s * _MS, 'ms/s'
        )
        yield capacity_figures.Figure(
            'sent to peers', size, peers.sent_bytes / span_s, 'bytes/s'
        )
        yield capacity_figures.Figure(
            'messages sent', size, peers.sent / span_s, '/s'
        )
        yield capacity_figures.Figure(
            'messages heard', size, peers.heard / span_s, '/s'
        )
        living = sum(
            map(
                len,
                member_list.current_view(state).live_by_data_centre.values(),
            )
        )
        if living != count:
            raise SystemExit(f'{living} of {count} instances are held alive')


def _place(number: int) -> str:
    return f'place-{number % _PLACES:02}'


def _member(number: int) -> rows.Member:
    host = f'10.1.{number >> 8}.{number & 255}'
    return rows.Member(
        incarnation=f'entry-{number}~1',
        data_centre=_place(number),
        caller_address=f'{host}:80',
        peer_address=f'{host}:82',
        started_ms=1_700_000_000_000 + number,
        beat=0,
        standing=rows.Standing.READY,
    )


def _entry(number: int) -> registry.Entry:
    return registry.Entry(
        target_id=f'target-{number:04}',
        service=f'service-{number // _TARGETS_A_SERVICE}',
        address=f'10.2.{number >> 8}.{number & 255}:80',
        data_centre=_place(number),
        slots=4,
        leaving=False,
        born_ms=1_700_000_000_000 + number,
        slow_start_until_ms=0,
        revision=_revision(number + 1),
    )


def _revision(number: int) -> int:
    return revisions.combine(_ERA, number)


def _routing(target_count: int) -> routes.Routing:
    """Return a configuration with one route to each service."""
    count = -(-target_count // _TARGETS_A_SERVICE)
    kinds = tuple(
        plans.Kind(f'kind-{number}', f'service-{number}', 0, plans.Work(40))
        for number in range(count)
    )
    services = tuple(plans.ServicePlan(kind.service, {}) for kind in kinds)
    return plans.routing_of(plans.Plan('west', {}, services, kinds))


if __name__ == '__main__':
    main()
