"""A planned stop that falls into a pause cuts orders that came long after it."""

import asyncio
import json
import pathlib
import signal
import time

import kit

ROUNDS = 3
INSTANCES = 10
"""One of these is frozen, a share of 0.1."""

PAUSE_S = 3.0
TERM_AFTER_S = 0.85
"""The SIGTERM comes this long after the begin of the pause."""

SETTLED_S = 3.5
GRACE_S = kit.BOUNDS['GraceS']
STABILITY_S = kit.BOUNDS['StabilityWindowS']
MARGIN_S = 0.05
ASKED_BEFORE_S = 0.2
"""When clients ask for addresses, before the SIGTERM.

They hold the answer for three times its TtlS, as some clients do.
"""

HELD_FACTOR = 3
WORK_S = 0.7
CLIENTS = 6
SPACED_S = 0.05
DEADLINE_MS = 2000
TIMEOUT_MS = 1200
"""As those of print-order in cotopaxi-gw."""


async def main(record, files, trouble):
    net = kit.unit_of_run()
    store = kit.Store(record)
    _, store_address = await kit.serve(store.handle, f'{net}.1')
    servers = [
        kit.Server(f'i-{number}', 'catalogo', record, WORK_S, slots=6)
        for number in range(4)
    ]
    for server in servers:
        await server.start(f'{net}.2')
    beating = asyncio.create_task(kit.keep_beating(store, servers))
    store.put('op/config', kit.configuration(1, [
        kit.route('order', 'once', 'catalogo', TIMEOUT_MS, 800),
    ]))
    instances = []
    seeds = []
    for number in range(INSTANCES):
        made = kit.Instance(
            f'edge-{number}', f'{net}.{10 + number}', files, record,
            store_address, seeds[:3],
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
        return await play(record, instances, servers, trouble)
    finally:
        beating.cancel()
        for each in instances:
            await each.end()


async def play(record, instances, servers, trouble):
    other = instances[-1]
    lost = sent = 0
    for number in range(ROUNDS):
        named, _ = await resolve(record, other)
        instance = next(
            each for each in instances
            if each.front in named and each is not other
        )
        if trouble:
            instance.signal(signal.SIGSTOP)
        await asyncio.sleep(TERM_AFTER_S - ASKED_BEFORE_S)
        addresses, held_until_s = await resolve(record, other)
        if instance.front not in addresses:
            record.add('unusable', why='not-named')
            return kit.UNUSABLE
        await asyncio.sleep(ASKED_BEFORE_S)
        instance.signal(signal.SIGTERM)
        stopped_s = time.monotonic()
        killing = asyncio.create_task(kill_after_grace(instance, stopped_s))
        await asyncio.sleep(PAUSE_S - TERM_AFTER_S)
        if trouble:
            instance.signal(signal.SIGCONT)
        woken_s = time.monotonic()
        # From here on nothing unplanned lies in the window of a request.
        from_s = woken_s + STABILITY_S + MARGIN_S
        await asyncio.sleep(from_s - time.monotonic())
        if from_s + CLIENTS * SPACED_S > held_until_s:
            record.add('unusable', why='addresses-held-too-long')
            return kit.UNUSABLE
        results = await asyncio.gather(*(
            order(record, instance, f'r{number}-c{client}', client * SPACED_S)
            for client in range(CLIENTS)
        ))
        await killing
        ran = {
            request_id for server in servers for request_id, _ in server.ran
        }
        for request_id, answer in results:
            sent += 1
            if request_id in ran and not answer.status:
                lost += 1
                record.add('lost', id=request_id, why=answer.why)
        await instance.start()
        if not await instance.wait_ready():
            return kit.UNUSABLE
        await asyncio.sleep(SETTLED_S)
    record.add('result', sent=sent, run_and_cut_without_an_answer=lost)
    return kit.BROKEN if lost else kit.HELD


async def resolve(record, instance):
    """Ask a directory; return its addresses, and until when they are held."""
    host, port = instance.listen['Directory'].split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b'GET /-/addresses?name=calls.example&Region=west&data_centre=zone-1'
        b' HTTP/1.1\r\nHost: directory\r\n\r\n'
    )
    _, fields = await kit.read_head(reader)
    body = await reader.readexactly(int(fields['content-length']))
    writer.close()
    told = json.loads(body)
    record.add('addresses', told=','.join(told['addresses']))
    held_s = HELD_FACTOR * told['valid_s']
    return told['addresses'], time.monotonic() + held_s


async def kill_after_grace(instance, stopped_s):
    """End the process as the platform does: a SIGKILL after GraceS."""
    left_s = stopped_s + GRACE_S - time.monotonic()
    try:
        await asyncio.wait_for(instance.process.wait(), left_s)
    except asyncio.TimeoutError:
        instance.signal(signal.SIGKILL)
        await instance.process.wait()


async def order(record, instance, name, delay_s):
    """Send an order on a new connection, as a client that holds the address."""
    await asyncio.sleep(delay_s)
    client = kit.Client(name, instance.front, record)
    request_id, answer = await client.call(
        'POST', '/order/roll', b'{"roll":1}', DEADLINE_MS
    )
    client.close()
    return request_id, answer


if __name__ == '__main__':
    kit.run(main, pathlib.Path(__file__).parent)
