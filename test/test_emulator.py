"""The fakes behave as the tests that use them assume."""

import asyncio
import contextlib
import time

import anyio
import httpcore
import pytest

from oleanderstair.emulator import callers, fleet, platform, targets
from oleanderstair.engine import headers
from oleanderstair.engine import http_platform as reader
from oleanderstair.engine import probes
from test import helper

BOUND_MS = 300
HELD_UP_S = 1.2
HELD_UP_AFTER_S = 0.03
HOLDS = 3
CALLERS_AT_CREST = 30
CALLERS = 8
CALLS = 20


@contextlib.asynccontextmanager
async def serving(app):
    with anyio.fail_after(helper.TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            plan = fleet.COOPERATIVE._replace(services=())
            yield fleet.create(plan, tasks).serve(app)
            tasks.cancel_scope.cancel()


def test_target_sheds_above_its_slots_and_gives_up_at_the_deadline():
    async def scenario():
        target = targets.Target('burza-01', slots=1, service_ms=10_000)
        async with serving(target) as address:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(helper.send_request, address)
                await helper.wait_until(lambda: target.in_flight == 1)
                shed = await helper.send_request(address)
                assert helper.outcome_of(shed) == 'not-run'
                tasks.cancel_scope.cancel()
            await helper.wait_until(lambda: target.cancelled == 1)
            late = await helper.send_request(address, call_deadline_ms='20')
            assert late.status == 503
            assert not helper.outcome_of(late)
            assert (target.late, target.in_flight) == (1, 0)

    anyio.run(scenario)


def test_target_starts_cold_drains_and_lies():
    async def scenario():
        target = targets.Target('burza-01', cold_calls=1, service_ms=1)
        target.reported_in_flight = 3
        async with serving(target) as address:
            await helper.send_request(address)
            assert target.cold_calls == 0
            target.leaving = True
            refused = await helper.send_request(address)
            assert helper.outcome_of(refused) == 'not-run'
            assert headers.find_field(refused.headers, headers.LEAVING) == b'1'
            report = await probes.create().read(address, 1000)
            assert report.leaving
            assert report.in_flight == 3
            assert target.served == 1

    anyio.run(scenario)


@pytest.mark.parametrize(
    'fault',
    [
        platform.Fault.DOWN,
        platform.Fault.SILENT,
        platform.Fault.SLOW,
        platform.Fault.TOO_LARGE,
    ],
)
def test_platform_fault_is_an_error_within_the_bound(fault):
    async def scenario():
        fake = platform.create()
        fake.publish({'added': {}})
        fake.slow_ms = 10_000
        async with serving(fake) as address:
            url = f'http://{address}'
            reads = reader.create(url, f'{url}/instances', BOUND_MS)
            assert await reads.get('head')
            fake.fault = fault
            with pytest.raises(reader.PlatformError):
                await reads.get('head')
            fake.fault = platform.Fault.NONE
            assert await reads.get('head')

    anyio.run(scenario)


def test_stale_platform_serves_what_stood_before():
    async def scenario():
        fake = platform.create()
        fake.publish({'added': {}})
        async with serving(fake) as address:
            url = f'http://{address}/values/head'
            async with httpcore.AsyncConnectionPool() as pool:
                fresh = await pool.request('GET', url)
                fake.freeze()
                fake.publish({'added': {}})
                stale = await pool.request('GET', url)
            assert stale.content == fresh.content

    anyio.run(scenario)


async def call(pool, url, times):
    for _ in range(times):
        await pool.request('GET', url)


async def call_by(callers_at_once, *given):
    async with anyio.create_task_group() as calling:
        for _ in range(callers_at_once):
            calling.start_soon(call, *given)


def test_connections_kept_by_callers_outlast_a_hold_of_their_process():
    """Requests assigned to them just before the hold go through."""

    async def scenario():
        fake = platform.create()
        fake.publish({'added': {}})
        async with serving(fake) as address, callers.pool() as pool:
            url = f'http://{address}/values/head'
            loop = asyncio.get_running_loop()
            for _ in range(HOLDS):
                await call_by(CALLERS_AT_CREST, pool, url, 1)
                loop.call_later(HELD_UP_AFTER_S, time.sleep, HELD_UP_S)
                await call_by(CALLERS, pool, url, CALLS)

    anyio.run(scenario)
