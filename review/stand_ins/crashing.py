"""A request that crashes each server that begins to run it.

PROTOCOL.md: "A request may crash each server that begins to run it; the server
is back after some seconds. Such a request comes again, with the same path,
caller and body, at any machine."
"""

import asyncio
import signal
import time

from . import clients, deployment, instances, servers

SERVER_COUNT = 12
BACK_AFTER_S = 3
WORK_MS = 100
DEADLINE_MS = 1500
STABILITY_WINDOW_S = 3
GRACE_S = 6
MIN_CRASHES = 3
MAX_RETRIES = 3
CRASHING_PATH = '/lookup/crashes'
CRASHING_CALLER = 'van-17'
OTHER_CALLER = 'van-4'
CALLER_FIELD = 'Authorization'
"""Servers tell callers by this field, as by any other one: it is forwarded."""


class Play:
    """Servers, a client of the crashing request and ordinary clients.

    ``resets`` says how the connections of a crashed server end. Without
    ``crashes`` the request is an ordinary one. It crashes servers only when it
    comes from ``CRASHING_CALLER``.
    """

    def __init__(
        self, deployed: deployment.Deployment, *, crashes: bool, resets: bool
    ) -> None:
        """Start without crashes."""
        self.deployed = deployed
        self.crashes = crashes
        self.resets = resets
        self.crashes_s: list[float] = []
        self.tasks: list[asyncio.Task] = []
        self._instance_by_request: dict[str, str] = {}
        self._other_ids: set[str] = set()
        self._away_spans: dict[str, list[list[float]]] = {}

    async def start(self, instance_count: int) -> None:
        """Start the deployment and its ordinary clients."""
        deployed = self.deployed
        await deployed.start_store()
        for number in range(SERVER_COUNT):
            zone = sorted(deployment.ZONES)[number % 3]
            await deployed.add_server('burza', zone, self._work)
        deployed.configure(
            [
                deployment.route(
                    'lookup', 'idempotent', 'burza', timeout_ms=1500
                )
            ],
            ['burza'],
        )
        await deployed.start_instances(instance_count)
        await asyncio.sleep(STABILITY_WINDOW_S + 1)
        for instance in deployed.instances:
            self.run(self._keep_looking_up(instance))
        await asyncio.sleep(1)

    def run(self, coroutine: object) -> None:
        """Run something beside the case until ``finish``."""
        self.tasks.append(asyncio.create_task(coroutine))

    async def finish(self) -> bool:
        """End the clients; return whether the rule held."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        retries = self._count_retries()
        self.deployed.record.note(
            'retries', counted=retries, crashes=len(self.crashes_s)
        )
        return retries <= MAX_RETRIES

    async def send_crashing(self, instance: instances.Instance) -> None:
        """Send the crashing request to an instance."""
        connection = clients.Connection(instance.front)
        self.deployed.record.note('sends', instance=instance.machine.name)
        before = len(self.deployed.ran)
        answer = await connection.request(
            'GET',
            deployment.HOST_NAME,
            CRASHING_PATH,
            DEADLINE_MS,
            fields={CALLER_FIELD: CRASHING_CALLER},
        )
        connection.close()
        self._instance_by_request[answer.request_id] = instance.machine.name
        self.deployed.record.note(
            'answered',
            request=answer.request_id,
            status=answer.status,
            reason=answer.fields.get('call-reason', ''),
            ran=sum(
                ran.request_id == answer.request_id
                for ran in self.deployed.ran[before:]
            ),
        )

    async def keep_sending(self, interval_s: float) -> None:
        """Send the crashing request to the running instances in turn."""
        while True:
            for instance in self.deployed.instances:
                if instance.is_running():
                    await self.send_crashing(instance)
                    await asyncio.sleep(interval_s)

    async def restart(self, instance: instances.Instance) -> None:
        """Stop and start an instance, as the platform does."""
        name = instance.machine.name
        span = [time.monotonic(), float('inf')]
        self._away_spans.setdefault(name, []).append(span)
        self.deployed.record.note('sigterm', instance=name)
        instance.process.send_signal(signal.SIGTERM)
        end_s = time.monotonic() + GRACE_S
        while instance.is_running() and time.monotonic() < end_s:
            await asyncio.sleep(0.05)
        instance.kill()
        instance.start()
        span[1] = time.monotonic() + STABILITY_WINDOW_S
        self.deployed.record.note('started', instance=name)
        await self.deployed.await_ready(instance)

    async def _work(self, server: servers.Server, request) -> tuple[int, bytes]:
        await asyncio.sleep(WORK_MS / 1000)
        if not self._is_crashing(request):
            return 200, b'found'
        self.crashes_s.append(time.monotonic())
        self.deployed.record.note('crashed', server=server.server_id)
        server.crash(resets=self.resets)
        self.run(self._bring_back(server))
        raise ConnectionError('the server has ended')

    def _is_crashing(self, request) -> bool:
        caller = request.fields.get(CALLER_FIELD.lower(), '')
        return (
            self.crashes
            and CRASHING_PATH in request.first
            and caller == CRASHING_CALLER
        )

    async def _bring_back(self, server: servers.Server) -> None:
        expiry = asyncio.create_task(server.expire(server.server_id))
        await asyncio.sleep(BACK_AFTER_S)
        await server.start()
        await expiry

    async def _keep_looking_up(self, instance: instances.Instance) -> None:
        connection = clients.Connection(instance.front)
        count = 0
        while True:
            count += 1
            await connection.request(
                'GET',
                deployment.HOST_NAME,
                f'/lookup/{count}',
                DEADLINE_MS,
                fields={CALLER_FIELD: OTHER_CALLER},
            )
            await asyncio.sleep(0.2)

    async def keep_sending_the_same(self) -> None:
        """Send the request of the same path and body as another caller."""
        while True:
            for instance in self.deployed.instances:
                connection = clients.Connection(instance.front)
                answer = await connection.request(
                    'GET',
                    deployment.HOST_NAME,
                    CRASHING_PATH,
                    DEADLINE_MS,
                    fields={CALLER_FIELD: OTHER_CALLER},
                )
                connection.close()
                self.deployed.record.note(
                    'other-caller',
                    instance=instance.machine.name,
                    request=answer.request_id,
                    status=answer.status,
                )
                self._other_ids.add(answer.request_id)
                await asyncio.sleep(0.1)

    def _count_retries(self) -> int:
        """Return how many retries the rule counts.

        Those are the arrivals at servers later than the stability window after
        the third crash, sent by instances in touch.
        """
        if len(self.crashes_s) < MIN_CRASHES:
            return 0
        from_s = self.crashes_s[MIN_CRASHES - 1] + STABILITY_WINDOW_S
        counted = [
            ran
            for ran in self.deployed.ran
            if CRASHING_PATH in ran.line
            and ran.request_id not in self._other_ids
            and ran.at_s > from_s
            and self._is_in_touch(ran)
        ]
        for ran in counted:
            self.deployed.record.note(
                'counted', request=ran.request_id, server=ran.server_id
            )
        return len(counted)

    def _is_in_touch(self, ran: servers.Ran) -> bool:
        name = self._instance_by_request.get(ran.request_id, '')
        return not any(
            start_s <= ran.at_s <= end_s
            for start_s, end_s in self._away_spans.get(name, [])
        )
