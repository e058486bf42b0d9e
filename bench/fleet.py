"""Measures a fleet of real daemons on loopback; ends by itself.

Run as ``python -m bench.fleet``; prints one JSON object per measurement.
Give the sizes to measure as arguments, 4, 8 and 16 by default.
"""

import statistics
import sys
import typing

import anyio
import httpcore
import msgspec

from bench import daemons
from oleanderstair.emulator import targets
from oleanderstair.engine import headers

BOUND_S = 150
WINDOW_S = 10
PUBLICATIONS = 10
RESTARTS = 5
CALL_PAUSE_S = 0.02
DRAINS = 5
DRAIN_WATCH_S = 4
RESENDS = 20
CALLERS = 4

Report: typing.TypeAlias = dict[str, object]


async def start_all(
    made: daemons.Deployment,
    count: int,
    down: typing.Collection[int] = (),
) -> list[daemons.Daemon]:
    """Start ``count`` daemons and wait until all may serve."""
    started: list[daemons.Daemon] = []

    async def start(number: int) -> None:
        name = f'entry-{number}'
        started.append(await made.start(name, number in down))

    async with anyio.create_task_group() as tasks:
        for number in range(1, count + 1):
            tasks.start_soon(start, number)
    for daemon in started:
        await made.until(daemon, _serves)
    return sorted(started, key=lambda found: found.instance_id)


async def measure_spread(
    made: daemons.Deployment,
    fleet: list[daemons.Daemon],
) -> Report:
    """Publish notes one by one, and time them to all daemons, in ms."""
    spans_ms: list[float] = []
    accepted_ms: list[float] = []
    entry = next(iter(made.fakes.entry_by_id.values()))
    for turn in range(PUBLICATIONS):
        await anyio.sleep(0.5 + turn / 20)
        changed = {**entry, 'slots': entry['slots'] + 1 + turn % 2}
        began = anyio.current_time()
        number = made.fakes.platform.publish(
            {'changed': {'targets': [changed]}},
        )
        held = await wait_for_note(made, fleet, number)
        spans_ms.append((held - began) * 1000)
        accepted = await made.until(fleet[0], _accepts)
        accepted_ms.append((accepted - began) * 1000)
    return {
        'in_force_everywhere_ms': _summary(spans_ms),
        'accepted_at_one_ms': _summary(accepted_ms),
    }


async def wait_for_note(
    made: daemons.Deployment,
    fleet: list[daemons.Daemon],
    number: int,
) -> float:
    """Return when the last daemon had the note in force."""
    held: list[float] = []

    async def wait(daemon: daemons.Daemon) -> None:
        held.append(
            await made.until(
                daemon,
                lambda status: status['note'] >= number,
            ),
        )

    async with anyio.create_task_group() as tasks:
        for daemon in fleet:
            tasks.start_soon(wait, daemon)
    return max(held)


async def measure_restarts(
    made: daemons.Deployment,
    instance_id: str,
    is_down: bool,
) -> Report:
    """Replace one daemon again and again; time it until it may serve."""
    from_process_ms = []
    from_listening_ms = []
    for _ in range(RESTARTS):
        made.daemon_by_id[instance_id].kill()
        await made.daemon_by_id[instance_id].process.wait()
        began = anyio.current_time()
        fresh = await made.start(instance_id, is_down)
        listening = anyio.current_time()
        serving = await made.until(fresh, _serves)
        from_process_ms.append((serving - began) * 1000)
        from_listening_ms.append((serving - listening) * 1000)
    return {
        'from_process_start_ms': _summary(from_process_ms),
        'from_listening_ms': _summary(from_listening_ms),
    }


async def measure_traffic(
    made: daemons.Deployment,
    fleet: list[daemons.Daemon],
    calls: bool,
) -> Report:
    """Return messages, bytes and processor time per instance and second."""
    answered: list[int] = []
    async with anyio.create_task_group() as tasks:
        if calls:
            for daemon in fleet:
                tasks.start_soon(_call, daemon, answered)
        await anyio.sleep(2)
        before = await made.traffic_of(fleet)
        cpu_s = [member.cpu_s() for member in fleet]
        answered.clear()
        await anyio.sleep(WINDOW_S)
        calls_per_s = len(answered) / WINDOW_S
        after = await made.traffic_of(fleet)
        used_s = [
            member.cpu_s() - used
            for member, used in zip(fleet, cpu_s, strict=True)
        ]
        tasks.cancel_scope.cancel()
    pairs = list(zip(before, after, strict=True))
    return {
        'calls_per_s': calls_per_s,
        'messages_per_s': _per_s(
            new.messages - old.messages for old, new in pairs
        ),
        'bytes_per_s': _per_s(new.bytes - old.bytes for old, new in pairs),
        'bytes_per_s_by_kind': _by_kind(pairs),
        'cpu_percent': _per_s(100 * used for used in used_s),
        'memory_mb': max(member.memory_mb() for member in fleet),
    }


async def measure_whole_service() -> None:
    """Measure four daemons that all read the service."""
    async with daemons.deployed(BOUND_S) as made:
        fleet = await start_all(made, 4)
        _print('spread', await measure_spread(made, fleet))
        _print('fresh', await measure_restarts(made, 'entry-4', is_down=False))


async def measure_one_reader() -> None:
    """Measure four daemons of which three have lost the service."""
    async with daemons.deployed(BOUND_S) as made:
        await start_all(made, 4)
        for number in (2, 3, 4):
            made.daemon_by_id[f'entry-{number}'].kill()
            fresh = await made.start(f'entry-{number}', is_down=True)
            await made.until(fresh, _serves)
        fleet = list(made.daemon_by_id.values())
        _print('spread, one reader', await measure_spread(made, fleet))
        _print(
            'fresh, no service',
            await measure_restarts(made, 'entry-4', is_down=True),
        )


async def measure_without_service() -> None:
    """Measure a draining target and a resent key with the service down."""
    async with daemons.deployed(BOUND_S) as made:
        fleet = await start_all(made, 4)
        made.fakes.platform.down = True
        spans_ms = [await measure_drain(made, fleet) for _ in range(DRAINS)]
        _print('last new call to a draining target', _summary(spans_ms))
        runs = [await count_runs(made, fleet, turn) for turn in range(RESENDS)]
        _print('runs of a key sent to all four', _summary(runs))


async def measure_drain(
    made: daemons.Deployment,
    fleet: list[daemons.Daemon],
) -> float:
    """Let a target drain under calls; return ms until its last new call."""
    answered: list[int] = []
    async with anyio.create_task_group() as tasks:
        for daemon in fleet:
            for _ in range(CALLERS):
                tasks.start_soon(_call, daemon, answered)
        target = await _find_busy(made)
        target.leaving = True
        began = anyio.current_time()
        last, seen = began, target.leaving_calls
        while anyio.current_time() - began < DRAIN_WATCH_S:
            await anyio.sleep(0.005)
            if target.leaving_calls > seen:
                last, seen = anyio.current_time(), target.leaving_calls
        tasks.cancel_scope.cancel()
    return (last - began) * 1000


async def count_runs(
    made: daemons.Deployment,
    fleet: list[daemons.Daemon],
    turn: int,
) -> float:
    """Send one key to every daemon at once; return how often it ran."""
    home = fleet[turn % len(fleet)]
    prefix = await _key_prefix(home)
    key = f'{prefix}order-{turn}'

    async def order(daemon: daemons.Daemon) -> None:
        async with httpcore.AsyncConnectionPool() as pool:
            await pool.request(
                'POST',
                f'http://{daemon.address_by_side["callers"]}/orders',
                headers=[
                    (headers.SERVICE, b'burza'),
                    (headers.KEY, key.encode()),
                ],
            )

    async with anyio.create_task_group() as tasks:
        for daemon in fleet:
            tasks.start_soon(order, daemon)
    return sum(
        target.served_by_key.get(key, 0)
        for target in made.fakes.target_by_id.values()
    )


async def _find_busy(made: daemons.Deployment) -> targets.Target:
    members = [
        target
        for target in made.fakes.target_by_id.values()
        if not target.leaving
    ]
    before = {target.target_id: target.served for target in members}
    await anyio.sleep(1)
    return max(
        members,
        key=lambda target: target.served - before[target.target_id],
    )


async def _key_prefix(home: daemons.Daemon) -> str:
    own = home.address_by_side['callers']
    async with httpcore.AsyncConnectionPool() as pool:
        answer = await pool.request('GET', f'http://{own}/-/addresses')
    found = msgspec.json.decode(answer.content)['addresses']
    return next(
        str(entry['key_prefix']) for entry in found if entry['address'] == own
    )


async def measure_size(count: int) -> None:
    """Measure the traffic of ``count`` daemons, idle and with calls."""
    async with daemons.deployed(BOUND_S) as made:
        fleet = await start_all(made, count)
        idle = await measure_traffic(made, fleet, calls=False)
        _print(f'idle, {count} instances', idle)
        loaded = await measure_traffic(made, fleet, calls=True)
        _print(f'with calls, {count} instances', loaded)


async def main(sizes: list[int]) -> None:
    """Measure the spread and the fresh start, then the traffic by size."""
    await measure_whole_service()
    await measure_one_reader()
    await measure_without_service()
    for count in sizes:
        await measure_size(count)


async def _call(daemon: daemons.Daemon, answered: list[int]) -> None:
    url = f'http://{daemon.address_by_side["callers"]}/listings'
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        while True:
            answer = await pool.request(
                'GET',
                url,
                headers=[(headers.SERVICE, b'burza')],
            )
            answered.append(answer.status)
            await anyio.sleep(CALL_PAUSE_S)


def _serves(status: dict[str, typing.Any]) -> bool:
    return bool(status['phase'] == 'serving')


def _accepts(status: dict[str, typing.Any]) -> bool:
    return bool(status['standing'] == 'accepted')


def _summary(spans_ms: list[float]) -> Report:
    return {
        'median': round(statistics.median(spans_ms)),
        'max': round(max(spans_ms)),
        'count': len(spans_ms),
    }


def _per_s(amounts: typing.Iterable[float]) -> Report:
    rates = [amount / WINDOW_S for amount in amounts]
    return {
        'mean': round(statistics.mean(rates), 2),
        'max': round(max(rates), 2),
    }


def _by_kind(
    pairs: list[tuple[daemons.Traffic, daemons.Traffic]],
) -> dict[str, float]:
    kinds = sorted({kind for _, new in pairs for kind in new.bytes_by_kind})
    return {
        kind: round(
            statistics.mean(
                new.bytes_by_kind.get(kind, 0) - old.bytes_by_kind.get(kind, 0)
                for old, new in pairs
            )
            / WINDOW_S,
            1,
        )
        for kind in kinds
    }


def _print(name: str, report: Report) -> None:
    line = msgspec.json.encode({'measured': name, **report}).decode()
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    anyio.run(main, [int(size) for size in sys.argv[1:]] or [4, 8, 16])
