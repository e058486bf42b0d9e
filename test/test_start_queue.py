"""Calls that arrive before routes and targets are known."""

import anyio

from oleanderstair.domain import events
from oleanderstair.domain.configuration import routing
from oleanderstair.engine import start_queue
from test import fleets

ROUTES = fleets.routing(1)._replace(
    routes_by_host=routing.index_routes(
        [
            fleets.ROUTE._replace(prefix='/urgent/', rank=0),
            fleets.ROUTE._replace(prefix='/later/', rank=2),
        ]
    )
)


def call(call_id, path, deadline_ms):
    return events.CallReceived(
        call_id=call_id,
        service='',
        method='GET',
        path=path,
        deadline_ms=deadline_ms,
        host='h',
    )


async def hold_until_release(queue, received, order, max_ms=5000):
    await queue.wait(received, max_ms)
    order.append(received.call_id)


def order_of_release(received_calls):
    async def scenario():
        queue = start_queue.create()
        order = []
        async with anyio.create_task_group() as tasks:
            for received in received_calls:
                tasks.start_soon(hold_until_release, queue, received, order)
            await anyio.wait_all_tasks_blocked()
            assert not order
            queue.release(ROUTES)
        return order

    return anyio.run(scenario)


# Guards against an urgent call that is dispatched after all others of a start
# because it came last.
def test_urgent_calls_are_released_first():
    order = order_of_release(
        [
            call(1, '/unknown/', 400),
            call(2, '/later/', 500),
            call(3, '/urgent/', 900),
            call(4, '/urgent/', 700),
        ]
    )
    assert order == [4, 3, 2, 1]


# Guards against calls that are kept for good where no routes become known.
def test_wait_is_bounded():
    async def scenario():
        queue = start_queue.create()
        order = []
        with anyio.fail_after(5):
            for max_ms in (20, 0, -10):
                await hold_until_release(
                    queue, call(1, '/urgent/', 900), order, max_ms
                )
        queue.release(ROUTES)
        return order

    assert anyio.run(scenario) == [1, 1, 1]
