"""A row of the fault matrix over real processes and loopback sockets.

Each daemon records its trace, and the same stated outcomes that judge the
matrix judge what each survivor did.
"""

import functools

import anyio
import httpcore
import pytest

from oleanderstair.emulator import targets
from test import daemons, helper

ORDERS = 12
SERVICE_MS = 300


class Told:
    """What the caller of each order was told, by key."""

    def __init__(self):
        self.outcomes_by_key = {}

    async def order(self, daemon, key):
        """Send an order; a connection that dies tells the caller nothing."""
        outcome = 'nothing'
        try:
            answer = await helper.send_request(
                daemon.callers,
                'POST',
                content_length='0',
                call_deadline_ms='1500',
                idempotency_key=key,
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            outcome = 'nothing'
        else:
            outcome = helper.outcome_of(answer)
        self.outcomes_by_key.setdefault(key, []).append(outcome)

    async def resend_all(self, daemon):
        """Send every order once more, all at once."""
        async with anyio.create_task_group() as tasks:
            for key in list(self.outcomes_by_key):
                tasks.start_soon(self.order, daemon, key)


def slow_down(deployment):
    """Let every call last long enough for a fault to strike it."""
    for target in deployment.target_by_id.values():
        target.service_ms = SERVICE_MS


def in_flight(deployment):
    """Return the number of calls that targets run now."""
    return sum(target.in_flight for target in deployment.target_by_id.values())


def runs_of(deployment, key):
    """Return how often a key ran."""
    return sum(
        target.served_by_key.get(key, 0)
        for target in deployment.target_by_id.values()
    )


def assert_true_outcomes(deployment, told):
    """Fail where an order ran twice or a not-run order ran."""
    for key, heard in told.outcomes_by_key.items():
        runs = runs_of(deployment, key)
        assert runs <= 1, f'{key} ran {runs} times'
        assert not ('not-run' in heard and runs), f'{key}: {heard}, but ran'
        assert not ('ran' in heard and not runs), f'{key}: {heard}, no run'


async def strike_during_orders(deployment, entries, home, strike):
    """Send keyed orders to all entries and strike once some of them run."""
    told = Told()
    slow_down(deployment)
    async with anyio.create_task_group() as tasks:
        for number in range(ORDERS):
            entry = entries[number % len(entries)]
            key = f'{home.incarnation}.1.order-{number}'
            tasks.start_soon(told.order, entry, key)
        await helper.wait_until(lambda: in_flight(deployment) >= ORDERS / 2)
        await strike()
    return told


def test_killed_home_leaves_no_order_run_twice_or_falsely_refused(tmp_path):
    async def scenario():
        async with daemons.running(tmp_path, 3) as (deployment, found):
            home, *others = found

            async def strike():
                home.kill()

            told = await strike_during_orders(deployment, found, home, strike)
            await told.resend_all(others[0])
            assert_true_outcomes(deployment, told)
            assert {heard[-1] for heard in told.outcomes_by_key.values()} == {
                'unknown',
            }
            for survivor in others:
                assert (await survivor.replay()).held

    anyio.run(scenario)


def test_frozen_home_that_wakes_late_runs_no_order_twice(tmp_path):
    async def scenario():
        async with daemons.running(tmp_path, 3) as (deployment, found):
            home = found[0]

            async def strike():
                home.freeze()
                try:
                    await anyio.sleep(1.5)
                finally:
                    home.thaw()

            told = await strike_during_orders(deployment, found, home, strike)
            await told.resend_all(found[1])
            assert_true_outcomes(deployment, told)
            for daemon in found:
                assert (await daemon.replay()).held

    anyio.run(scenario)


def test_calls_are_served_while_the_platform_is_down(tmp_path):
    async def scenario():
        async with daemons.running(tmp_path, 2) as (deployment, found):
            deployment.platform.down = True
            before = deployment.platform.reads
            await helper.wait_until(
                lambda: deployment.platform.reads > before + 2
            )
            for daemon in found:
                answer = await helper.send_request(daemon.callers)
                assert helper.outcome_of(answer) == 'ran'
            for daemon in found:
                assert (await daemon.replay()).held

    anyio.run(scenario)


@pytest.mark.parametrize(
    'behaviour',
    [targets.Behaviour.CRASH, targets.Behaviour.CUT_SHORT],
    ids=lambda behaviour: behaviour.value,
)
def test_order_cut_off_by_its_target_is_unknown_and_not_sent_again(
    tmp_path,
    behaviour,
):
    async def scenario():
        async with daemons.running(tmp_path, 1) as (deployment, found):
            for target in deployment.target_by_id.values():
                target.behaviour = behaviour
            told = Told()
            key = f'{found[0].incarnation}.1.order'
            await told.order(found[0], key)
            await told.order(found[0], key)
            assert told.outcomes_by_key[key] == ['unknown', 'unknown']
            assert runs_of(deployment, key) == 1
            assert (await found[0].replay()).held

    anyio.run(scenario)


def test_planned_stop_under_load_cuts_off_no_order(tmp_path):
    async def scenario():
        async with daemons.running(tmp_path, 2) as (deployment, found):
            home = found[0]

            async def strike():
                home.process.terminate()

            told = await strike_during_orders(deployment, [home], home, strike)
            assert_true_outcomes(deployment, told)
            assert {heard[0] for heard in told.outcomes_by_key.values()} == {
                'ran'
            }
            assert await home.process.wait() == 0
            await helper.wait_until(
                functools.partial(bool, told.outcomes_by_key)
            )
            assert (await found[1].replay()).held

    anyio.run(scenario)
