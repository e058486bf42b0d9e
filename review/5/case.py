"""A server that has left gets requests by an entry with missing fields."""

import asyncio
import pathlib
import time

import kit

INSTANCES = 3
SETTLED_S = 3.5
"""Longer than StabilityWindowS, so that all instances are in touch."""

WRITTEN_AFTER_S = 3
"""When the other writer writes, from the acknowledged removal."""

EXPIRY_S = 3 * kit.BEAT_S
"""The store removes an entry after three heartbeat intervals of silence."""

WATCHED_S = 9
CALL_EVERY_S = 0.05
DRAIN_S = kit.BOUNDS['DrainS']


def entry_with_missing_fields(server):
    """Return an entry without Version, SlowStartS_time and born."""
    return {
        'service': server.service, 'address': server.address,
        'data_centre': 'zone-1', 'slots': server.slots, 'state': 'ready',
        'sequence': 1,
    }


async def main(record, files, trouble):
    net = kit.unit_of_run()
    store = kit.Store(record)
    _, store_address = await kit.serve(store.handle, f'{net}.1')
    servers = [kit.Server(f'i-{number}', 'burza', record) for number in range(4)]
    for server in servers:
        await server.start(f'{net}.2')
    beating = asyncio.create_task(kit.keep_beating(store, servers))
    store.put('op/config', kit.configuration(1, [
        kit.route('lookup', 'idempotent', 'burza'),
        kit.route('order', 'once', 'burza'),
    ]))
    instances = []
    seeds = []
    for number in range(INSTANCES):
        made = kit.Instance(
            f'edge-{number}', f'{net}.{10 + number}', files, record,
            store_address, seeds,
        )
        seeds.append(made.listen['Control'])
        instances.append(made)
    try:
        for each in instances:
            await each.start()
        if not all([await each.wait_ready() for each in instances]):
            record.add('unusable', why='not-ready')
            return kit.UNUSABLE
        await asyncio.sleep(SETTLED_S)
        return await play(record, store, servers, instances, trouble)
    finally:
        beating.cancel()
        for each in instances:
            await each.end()


async def play(record, store, servers, instances, trouble):
    gone = servers[0]
    # It serves on, and writes no more, as a server that never reports draining.
    gone.state = 'gone'
    key = f'servers/{gone.server_id}'
    store.remove(key)
    removed_s = time.monotonic()
    record.add('acknowledged', removed=gone.server_id)
    statuses = []
    callers = [
        asyncio.create_task(keep_calling(record, each, removed_s, statuses))
        for each in instances
    ]
    await asyncio.sleep(WRITTEN_AFTER_S)
    before = count_late(gone, removed_s)
    if trouble:
        store.put(key, entry_with_missing_fields(gone))
        record.add('disruption', entry=gone.server_id, missing='born,Version')
        await asyncio.sleep(EXPIRY_S)
        store.remove(key)
        record.add('expired', entry=gone.server_id)
    await asyncio.gather(*callers)
    late = count_late(gone, removed_s)
    record.add(
        'result', reached_late=late, of_these_before_the_entry=before,
        served=statuses.count(200), asked=len(statuses),
    )
    if before or not statuses.count(200):
        return kit.UNUSABLE
    return kit.BROKEN if late else kit.HELD


def count_late(server, removed_s):
    """Return how many requests reached a server after DrainS."""
    return sum(
        1 for _, at_s in server.arrived if at_s > removed_s + DRAIN_S
    )


async def keep_calling(record, instance, removed_s, statuses):
    client = kit.Client(instance.name, instance.front, record)
    while time.monotonic() < removed_s + WATCHED_S:
        for method, path in (('GET', '/lookup/x'), ('POST', '/order/x')):
            _, answer = await client.call(method, path)
            statuses.append(answer.status)
        await asyncio.sleep(CALL_EVERY_S)
    client.close()


if __name__ == '__main__':
    kit.run(main, pathlib.Path(__file__).parent)
