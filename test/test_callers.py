"""Calls over real loopback sockets."""

import anyio

from test import helper


def test_call_reaches_target():
    async def scenario():
        async with helper.running_fleet(1) as (_, nodes):
            answer = await helper.ask(nodes[0].identity.caller_address)
            assert answer.status == 200
            assert helper.outcome_of(answer) == 'ran'

    anyio.run(scenario)


def test_unknown_service_is_refused_not_run():
    async def scenario():
        async with helper.running_fleet(1) as (_, nodes):
            answer = await helper.ask(
                nodes[0].identity.caller_address,
                call_service='nowhere',
            )
            assert answer.status == 404
            assert helper.outcome_of(answer) == 'not-run'

    anyio.run(scenario)


def test_keyed_call_runs_once_through_two_instances():
    async def scenario():
        async with helper.running_fleet(2) as (deployment, nodes):
            first, second = nodes
            await helper.until(
                lambda: (
                    len(second.carrier.state.instances.peer_by_incarnation) == 1
                    and len(first.carrier.state.instances.peer_by_incarnation)
                    == 1
                ),
            )
            key = f'{first.identity.incarnation}.1.order-1'
            answers = [
                await helper.ask(
                    entry.identity.caller_address,
                    'POST',
                    idempotency_key=key,
                )
                for entry in (second, first, second)
            ]
            assert [helper.outcome_of(answer) for answer in answers] == [
                'ran',
                'ran',
                'ran',
            ]
            assert len({answer.content for answer in answers}) == 1
            runs = sum(
                target.served_by_key.get(key, 0)
                for target in deployment.target_by_id.values()
            )
            assert runs == 1

    anyio.run(scenario)
