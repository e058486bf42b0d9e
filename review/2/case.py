"""An entry of another writer stops all instances from following the store."""

import asyncio
import pathlib
import time

import kit

INSTANCES = 3
NESTED = 1200
"""How deep the lists in the field Version of the other writer's entry are."""

SETTLED_S = 3.5
"""Longer than StabilityWindowS, so that all instances are in touch."""

WATCHED_S = 10
CALL_EVERY_S = 0.1
APPLY_S = kit.BOUNDS['ConfigApplyS']
DRAIN_S = kit.BOUNDS['DrainS']


def foreign_entry():
    """Return an entry whose Version is a list in place of a text."""
    nested = '[' * NESTED + ']' * NESTED
    return (
        '{"service":"other","address":"127.0.0.1:9","data_centre":"zone-1",'
        f'"number":{nested},"slots":4,"state":"ready","slow_ms":0,'
        '"sequence":1,"born":1}'
    ).encode()


def configuration(number):
    routes = [kit.route('lookup', 'idempotent', 'burza')]
    if number > 1:
        routes.append(kit.route('added', 'idempotent', 'burza'))
    return kit.configuration(number, routes)


async def main(record, files, trouble):
    net = kit.unit_of_run()
    store = kit.Store(record)
    _, store_address = await kit.serve(store.handle, f'{net}.1')
    servers = [kit.Server(f'i-{number}', 'burza', record) for number in range(4)]
    for server in servers:
        await server.start(f'{net}.2')
    beating = asyncio.create_task(kit.keep_beating(store, servers))
    store.put('op/config', configuration(1))
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
        return await play(record, store, servers, instances, trouble)
    finally:
        beating.cancel()
        for each in instances:
            await each.end()


async def play(record, store, servers, instances, trouble):
    await asyncio.sleep(1)
    if trouble:
        store.put('servers/i-foreign', foreign_entry())
        record.add('disruption', what='entry-of-another-writer')
    await asyncio.sleep(SETTLED_S)
    store.put('op/config', configuration(2))
    published_s = time.monotonic()
    record.add('acknowledged', configuration=2)
    leaving = servers[0]
    leaving.state = 'leaving'
    store.put(f'servers/{leaving.server_id}', leaving.entry())
    left_s = time.monotonic()
    record.add('acknowledged', server=leaving.server_id, state='leaving')
    answers = []
    await asyncio.gather(*(
        keep_calling(record, each, published_s, answers) for each in instances
    ))
    late = [
        status for path, sent_s, status in answers
        if path == '/added/x' and sent_s > published_s + APPLY_S
    ]
    unknown = late.count(404)
    sent_late = {
        request_id for request_id, at_s in leaving.arrived
        if at_s > left_s + DRAIN_S
    }
    served = sum(1 for _, _, status in answers if status == 200)
    for each in instances:
        record.add(
            'log', instance=each.name,
            faults=len(each.log_lines('fault', 'RecursionError')),
            alive=each.process.returncode is None,
        )
    record.add(
        'result', asked_late=len(late), refused_404=unknown,
        reached_the_draining_server_late=len(sent_late), served=served,
    )
    if not late or not served:
        return kit.UNUSABLE
    return kit.BROKEN if unknown or sent_late else kit.HELD


async def keep_calling(record, instance, published_s, answers):
    client = kit.Client(instance.name, instance.front, record)
    while time.monotonic() < published_s + WATCHED_S:
        for path in ('/lookup/x', '/added/x'):
            sent_s = time.monotonic()
            _, answer = await client.call('GET', path)
            answers.append((path, sent_s, answer.status))
        await asyncio.sleep(CALL_EVERY_S)
    client.close()


if __name__ == '__main__':
    kit.run(main, pathlib.Path(__file__).parent)
