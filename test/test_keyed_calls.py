"""Keyed calls between instances: duplicates and unexpected answers.

A resent call must run once only. An answer must be dropped if its call isn't
pending, if another incarnation asked, or if its outcome is unknown.
"""

import anyio

from oleanderstair.domain import messages
from test import helper


def dropped_by(started, kind):
    return started.runtime.metrics.count_by_series.get(
        ('peer-dropped', kind), 0
    )


def test_duplicate_call_runs_once_and_unexpected_answers_are_dropped():
    async def scenario():
        async with helper.running_fleet(2) as (deployment, nodes):
            home, asker = nodes
            await helper.wait_until(
                lambda: all(
                    len(started.runtime.state.instances.peer_by_incarnation)
                    == 1
                    for started in nodes
                ),
            )
            key = f'{home.identity.incarnation}.1.doubled'
            sent = messages.KeyedCall(
                correlation=10**6,
                home=home.identity.incarnation,
                service=helper.SERVICE,
                method='POST',
                path='/orders',
                key=key,
                budget_ms=2000,
                depth=0,
                headers=(('idempotency-key', key),),
                body=b'',
            )
            link = asker.runtime.balancer_dependencies.link
            for _ in range(2):
                link.send(home.identity.peer_address, sent)
            await helper.wait_until(
                lambda: dropped_by(asker, 'keyed-answer') == 2,
            )
            forged = messages.KeyedAnswer(
                correlation=1,
                home=asker.identity.incarnation,
                outcome='ran',
                reason='',
                retry_after_ms=0,
                status=200,
                asker='an earlier incarnation',
            )
            link.send(home.identity.peer_address, forged)
            link.send(
                home.identity.peer_address,
                forged._replace(outcome='of a newer release'),
            )
            await helper.wait_until(
                lambda: dropped_by(home, 'keyed-answer') == 2
            )
            runs = sum(
                target.served_by_key.get(key, 0)
                for target in deployment.target_by_id.values()
            )
            assert runs == 1

    anyio.run(scenario)
