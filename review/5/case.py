"""Answers on kept connections are cut off while their clients read them."""

import asyncio
import pathlib
import random
import socket

import kit

CLIENTS = 12
PLAYED_S = 32
ANSWER_BYTES = 540_000
"""The largest answer of a download in the site file of suolaportti."""

SLOW_CHUNK_BYTES = 2_048
SLOW_PAUSE_S = 0.004
"""A slow client takes some 1.2 s for an answer, at about 500 kB/s."""

THINK_S = (0.1, 0.5)
"""The pause of a client between two requests, drawn for each."""

DEADLINE_MS = 2500
TIMEOUT_MS = 2500
SEGMENT_BYTES = 1448
RECEIVE_BYTES = 4_096
"""Segments and a window as on a network, not those of loopback."""

ALLOWED = 3
"""LOST counts from the fourth connection on."""


async def main(record, files, trouble):
    net = kit.unit_of_run()
    store = kit.Store(record)
    _, store_address = await kit.serve(store.handle, f'{net}.1')
    servers = [
        kit.Server(f'i-{number}', 'archive', record, work_s=0.1, slots=6)
        for number in range(4)
    ]
    for server in servers:
        server.body = b'0123456789' * (ANSWER_BYTES // 10)
        await server.start(f'{net}.2')
    beating = asyncio.create_task(kit.keep_beating(store, servers))
    routes = [kit.route('export', 'download', 'archive', TIMEOUT_MS)]
    store.put('op/config', kit.configuration(1, routes))
    instance = kit.Instance(
        'edge-0', f'{net}.10', files, record, store_address, []
    )
    try:
        await instance.start()
        if not await instance.wait_ready():
            record.add('unusable', why='not-ready')
            return kit.UNUSABLE
        await asyncio.sleep(kit.BOUNDS['StabilityWindowS'] + 0.5)
        return await play(record, instance, servers, trouble)
    finally:
        beating.cancel()
        await instance.end()


async def play(record, instance, servers, trouble):
    tallies = await asyncio.gather(*(
        keep_reading(record, instance, number, trouble)
        for number in range(CLIENTS)
    ))
    whole = sum(tally['whole'] for tally in tallies)
    cut = sum(tally['cut'] for tally in tallies)
    late = sum(tally['late'] for tally in tallies)
    record.add(
        'result', whole=whole, cut_on_kept_connections=cut, late=late,
        alive=instance.process.returncode is None,
    )
    if not whole:
        return kit.UNUSABLE
    return kit.BROKEN if cut > ALLOWED else kit.HELD


async def keep_reading(record, instance, number, trouble):
    """Read answers one after the other on one connection."""
    options = (
        (socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES),
        (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES),
    )
    client = kit.Client(f'c{number}', instance.front, record, options)
    rng = random.Random(number)
    tally = {'whole': 0, 'cut': 0, 'late': 0}
    loop = asyncio.get_running_loop()
    until_s = loop.time() + PLAYED_S
    while loop.time() < until_s:
        _, answer = await client.call(
            'GET', '/export/x', deadline_ms=DEADLINE_MS,
            pause_s=SLOW_PAUSE_S if trouble else 0,
            chunk_bytes=SLOW_CHUNK_BYTES,
        )
        if answer.why == 'deadline':
            tally['late'] += 1
        elif answer.is_whole and answer.status == 200:
            tally['whole'] += 1
        elif client.is_kept and (not answer.is_whole or not answer.status):
            tally['cut'] += 1
        await asyncio.sleep(rng.uniform(*THINK_S))
    client.close()
    return tally


if __name__ == '__main__':
    kit.run(main, pathlib.Path(__file__).parent)
